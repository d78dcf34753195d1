#include "sched/suspect_trials.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

waiting_suspect suspect(const std::string &job, suspicion kind, time_ms waitingSince, bool longRunning = false)
{
    return {{job, 0, 0, 0}, kind, longRunning, waitingSince};
}

/** A pool whose executors' clocks and lives the test plays. */
struct trial_world
{
    scheduler_fixture world;

    executor_entry successorOf(const std::string &executor)
    {
        executor_entry next = world.taskScheduler.executors().at(executor).entry;
        next.id = executor + "+";
        next.startedUnixMs += 1;
        return next;
    }

    /** Ends the executor; its VM's next one belongs to another pool. */
    void crashAndLeavePool(const std::string &executor)
    {
        executor_entry next = successorOf(executor);
        next.pool = "spare";
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.planAndCommit();
    }

    /** Ends the executor; its VM's next one answers its first poll. */
    void crash(const std::string &executor)
    {
        const executor_entry next = successorOf(executor);
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.planAndCommit();
        world.answerPoll(next.id, {}, {}, order_status::Ok, next.startedUnixMs);
    }

    void fallSilent(const std::string &executor)
    {
        world.answerPoll(executor, {}, {}, order_status::Unreachable);
    }

    /** Lets the executor survive the starts of these runs. */
    void survive(const std::string &executor, const std::vector<start_run> &runs)
    {
        world.advance(300);
        std::vector<listed_run> listed;
        for (const start_run &run : runs) {
            listed.push_back(scheduler_fixture::running(run, 100));
        }
        world.answerPoll(executor, listed);
    }
};

} // namespace

TEST_CASE("suspects are tried in the order that serves the innocent ones first")
{
    std::vector<waiting_suspect> waiting{suspect("sole", suspicion::Sole, 1),
                                         suspect("late", suspicion::Shared, 9),
                                         suspect("early", suspicion::Shared, 2),
                                         suspect("untried", suspicion::Untried, 1),
                                         suspect("long", suspicion::Shared, 20, true)};
    std::sort(waiting.begin(), waiting.end(), isTriedBefore);
    std::vector<std::string> order;
    for (const waiting_suspect &one : waiting) {
        order.push_back(one.task.job);
    }
    CHECK(order == std::vector<std::string>{"long", "early", "late", "untried", "sole"});
}

TEST_CASE("trials take a part of a pool")
{
    SUBCASE("half of it")
    {
        trial_quota quota(8, false);
        for (int trial = 0; trial < 4; ++trial) {
            CHECK(quota.take(suspicion::Sole));
        }
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
    SUBCASE("a quarter of it for those that will probably crash their executors, while others wait for room")
    {
        trial_quota quota(8, true);
        CHECK(quota.take(suspicion::Sole));
        CHECK(quota.take(suspicion::Sole));
        CHECK_FALSE(quota.take(suspicion::Sole));
        CHECK(quota.take(suspicion::Shared));
    }
    SUBCASE("executors that are kept already count")
    {
        trial_quota quota(4, false);
        quota.add(suspicion::Shared);
        quota.add(suspicion::Sole);
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
    SUBCASE("a pool of one executor tries one after the other")
    {
        trial_quota quota(1, true);
        CHECK(quota.take(suspicion::Sole));
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
}

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
    REQUIRE(world.taskScheduler.executors().at("busy").probation.has_value());
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
    REQUIRE(trials.size() == 2);
    for (const start_run &trial : trials) {
        world.answerStart(trial);
        story.fallSilent(trial.executor);
    }
    world.advance(100);
    CHECK(world.take<start_run>().empty());
    SUBCASE("the others are for tasks against which nothing speaks")
    {
        CHECK(world.placeTask("innocent", 3'000).executor != trials[0].executor);
    }
    SUBCASE("the next suspect follows when its VM has the next executor")
    {
        story.crash(trials[0].executor);
        CHECK(world.take<start_run>().size() == 1);
    }
}
