#include "sched/crash_watch.h"
#include "sched/suspect_trials.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace daisypass::sched;

namespace {

waiting_suspect suspect(const std::string &job, suspicion kind, time_ms waitingSince, bool longRunning = false)
{
    return {{job, 0, 0, 0}, kind, longRunning, waitingSince};
}

/** A pool whose executors' clocks and lives the test plays. */
struct trial_world
{
    trial_world()
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = 2;
        view.queues.push_back(view.queues[0]);
        view.queues[1].key.prefix = "/other/";
        world.taskScheduler.handle(configuration_changed{view}, world.now);
    }

    scheduler_fixture world;

    /** A job of one task whose queue leads to the same pool. */
    static job_spec jobOfOtherQueue(const std::string &id)
    {
        job_spec spec = scheduler_fixture::job(id, {scheduler_fixture::step(1, 3'000)});
        spec.queue.prefix = "/other/";
        return spec;
    }

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
        fallSilent(executor);
    }

    /** Ends the executor; its VM's next one answers its first poll. */
    void crash(const std::string &executor)
    {
        const executor_entry next = successorOf(executor);
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        fallSilent(executor);
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
    REQUIRE(trials.size() == 2);
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

TEST_CASE("crashes of three jobs of a queue let further ones be expected")
{
    const queue_key queue{"host", "/booking/"};
    crash_watch watch;
    watch.crashed(queue, "a", 0);
    watch.crashed(queue, "a", 100);
    watch.crashed(queue, "b", 200);
    CHECK_FALSE(watch.expectsCrashes(queue, 200));
    watch.crashed(queue, "c", 300);
    CHECK(watch.expectsCrashes(queue, 300));
    CHECK_FALSE(watch.expectsCrashes({"host", "/other/"}, 300));

    SUBCASE("not if one of them had another reason")
    {
        watch.retract(queue, "b");
        CHECK_FALSE(watch.expectsCrashes(queue, 300));
    }
    SUBCASE("for some time")
    {
        CHECK_FALSE(watch.expectsCrashes(queue, 20'000));
        watch.forgetOld(20'000);
        CHECK_FALSE(watch.expectsCrashes(queue, 300));
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
    const std::vector<std::string> executors{"e1", "e2", "e3", "e4"};
    for (const std::string &executor : executors) {
        world.addExecutor(executor);
        REQUIRE(world.runTask("deadly-" + executor, 3'000).executor == executor);
    }
    for (const std::string &executor : executors) {
        story.crashAndLeavePool(executor);
    }
    constexpr std::int64_t largeCpu = 32'000;
    world.addExecutor("large", largeCpu);
    const std::vector<start_run> trials = world.take<start_run>();
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
