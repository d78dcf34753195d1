#include "trial_world.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace daisypass::sched;

// Guards against a long-running task that doesn't run although an executor with room is kept for it (LOST).
TEST_CASE("a suspect is started on the executor kept for it although another task of its step finds none")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    for (const std::string executor : {"e1", "e2", "e3"}) {
        world.addExecutor(executor);
    }
    step_spec step = scheduler_fixture::step(3);
    step.longRunning = true;
    step.maxTasksPerExecutor = 1;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("lasts", {step})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 3);
    for (const start_run &start : starts) {
        world.answerStart(start);
    }
    const start_run first = starts[0];
    const start_run last = starts[2];
    story.survive(first.executor, {first});
    story.survive(starts[1].executor, {starts[1]});

    // The last task becomes a suspect and an executor is kept for it that has another run to survive.
    constexpr std::int64_t largeCpu = 8'000;
    world.addExecutor("busy", largeCpu);
    const start_run other = world.runTask("other", largeCpu / 2);
    REQUIRE(other.executor == "busy");
    story.crashAndLeavePool(last.executor);
    REQUIRE_FALSE(world.taskScheduler.executors().at("busy").probation.empty());
    // The first task, which has survived its start, finds no executor.
    story.crashAndLeavePool(first.executor);
    CHECK(world.take<start_run>().empty());

    story.survive("busy", {other});
    const start_run again = world.takeStart();
    CHECK(again.task == last.task);
    CHECK(again.executor == "busy");
}

