#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

/** A job's steps, of which some last, on executors that report the ends of its runs. */
struct lasting_world
{
    scheduler_fixture world;
    std::int64_t listedEnds = 0;

    static step_spec lastingStep(int tasks)
    {
        step_spec spec = scheduler_fixture::step(tasks);
        spec.longRunning = true;
        return spec;
    }

    static std::vector<listed_run> atWork(const std::vector<start_run> &runs)
    {
        std::vector<listed_run> present;
        present.reserve(runs.size());
        for (const start_run &run : runs) {
            present.push_back(scheduler_fixture::running(run, 100));
        }
        return present;
    }

    std::vector<start_run> submit(const job_spec &job)
    {
        world.taskScheduler.handle(job_submitted{job}, world.now);
        world.planAndCommit();
        return startAll();
    }

    /** The start orders that are due; the executors confirm them. */
    std::vector<start_run> startAll()
    {
        std::vector<start_run> orders = world.take<start_run>();
        for (const start_run &order : orders) {
            world.answerStart(order);
        }
        return orders;
    }

    /** The executor lists the end of this run, and the other runs as present. */
    void end(const start_run &order, run_end how, const std::vector<start_run> &others = {})
    {
        world.answerPoll(order.executor, atWork(others), {scheduler_fixture::ended(order, ++listedEnds, how)});
    }

    /** Lets a long-running task's runs be some time at work, so that it may be started again at once. */
    void work(const std::vector<start_run> &runs)
    {
        world.advance(2'000);
        world.answerPoll("e1", atWork(runs));
    }
};

} // namespace

