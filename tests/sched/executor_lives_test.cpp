#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t firstStartUnixMs = 1'000;
constexpr std::int64_t secondStartUnixMs = 2'000;

executor_entry secondIncarnationOf(const std::string &id, const std::string &address)
{
    executor_entry entry = scheduler_fixture::entry(id);
    entry.startedUnixMs = secondStartUnixMs;
    entry.address = address;
    return entry;
}

poll_answered wrongExecutor(const std::string &executor, const order_target &sentTo)
{
    return {executor, order_status::WrongExecutor, 0, 7, std::nullopt, {}, {}, false, sentTo};
}

/** Places one task on e1, the only executor, and then adds e2, which has capacity for a second run of the task. */
struct single_run_setup
{
    single_run_setup()
    {
        world.addExecutor("e1");
        world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.planAndCommit();
        start = world.take<start_run>().at(0);
        world.addExecutor("e2");
    }

    scheduler_fixture world;
    start_run start;
};

} // namespace

// A WrongExecutor answer from an executor's former address marked the current incarnation as dead, and its runs as lost.
TEST_CASE("a WrongExecutor answer concerns only the address and the incarnation that the order was sent to")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const order_target former{scheduler_fixture::entry("e1").address, firstStartUnixMs};
    const std::string address = "10.0.0.2:80";

    SUBCASE("e1 has restarted at another address")
    {
        world.taskScheduler.handle(executor_entry_changed{secondIncarnationOf("e1", address)}, world.now);
        world.planAndCommit();
        world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
        world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.planAndCommit();
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].startedUnixMs == secondStartUnixMs);
        world.answerStart(starts[0]);
        world.addExecutor("e2");
        SUBCASE("a poll")
        {
            world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        }
        SUBCASE("a stop")
        {
            world.taskScheduler.handle(stop_answered{starts[0].task, 1, "e1", order_status::WrongExecutor, former}, world.now);
        }
        SUBCASE("a poll, if the address is the same")
        {
            world.taskScheduler.handle(executor_entry_changed{secondIncarnationOf("e1", former.address)}, world.now);
            world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        }
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    }
    SUBCASE("e1 has only that address and incarnation: it is dead")
    {
        world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        CHECK(world.taskScheduler.executors().at("e1").dead);
    }
}

// A start had reached the executor's next incarnation. When a list revealed the restart, the run was taken as lost with the former
// incarnation and started a second time.
TEST_CASE("a run that a later incarnation of its executor has isn't started elsewhere")
{
    single_run_setup setup;
    scheduler_fixture &world = setup.world;
    const start_run &start = setup.start;

    SUBCASE("its start was answered by the later incarnation")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, secondStartUnixMs}, world.now);
        world.planAndCommit();
        world.answerPoll("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, secondStartUnixMs);
        CHECK(world.take<start_run>().empty());
        CHECK(world.take<stop_run>().empty());
    }
    SUBCASE("its start has no answer")
    {
        world.answerStart(start, order_status::Unknown);
        SUBCASE("the first list of the later incarnation shows it")
        {
            world.answerPoll("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, secondStartUnixMs);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().empty());
        }
        SUBCASE("that list doesn't show it: the order may still be carried out, so the run is stopped first")
        {
            world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
            CHECK(world.take<start_run>().empty());
            world.now += 10;
            world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().size() == 1);
        }
        SUBCASE("it is being stopped: a stop that the earlier incarnation acknowledged doesn't count")
        {
            world.now += 10;
            world.answerPoll("e1", {}, {}, order_status::Ok, firstStartUnixMs);
            REQUIRE(world.take<stop_run>().size() == 1);
            world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok, {start.address, firstStartUnixMs}}, world.now);
            world.advance(10);
            world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
            CHECK(world.take<start_run>().empty());
            world.advance(100);
            const std::vector<stop_run> stops = world.take<stop_run>();
            REQUIRE(stops.size() == 1);
            CHECK(stops[0].startedUnixMs == secondStartUnixMs);
            world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok, {start.address, secondStartUnixMs}}, world.now);
            world.advance(10);
            world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
            CHECK(world.take<start_run>().size() == 1);
        }
    }
    SUBCASE("its start was confirmed by the earlier incarnation: the run is lost with that one")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, firstStartUnixMs}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// A lease end computed from another executor's clock may be later than the time at which the scheduler takes the lease as expired.
TEST_CASE("an executor's clock is read only from its current incarnation")
{
    constexpr std::int64_t otherClock = 900'000;
    single_run_setup setup;
    scheduler_fixture &world = setup.world;
    const start_run &start = setup.start;
    world.taskScheduler.handle(executor_entry_changed{secondIncarnationOf("e1", "10.0.0.2:80")}, world.now);
    world.planAndCommit();
    world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, world.now, 5, secondStartUnixMs, {}, {}}, world.now);

    SUBCASE("not from the earlier incarnation")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::TooLate, otherClock, firstStartUnixMs}, world.now);
    }
    SUBCASE("not from another executor at the address")
    {
        world.taskScheduler.handle(
            start_answered{start.task, start.run, "e1", order_status::WrongExecutor, otherClock, std::nullopt, {start.address, firstStartUnixMs}}, world.now);
    }
    CHECK(world.taskScheduler.executors().at("e1").clockAtTime(world.now) < otherClock);
}

// Until the new incarnation has sent a list, its clock and its runs are unknown.
TEST_CASE("a restarted executor gets no runs before its first list")
{
    single_run_setup setup;
    scheduler_fixture &world = setup.world;
    REQUIRE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));

    SUBCASE("the restart is read from its registry entry")
    {
        world.taskScheduler.handle(executor_entry_changed{secondIncarnationOf("e1", "10.0.0.2:80")}, world.now);
    }
    SUBCASE("the restart is read from the answer to a start")
    {
        world.taskScheduler.handle(start_answered{setup.start.task, setup.start.run, "e1", order_status::Ok, 10, secondStartUnixMs}, world.now);
    }
    CHECK_FALSE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
    world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
    CHECK(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
}

// A late list from a former incarnation was applied to the current one.
TEST_CASE("a list from an earlier incarnation is ignored")
{
    single_run_setup setup;
    scheduler_fixture &world = setup.world;
    const start_run &start = setup.start;
    world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, secondStartUnixMs}, world.now);
    world.planAndCommit();
    world.now += 10;
    start_run other = start;
    other.task.job = "gone";
    world.answerPoll("e1", {}, {scheduler_fixture::ended(other, 7, run_end::Done)}, order_status::Ok, firstStartUnixMs);
    CHECK(world.take<stop_run>().empty());
    CHECK(world.take<start_run>().empty());
    world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)}, order_status::Ok, secondStartUnixMs);
    CHECK(world.phaseOf("j1") == "completed");
}
