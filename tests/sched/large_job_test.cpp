#include "large_job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace daisypass::sched;

// Guards against a state row above the store's limit, which is refused together with all other changes.
TEST_CASE("the state of a job with thousands of tasks")
{
    large_job_world story;
    scheduler_fixture &world = story.world;
    story.submit(largeJob());
    REQUIRE(story.started.size() == largeJobTasks);

    SUBCASE("keeps within the limits of the store until the job is completed")
    {
        for (std::size_t from = 0; from < story.started.size(); from += 500) {
            story.end(from, from + 500);
            story.storeAll();
        }
        CHECK(world.phaseOf("large") == "completed");
        CHECK(world.taskRowsOf("large").empty());
        CHECK(story.longestRow <= maxRowBytes);
        CHECK(story.mostBytes <= maxTransactionBytes);
        CHECK(story.mostEntries < maxEntries);
    }
    SUBCASE("is written in a short row for the end of one task")
    {
        const std::size_t before = story.writtenBytes;
        story.end(0, 1);
        story.storeAll();
        CHECK(story.writtenBytes - before < 4'000);
    }
    SUBCASE("has all tasks as placed for the next lease holder")
    {
        const std::vector<task_phase> phases = phasesIn(world, largeJob());
        CHECK(std::count(phases.begin(), phases.end(), task_phase::Unconfirmed) == largeJobTasks);
    }
    SUBCASE("goes from one lease holder to the next, who stores no row again that hasn't changed")
    {
        story.end(0, 1'000);
        story.storeAll();
        scheduler_fixture successor;
        REQUIRE(successor.taskScheduler.restore(largeJob(), world.rows.at("large"), successor.now, world.taskRowsOf("large")));
        successor.rows = world.rows;
        successor.planAndCommit();
        CHECK(successor.take<start_run>().empty());
        CHECK(successor.rows == world.rows);
        successor.taskScheduler.handle(job_cancelled{"large"}, successor.now);
        successor.planAndCommit();
        CHECK(successor.phaseOf("large") == "cancelled");
        const std::vector<task_phase> phases = phasesIn(successor, largeJob());
        CHECK(std::count(phases.begin(), phases.end(), task_phase::Unconfirmed) == largeJobTasks - 1'000);
    }
    SUBCASE("leaves no row after the job is deleted")
    {
        world.taskScheduler.handle(job_cancelled{"large"}, world.now);
        story.storeAll();
        REQUIRE(!world.taskRowsOf("large").empty());
        world.taskScheduler.handle(submissions_deleted{{"large"}}, world.now);
        story.storeAll();
        CHECK(world.rows.empty());
    }
    SUBCASE("lets the next jobs start")
    {
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job("small", {scheduler_fixture::step(4)})}, world.now);
        story.storeAll();
        CHECK(world.take<start_run>().size() == 4);
        CHECK(story.longestRow <= maxRowBytes);
    }
}

// Guards against tasks that run again because a lease holder ends between two transactions with rows of one job.
TEST_CASE("after any transaction the rows of a large job have no done task as waiting")
{
    constexpr int tasks = 10'000;
    constexpr std::size_t doneFirst = 9'000;
    large_job_world story(17);
    scheduler_fixture &world = story.world;
    story.submit(largeJob(tasks));
    REQUIRE(story.started.size() == tasks);
    std::set<int> done;
    for (std::size_t i = 0; i < doneFirst; ++i) {
        done.insert(story.started[i].task.index);
    }
    const std::function<void()> checkRows = [&] {
        if (world.phaseOf("large") != "running" && world.phaseOf("large") != "pending") {
            return;
        }
        const std::vector<task_phase> phases = phasesIn(world, largeJob(tasks));
        CHECK(std::count(phases.begin(), phases.end(), task_phase::Waiting) == 0);
    };
    int transactions = 0;

    SUBCASE("while most of them end at once")
    {
        story.end(0, doneFirst);
        while (story.storeBatch()) {
            ++transactions;
            checkRows();
        }
        const std::vector<task_phase> phases = phasesIn(world, largeJob(tasks));
        for (const int index : done) {
            REQUIRE(phases[static_cast<std::size_t>(index)] == task_phase::Done);
        }
        CHECK(transactions > 1);
    }
    SUBCASE("while the job ends")
    {
        story.end(0, doneFirst);
        story.storeAll();
        world.taskScheduler.handle(job_cancelled{"large"}, world.now);
        while (story.storeBatch()) {
            ++transactions;
            checkRows();
            CHECK(world.phaseOf("large") == "cancelled");
        }
    }
    CHECK(story.longestRow <= maxRowBytes);
    CHECK(story.mostBytes <= maxTransactionBytes);
    CHECK(story.mostEntries < maxEntries);
}

// Guards against a takeover from a version that writes one row for every job.
TEST_CASE("a long undivided row of a former version")
{
    const job_spec spec = largeJob(1'500);
    large_job_world former;
    former.submit(spec);
    former.end(0, 700);
    former.storeAll();
    job_record job(spec);
    REQUIRE(readState(former.world.rows.at("large"), former.world.taskRowsOf("large"), job));
    const std::string row = writeState(job);
    REQUIRE(row.size() > 16'384);
    large_job_world story;
    scheduler_fixture &world = story.world;
    world.rows["large"] = row;
    REQUIRE(world.taskScheduler.restore(spec, row, world.now));
    std::vector<start_run> left(former.started.begin() + 700, former.started.end());
    story.started = left;
    story.numbers = former.numbers;

    SUBCASE("is read, and the job goes on with its state divided")
    {
        story.end(0, 100);
        story.storeAll();
        CHECK(world.taskRowsOf("large").size() == (1'500 + maxTasksPerRow - 1) / maxTasksPerRow);
        const std::vector<task_phase> phases = phasesIn(world, spec);
        CHECK(std::count(phases.begin(), phases.end(), task_phase::Done) == 800);
        CHECK(std::count(phases.begin(), phases.end(), task_phase::Waiting) == 0);
    }
    SUBCASE("is completed")
    {
        story.end(0, left.size());
        story.storeAll();
        CHECK(world.phaseOf("large") == "completed");
        CHECK(world.taskRowsOf("large").empty());
    }
    SUBCASE("counts less than a row with tasks that was stored since")
    {
        std::map<std::string, std::string> taskRows;
        const auto countDone = [](const step_record &step) {
            int done = 0;
            for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                done += step.tasks[index].phase == task_phase::Done ? 1 : 0;
            }
            return done;
        };
        job_record read(spec);

        SUBCASE("which shows tasks as done")
        {
            taskRows["large/0.0"] = R"({"tasks":[[0,0,0,2,3,[],"","",64]]})";
            REQUIRE(readState(row, taskRows, read));
            const step_record &step = read.occurrences.at(0).steps.at(0);
            CHECK(step.tasks[63].phase == task_phase::Done);
            CHECK(step.done == countDone(step));
            CHECK(step.waiting == 0);
        }
        SUBCASE("which shows tasks as to be run again")
        {
            taskRows["large/0.0"] = R"({"tasks":[[0,0,0,0,3,[],"","",64]]})";
            REQUIRE(readState(row, taskRows, read));
            const step_record &step = read.occurrences.at(0).steps.at(0);
            CHECK(step.tasks[63].run == 3);
            CHECK(step.tasks[63].phase == task_phase::Waiting);
            CHECK(step.done == countDone(step));
            CHECK(step.waiting == 64);
        }
    }
}

// Guards against longer rows, and rows that a former version can't read, for the usual jobs.
TEST_CASE("the state of a job with 32 tasks is one row in the former format")
{
    scheduler_fixture world;
    world.addExecutor("e1", 100'000);
    job_spec spec = scheduler_fixture::job("usual", {scheduler_fixture::step(32)});
    spec.terms = queue_terms{};
    spec.objective = queue_objective{};
    world.taskScheduler.handle(job_submitted{spec}, world.now);
    world.planAndCommit();
    CHECK(world.take<start_run>().size() == 32);
    REQUIRE(world.rows.size() == 1);
    std::string expected = R"({"phase":"running","tasks":[)";
    for (int i = 0; i < 32; ++i) {
        expected += (i > 0 ? ",[0,0," : "[0,0,") + std::to_string(i) + R"(,1,1,[],"e1",""])";
    }
    CHECK(world.rows.at("usual") == expected + "]}");
}

// Guards against two runs of each task while an old version takes over during an upgrade.
TEST_CASE("the first row of a divided state isn't readable for versions that expect all tasks in it")
{
    job_record job(largeJob());
    job.openDueOccurrences(0);
    const std::string row = writeFirstRow(job);
    CHECK(row.find(R"("tasks":[[]])") != std::string::npos);
    CHECK(phaseIn(row) == "pending");
    job_record restored(largeJob());
    CHECK(readState(row, {}, restored));
}

// Guards against a job that can't be stored and holds up all others, or is given up without cause.
TEST_CASE("a task with a checkpoint above the store's limit")
{
    large_job_world story;
    scheduler_fixture &world = story.world;
    story.submit(scheduler_fixture::job("unfit", {scheduler_fixture::step(4)}));
    REQUIRE(story.started.size() == 4);
    const std::string checkpoint(maxRowBytes + 1, 'c');
    story.end(0, 1, checkpoint);
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("small", {scheduler_fixture::step(1)})}, world.now);
    story.storeAll();

    SUBCASE("goes on from it, and other jobs go on too")
    {
        CHECK(world.phaseOf("unfit") == "running");
        CHECK(world.taskScheduler.counts().jobsSetAside == 0);
        CHECK(world.phaseOf("small") == "running");
        CHECK(story.longestRow <= maxRowBytes);
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 2);
        const auto again = std::find_if(starts.begin(), starts.end(), [](const start_run &start) {
            return start.task.job == "unfit";
        });
        REQUIRE(again != starts.end());
        CHECK(again->run == 2);
        CHECK(again->checkpoint == checkpoint);
    }
    SUBCASE("leaves the job's other runs alone")
    {
        CHECK(world.take<stop_run>().empty());
    }
}

// Guards against a row that the store refuses for good and that is written again and again.
TEST_CASE("a job whose row the store refuses")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.storeReachable = false;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("unfit", {scheduler_fixture::step(1)})}, world.now);
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("small", {scheduler_fixture::step(1)})}, world.now);
    world.planAndCommit();
    const std::optional<commit_batch> batch = world.taskScheduler.takeBatch(world.now);
    REQUIRE(batch);
    REQUIRE(batch->rows.size() == 2);
    world.taskScheduler.handle(batch_committed{batch->number, {"unfit"}}, world.now);
    world.collectActions();

    SUBCASE("ends as failed without a start, and the other one starts")
    {
        CHECK(world.takeStart().task.job == "small");
        world.storeReachable = true;
        world.planAndCommit();
        CHECK(world.phaseOf("unfit") == "failed");
        CHECK(world.taskScheduler.counts().jobsSetAside == 1);
    }
    SUBCASE("isn't written again once its last row is refused too")
    {
        const std::optional<commit_batch> last = world.taskScheduler.takeBatch(world.now);
        REQUIRE(last);
        REQUIRE(last->rows.size() == 1);
        world.taskScheduler.handle(batch_committed{last->number, {"unfit"}}, world.now);
        CHECK_FALSE(world.taskScheduler.hasUnstoredChanges());
    }
}
