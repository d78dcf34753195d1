#include "sched/crash_suspects.h"
#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <array>

using namespace daisypass::sched;

namespace {

/** Executors of which each can crash; its VM then gets the next one. */
struct crashing_world
{
    scheduler_fixture world;
    int incarnations = 1;

    void addExecutor(const std::string &name)
    {
        world.addExecutor(name);
    }

    /** Ends the executor, which refuses the poll that asks it, and announces the next one on its VM, which answers its first poll. */
    std::string crash(const std::string &executor)
    {
        executor_entry next = scheduler_fixture::entry(executor);
        next.id = executor + "+";
        next.vm = world.taskScheduler.executors().at(executor).entry.vm;
        next.startedUnixMs += ++incarnations;
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.answerPoll(executor, {}, {}, order_status::Unreachable);
        world.answerPoll(next.id, {}, {}, order_status::Ok, next.startedUnixMs);
        return next.id;
    }

    void submit(const std::string &job, int tasks = 1)
    {
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job(job, {scheduler_fixture::step(tasks)})}, world.now);
        world.planAndCommit();
    }

    /** The only start order that is due; the executor confirms it. */
    start_run start()
    {
        const start_run order = world.takeStart();
        world.answerStart(order);
        return order;
    }

    /** Lets the time pass in which other crashes would be noticed. */
    void awaitJudgement()
    {
        world.advance(1'600);
        world.advance(100);
    }

    void answerWithRun(const start_run &order)
    {
        world.answerPoll(order.executor, {scheduler_fixture::running(order)}, {}, order_status::Ok, order.startedUnixMs);
    }
};

} // namespace