// Guards against long-running tasks that stay away, and jobs shown as completed, after a run has ended as done.
TEST_CASE("a long-running task is started again after a run has ended as done")
{
    lasting_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");

    SUBCASE("one of three, and later the last of the three")
    {
        const std::vector<start_run> runs = story.submit(world.job("j1", {story.lastingStep(3)}));
        REQUIRE(runs.size() == 3);
        story.work(runs);
        story.end(runs[1], run_end::Done, {runs[0], runs[2]});
        const std::vector<start_run> next = story.startAll();
        REQUIRE(next.size() == 1);
        CHECK(next[0].task == runs[1].task);
        CHECK(next[0].run == 2);
        story.end(runs[0], run_end::Done, {next[0], runs[2]});
        story.end(runs[2], run_end::Done, {next[0]});
        CHECK(story.startAll().size() == 2);
        CHECK(world.phaseOf("j1") == "running");
        CHECK(world.take<stop_run>().empty());
    }
    SUBCASE("the only one, from the beginning")
    {
        const std::vector<start_run> runs = story.submit(world.job("j1", {story.lastingStep(1)}));
        REQUIRE(runs.size() == 1);
        world.advance(2'000);
        listed_run present = world.running(runs[0], 100);
        present.checkpoint = "at the end";
        world.answerPoll("e1", {present});
        story.end(runs[0], run_end::Done);
        CHECK(world.phaseOf("j1") == "running");
        const std::vector<start_run> next = story.startAll();
        REQUIRE(next.size() == 1);
        CHECK(next[0].checkpoint.empty());
        SUBCASE("until the job is cancelled")
        {
            world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
            world.planAndCommit();
            story.end(next[0], run_end::Done);
            world.advance(2'000);
            CHECK(world.phaseOf("j1") == "cancelled");
            CHECK(world.take<start_run>().empty());
            CHECK(world.taskScheduler.executors().at("e1").runs.empty());
        }
        SUBCASE("and the late end of its former run neither ends nor stops the next one")
        {
            world.answerPoll("e1", {world.running(next[0], 100)}, {world.ended(runs[0], ++story.listedEnds, run_end::Done)});
            world.advance(2'000);
            CHECK(world.take<stop_run>().empty());
            CHECK(world.take<start_run>().empty());
            CHECK(world.phaseOf("j1") == "running");
        }
    }
    SUBCASE("with a pause if it ends at once each time")
    {
        std::vector<start_run> runs = story.submit(world.job("j1", {story.lastingStep(1)}));
        for (int round = 0; round < 5; ++round) {
            REQUIRE(runs.size() == 1);
            story.end(runs[0], run_end::Done);
            world.advance(800);
            CHECK(world.take<start_run>().empty());
            world.answerPoll("e1");
            world.advance(300);
            runs = story.startAll();
        }
    }
    SUBCASE("while the steps that don't last are done once, and a step after one that lasts doesn't start")
    {
        step_spec afterFinite = world.step(1);
        afterFinite.after = {0};
        step_spec afterLasting = world.step(1);
        afterLasting.after = {1};
        const std::vector<start_run> runs = story.submit(world.job("j1", {world.step(1), story.lastingStep(1), afterFinite, afterLasting}));
        REQUIRE(runs.size() == 2);
        const start_run &finite = runs[0].task.step == 0 ? runs[0] : runs[1];
        const start_run &lasting = runs[0].task.step == 0 ? runs[1] : runs[0];
        story.work(runs);
        story.end(finite, run_end::Done, {lasting});
        const std::vector<start_run> second = story.startAll();
        REQUIRE(second.size() == 1);
        CHECK(second[0].task.step == 2);
        story.end(second[0], run_end::Done, {lasting});
        CHECK(story.startAll().empty());
        story.end(lasting, run_end::Done);
        const std::vector<start_run> third = story.startAll();
        REQUIRE(third.size() == 1);
        CHECK(third[0].task.step == 1);
        CHECK(world.phaseOf("j1") == "running");
    }
    SUBCASE("each occurrence of a repeating job")
    {
        job_spec job = world.job("j1", {story.lastingStep(1)});
        job.repeatCount = 2;
        job.firstAtUnixMs = 0;
        job.intervalMs = 5'000;
        const std::vector<start_run> runs = story.submit(job);
        REQUIRE(runs.size() == 1);
        story.work(runs);
        story.end(runs[0], run_end::Done);
        const std::vector<start_run> next = story.startAll();
        REQUIRE(next.size() == 1);
        CHECK(next[0].task.occurrence == 0);
        world.advance(5'000);
        world.answerPoll("e1", {world.running(next[0], 100)});
        const std::vector<start_run> later = story.startAll();
        REQUIRE(later.size() == 1);
        CHECK(later[0].task.occurrence == 1);
        story.work({next[0], later[0]});
        story.end(later[0], run_end::Done, {next[0]});
        CHECK(story.startAll().size() == 1);
        CHECK(world.phaseOf("j1") == "running");
    }
}

// Guards against a second run of a gang's members beside their former runs.
TEST_CASE("a long-running gang is started again once all of its members have ended")
{
    lasting_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    step_spec gang = story.lastingStep(2);
    gang.gang = true;
    const std::vector<start_run> runs = story.submit(world.job("j1", {gang}));
    REQUIRE(runs.size() == 2);
    story.work(runs);
    const std::int64_t first = ++story.listedEnds;

    SUBCASE("whose ends are listed together")
    {
        const std::int64_t second = ++story.listedEnds;
        world.answerPoll("e1", {}, {world.ended(runs[0], first, run_end::Done), world.ended(runs[1], second, run_end::Done)});
    }
    SUBCASE("whose ends are listed one after the other")
    {
        world.answerPoll("e1", {world.running(runs[1], 100)}, {world.ended(runs[0], first, run_end::Done)});
        world.advance(2'000);
        CHECK(world.take<start_run>().empty());
        story.end(runs[1], run_end::GangMemberEnded);
    }
    SUBCASE("of which one end represents all")
    {
        world.answerPoll("e1", {}, {world.ended(runs[0], first, run_end::Done)});
        const std::vector<stop_run> stops = world.take<stop_run>();
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].task == runs[1].task);
        world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
        world.advance(100);
        world.answerPoll("e1");
        world.advance(100);
    }
    const std::vector<start_run> next = story.startAll();
    REQUIRE(next.size() == 2);
    CHECK(next[0].run == 2);
    CHECK(next[1].run == 2);
    CHECK(world.phaseOf("j1") == "running");
}

// Guards against long-running tasks that a row of a former version keeps from ever running again.
TEST_CASE("a new lease holder starts long-running tasks that a former version stored as done")
{
    lasting_world story;
    scheduler_fixture &world = story.world;
    const job_spec job = world.job("j1", {world.step(1), story.lastingStep(2)});
    const std::string row = R"({"phase":"running","tasks":[[0,0,0,2,1,[],"",""],[0,1,0,2,3,[],"",""],[0,1,1,1,1,[],"e1",""]]})";
    REQUIRE(world.taskScheduler.restore(job, row, world.now));
    start_run present;
    present.task = {"j1", 0, 1, 1};
    present.run = 1;
    world.taskScheduler.handle(executor_entry_changed{world.entry("e1")}, world.now);
    world.planAndCommit();
    world.answerPoll("e1", {world.running(present, 100)});
    const std::vector<start_run> next = story.startAll();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task == task_id{"j1", 0, 1, 0});
    CHECK(next[0].run == 4);
    CHECK(world.take<stop_run>().empty());
    CHECK(world.phaseOf("j1") == "running");
}