// Guards against trials that take one executor of a pool after the other, so that no task finds one (LOST).
TEST_CASE("an executor that has fallen silent in a trial counts as kept for it")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    const std::vector<std::string> executors{"e1", "e2", "e3", "e4"};
    for (const std::string &executor : executors) {
        world.addExecutor(executor);
        const start_run deadly = world.runTask("deadly-" + executor, 3'000);
        REQUIRE(deadly.executor == executor);
    }
    for (const std::string &executor : executors) {
        story.crash(executor);
    }
    const std::vector<start_run> trials = world.take<start_run>();
    REQUIRE(trials.size() == 3);
    for (const start_run &trial : trials) {
        world.answerStart(trial);
        story.fallSilent(trial.executor);
    }
    world.advance(100);
    CHECK(world.take<start_run>().empty());
    SUBCASE("the others are for tasks against which nothing speaks")
    {
        world.taskScheduler.handle(job_submitted{story.jobOfOtherQueue("innocent")}, world.now);
        world.planAndCommit();
        CHECK(world.takeStart().executor != trials[0].executor);
    }
    SUBCASE("the next suspect follows when its VM has the next executor")
    {
        story.crash(trials[0].executor);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// Guards against jobs whose tasks crash executors one after the other and take the other queues' runs along.
TEST_CASE("while tasks of a queue crash executors")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    const std::vector<std::string> executors{"e1", "e2", "e3"};
    for (const std::string &executor : executors) {
        world.addExecutor(executor);
        REQUIRE(world.runTask("deadly-" + executor, 3'000).executor == executor);
    }
    // Three crashes with one suspect each; one executor of three may be kept for them.
    for (const std::string &executor : executors) {
        story.crash(executor);
    }
    const std::vector<start_run> trials = world.take<start_run>();

    SUBCASE("a new step starts with one task, and the others follow when that has survived its start")
    {
        for (const std::string &executor : executors) {
            world.taskScheduler.handle(job_cancelled{"deadly-" + executor}, world.now);
        }
        world.answerPoll(trials[0].executor, {}, {scheduler_fixture::ended(trials[0], 1, run_end::Stopped)}, order_status::Ok, 1'001);
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job("new", {scheduler_fixture::step(3)})}, world.now);
        world.planAndCommit();
        const start_run first = world.takeStart();
        world.answerStart(first);
        world.advance(300);
        world.answerPoll(first.executor, {scheduler_fixture::running(first)}, {}, order_status::Ok, 1'001);
        CHECK(world.take<start_run>().size() == 2);
    }
    SUBCASE("a job of another queue starts at once")
    {
        job_spec spec = story.jobOfOtherQueue("other");
        spec.steps[0].taskCount = 2;
        spec.steps[0].demand.cpu = 1'000;
        world.taskScheduler.handle(job_submitted{spec}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().size() == 2);
    }
}

// Guards against a queue of suspects that waits because each trial takes an executor for seconds (LOST).
TEST_CASE("suspects that have crashed an executor alone are tried together while more crashes are expected")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    const std::vector<start_run> trials = story.startsAfterFourCrashes("deadly-");
    REQUIRE(trials.size() == 4);
    for (const start_run &trial : trials) {
        CHECK(trial.executor == "large");
    }
    const std::string unconfirmed = trials[3].task.job;
    for (std::size_t trial = 0; trial < 3; ++trial) {
        world.answerStart(trials[trial]);
    }

    SUBCASE("a crash gives up those that certainly ran")
    {
        world.answerStart(trials[3], order_status::Unknown);
        story.crash("large");
        world.advance(1'600);
        world.advance(100);
        for (std::size_t trial = 0; trial < 3; ++trial) {
            CHECK(world.phaseOf(trials[trial].task.job) == "failed");
        }
        CHECK(world.phaseOf(unconfirmed) == "running");
    }
    SUBCASE("an executor that survives them clears all")
    {
        world.answerStart(trials[3]);
        story.survive("large", trials);
        CHECK(world.taskScheduler.executors().at("large").probation.empty());
    }
}

// Guards against trials that keep the only executor of a pool from the tasks that need none (LOST).
TEST_CASE("trials leave room for other tasks in a pool of one executor")
{
    watched_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("only", 64'000);
    constexpr int steps = 20;
    for (int number = 0; number < steps; ++number) {
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job("first-" + std::to_string(number), {scheduler_fixture::step(1)})}, world.now);
    }
    job_spec lasts = story.jobOfOtherQueue("lasts");
    lasts.steps[0].demand.cpu = 1'000;
    lasts.steps[0].longRunning = true;
    story.submit(lasts);
    std::vector<start_run> running;
    const time_ms since = world.now;
    bool started = false;
    while (!started && world.now - since < 30'000) {
        for (const start_run &start : world.take<start_run>()) {
            world.answerStart(start);
            started = started || start.task.job == "lasts";
            running.push_back(start);
        }
        story.survive("only", running);
    }
    MESSAGE("the long-running task waited " << world.now - since << " ms for " << running.size() - 1 << " trials");
    CHECK(world.now - since < 3'000);
}

// Guards against a job that is given up because an executor crashed under it once for another reason and once under a task it was tried with.
TEST_CASE("a job isn't given up with those it was tried with after one crash of its own")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    // The fourth executor ends for another reason.
    const std::vector<start_run> trials = story.startsAfterFourCrashes("job-");
    for (const start_run &trial : trials) {
        world.answerStart(trial);
    }
    story.crash("large");
    world.advance(1'600);
    world.advance(100);
    CHECK(world.phaseOf("job-e4") == "running");
}

// Guards against a long-running task that waits while first tasks of new steps are tried one after the other (LOST).
TEST_CASE("a long-running task under which an executor has crashed alone is tried while new steps keep arriving")
{
    watched_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("c4");
    job_spec lasts = scheduler_fixture::job("lasts", {scheduler_fixture::step(1)});
    lasts.steps[0].longRunning = true;
    story.submit(lasts);
    world.answerStart(world.takeStart());
    const std::vector<std::string> executors{"e1", "e2", "e3", "e4"};
    for (const std::string &executor : executors) {
        world.addExecutor(executor, 640'000);
    }
    std::map<std::string, std::vector<start_run>> running;
    bool started = false;
    int jobs = 0;
    time_ms since = world.now;
    bool crashed = false;
    while (!started && world.now - since < 9'000) {
        if (jobs >= 24 && !crashed) {
            crashed = true;
            story.crashAndLeavePool("c4");
            since = world.now;
        }
        // Eight steps in 0.3 s.
        for (int job = 0; job < 8; ++job) {
            world.taskScheduler.handle(job_submitted{scheduler_fixture::job("new-" + std::to_string(++jobs), {scheduler_fixture::step(1)})}, world.now);
        }
        world.planAndCommit();
        for (int round = 0; round < 2; ++round) {
            for (const start_run &start : world.take<start_run>()) {
                world.answerStart(start);
                started = started || start.task.job == "lasts";
                running[start.executor].push_back(start);
            }
        }
        world.advance(300);
        for (const std::string &executor : executors) {
            std::vector<listed_run> listed;
            for (const start_run &run : running[executor]) {
                listed.push_back(scheduler_fixture::running(run, 100));
            }
            world.answerPoll(executor, listed);
        }
    }
    MESSAGE("started " << started << " after " << world.now - since << " ms");
    CHECK(world.now - since < 3'000);
}

// Guards against a task that crashes executor after executor and isn't a suspect, because their VMs take longer to restart than leases last.
TEST_CASE("a task that crashes executors is given up although their VMs restart slowly")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("deadly", {scheduler_fixture::step(1)})}, world.now);
    int starts = 0;
    for (int executor = 1; executor <= 8; ++executor) {
        const std::string id = "e" + std::to_string(executor);
        world.addExecutor(id);
        for (const start_run &start : world.take<start_run>()) {
            ++starts;
            world.answerStart(start);
        }
        story.fallSilent(id);
        for (int second = 0; second < 8; ++second) {
            world.advance(1'000);
        }
        story.crashAndLeavePool(id);
        world.advance(1'600);
        world.advance(100);
    }
    CHECK(starts <= 5);
}