TEST_CASE("a run is a suspect if its executor isn't known to have survived its start")
{
    const std::array<run_start, 4> starts{run_start{{"old", 0, 0, 0}, 1'000},
                                          run_start{{"just survived", 0, 0, 0}, 1'750},
                                          run_start{{"new", 0, 0, 0}, 1'751},
                                          run_start{{"sent since", 0, 0, 0}, 2'100}};
    const std::vector<task_id> suspects = crashSuspects(starts, 2'000);
    REQUIRE(suspects.size() == 2);
    CHECK(suspects[0].job == "new");
    CHECK(suspects[1].job == "sent since");
}

// Guards against a task that crashes one executor after the other.
TEST_CASE("a task under which executors crash")
{
    crashing_world story;
    scheduler_fixture &world = story.world;
    story.addExecutor("e1");
    story.submit("deadly");
    start_run order = story.start();

    SUBCASE("is given up after the second crash of which it is the only suspect")
    {
        story.crash(order.executor);
        order = story.start();
        CHECK(world.phaseOf("deadly") == "running");
        story.crash(order.executor);
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "failed");
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("is given up by the next lease holder, which knows of the first crash")
    {
        const std::string next = story.crash(order.executor);
        crashing_world successor;
        successor.world.takeOver(world, "deadly");
        successor.addExecutor("e9");
        successor.world.advance(100);
        successor.world.answerPoll(next, {}, {}, order_status::Ok, 0);
        order = successor.start();
        successor.crash(order.executor);
        successor.awaitJudgement();
        CHECK(successor.world.phaseOf("deadly") == "failed");
    }
    SUBCASE("isn't the reason if the executor has answered some time after the start")
    {
        for (int crash = 0; crash < 4; ++crash) {
            world.advance(2 * startSurvivedMs);
            story.answerWithRun(order);
            story.crash(order.executor);
            order = story.start();
        }
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "running");
    }
    SUBCASE("isn't the reason if the executor leaves as planned")
    {
        for (int leave = 0; leave < 4; ++leave) {
            executor_entry leaving = world.taskScheduler.executors().at(order.executor).entry;
            leaving.draining = true;
            world.taskScheduler.handle(executor_entry_changed{leaving}, world.now);
            story.crash(order.executor);
            order = story.start();
        }
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "running");
    }
    SUBCASE("is cleared once an executor has survived its start")
    {
        story.crash(order.executor);
        order = story.start();
        world.advance(2 * startSurvivedMs);
        story.answerWithRun(order);
        story.crash(order.executor);
        order = story.start();
        story.crash(order.executor);
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "running");
    }
    SUBCASE("isn't the reason if its start was never confirmed and the executor has answered since")
    {
        for (int crash = 0; crash < 3; ++crash) {
            story.crash(order.executor);
            order = world.takeStart();
            world.answerStart(order, order_status::Unknown);
            world.advance(2 * startSurvivedMs);
            world.answerPoll(order.executor, {}, {}, order_status::Ok, order.startedUnixMs);
            world.take<stop_run>();
        }
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "running");
    }
    SUBCASE("isn't given up if an executor crashes at the same time under runs that can't be the reason")
    {
        story.addExecutor("e5");
        const start_run longWork = world.runTask("long", 4'000);
        REQUIRE(longWork.executor == "e5");
        world.advance(2 * startSurvivedMs);
        story.answerWithRun(longWork);
        story.crash(order.executor);
        order = story.start();
        SUBCASE("which is noticed first")
        {
            story.crash("e5");
            world.take<start_run>();
            story.crash(order.executor);
        }
        SUBCASE("which is noticed later")
        {
            story.crash(order.executor);
            story.crash("e5");
        }
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "running");
    }
    SUBCASE("isn't started a fourth time while executors crash for other reasons, and is given up if it crashes one after that")
    {
        for (int crash = 0; crash < 3; ++crash) {
            story.addExecutor("long" + std::to_string(crash));
            const start_run longWork = world.runTask("work" + std::to_string(crash), 4'000);
            world.advance(2 * startSurvivedMs);
            story.answerWithRun(longWork);
            story.crash(longWork.executor);
            world.take<start_run>();
            world.taskScheduler.handle(job_cancelled{"work" + std::to_string(crash)}, world.now);
            story.crash(order.executor);
            if (crash < 2) {
                order = story.start();
            }
        }
        CHECK(world.take<start_run>().empty());
        world.advance(5'000);
        world.advance(100);
        order = story.start();
        CHECK(world.phaseOf("deadly") == "running");
        story.crash(order.executor);
        story.awaitJudgement();
        CHECK(world.phaseOf("deadly") == "failed");
    }
}

// Guards against suspects that meet again on the next executor, so that none can be told from the others.
TEST_CASE("a suspect is started where nothing else can be the reason of a crash")
{
    crashing_world story;
    scheduler_fixture &world = story.world;
    story.addExecutor("e1");
    story.submit("deadly");
    story.start();
    story.submit("innocent");
    story.start();
    const std::string next = story.crash("e1");
    const start_run first = story.start();
    const std::string other = first.task.job == "deadly" ? "innocent" : "deadly";
    CHECK(first.executor == next);

    SUBCASE("the second suspect waits while the first one's start is not survived")
    {
        world.advance(100);
        CHECK(world.take<start_run>().empty());
        SUBCASE("and is started after it")
        {
            world.advance(2 * startSurvivedMs);
            story.answerWithRun(first);
            world.advance(2 * startSurvivedMs);
            story.answerWithRun(first);
            CHECK(world.takeStart().task.job == other);
        }
        SUBCASE("or at once on another executor, if enough are left for other tasks")
        {
            story.addExecutor("e2");
            CHECK(world.take<start_run>().empty());
            story.addExecutor("e3");
            story.addExecutor("e4");
            CHECK(world.takeStart().task.job == other);
        }
    }
    SUBCASE("other tasks wait as well, and go on when it is cleared")
    {
        story.submit("later");
        CHECK(world.take<start_run>().empty());
        world.advance(2 * startSurvivedMs);
        story.answerWithRun(first);
        CHECK_FALSE(world.take<start_run>().empty());
    }
    SUBCASE("further crashes have one suspect, and the other task isn't given up with it")
    {
        story.crash(next);
        start_run order = story.start();
        while (order.task.job != first.task.job) {
            world.advance(2 * startSurvivedMs);
            story.answerWithRun(order);
            order = story.start();
        }
        story.crash(order.executor);
        story.awaitJudgement();
        CHECK(world.phaseOf(first.task.job) == "failed");
        CHECK(world.phaseOf(other) == "running");
    }
}

// Guards against a start in a pool that the configuration has left while the executor was kept.
TEST_CASE("a suspect isn't started on the executor kept for it when its queue leads to another pool")
{
    constexpr std::int64_t largeCpu = 8'000;
    crashing_world story;
    scheduler_fixture &world = story.world;
    story.addExecutor("e1");
    story.submit("deadly");
    story.start();
    world.addExecutor("e2", largeCpu);
    const start_run busy = world.runTask("busy", largeCpu / 2 + 1'000);
    REQUIRE(busy.executor == "e2");
    executor_entry next = scheduler_fixture::entry("e1");
    next.id = "e1+";
    next.startedUnixMs += 1;
    world.taskScheduler.handle(executor_entry_changed{next}, world.now);
    world.answerPoll("e1", {}, {}, order_status::Unreachable);
    REQUIRE_FALSE(world.taskScheduler.executors().at("e2").probation.empty());
    CHECK(world.take<start_run>().empty());

    SUBCASE("it is started there once the executor has survived its other starts")
    {
        world.advance(2 * startSurvivedMs);
        story.answerWithRun(busy);
        CHECK(world.takeStart().executor == "e2");
    }
    SUBCASE("unless the queue leads elsewhere by then")
    {
        configuration_view changed = scheduler_fixture::singleQueueConfiguration();
        changed.version = 2;
        changed.queues[0].pool = "elsewhere";
        changed.pools[0].name = "elsewhere";
        world.taskScheduler.handle(configuration_changed{changed}, world.now);
        executor_entry there = scheduler_fixture::entry("e9");
        there.pool = "elsewhere";
        world.taskScheduler.handle(executor_entry_changed{there}, world.now);
        world.answerPoll("e9");
        world.advance(2 * startSurvivedMs);
        story.answerWithRun(busy);
        world.advance(2 * startSurvivedMs);
        CHECK(world.takeStart().executor == "e9");
    }
}

TEST_CASE("a job's row keeps the crashes under its tasks")
{
    job_record job(scheduler_fixture::job("j", {scheduler_fixture::step(2)}));
    job.openDueOccurrences(0);
    task_record &task = *job.find({"j", 0, 0, 1});
    task.run = 4;
    task.suspectRuns = {1, 3};
    task.crashRuns = {4};
    job_record restored(job.spec);
    REQUIRE(readState(writeState(job), restored));
    CHECK(restored.find({"j", 0, 0, 1})->suspectRuns == std::vector<int>{1, 3});
    CHECK(restored.find({"j", 0, 0, 1})->crashRuns == std::vector<int>{4});
    CHECK_FALSE(restored.find({"j", 0, 0, 0})->isSuspect());
}
