#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t firstBorn = 1'000;
constexpr std::int64_t secondBorn = 2'000;

executor_entry secondLifeOf(const std::string &id, const std::string &address)
{
    executor_entry one = scheduler_fixture::entry(id);
    one.bornUnixMs = secondBorn;
    one.address = address;
    return one;
}

hold_answered wrongExecutor(const std::string &executor, const order_target &sentTo)
{
    return {executor, order_status::WrongExecutor, 0, 7, std::nullopt, {}, {}, false, sentTo};
}

/** Places one task on e1, the only executor; e2 comes with room for its second run. */
struct one_run
{
    one_run()
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

// An answer from a former address gave up the executor's present life and its runs.
TEST_CASE("an answer of another executor speaks only of the address and the life that the order was sent to")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const order_target former{scheduler_fixture::entry("e1").address, firstBorn};
    const std::string address = "10.0.0.2:80";

    SUBCASE("e1 has started again at another address")
    {
        world.taskScheduler.handle(executor_seen{secondLifeOf("e1", address)}, world.now);
        world.planAndCommit();
        world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
        world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.planAndCommit();
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].bornUnixMs == secondBorn);
        world.answerStart(starts[0]);
        world.addExecutor("e2");
        SUBCASE("a hold")
        {
            world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        }
        SUBCASE("a stop")
        {
            world.taskScheduler.handle(stop_answered{starts[0].task, 1, "e1", order_status::WrongExecutor, former}, world.now);
        }
        SUBCASE("a hold, if the address is the same")
        {
            world.taskScheduler.handle(executor_seen{secondLifeOf("e1", former.address)}, world.now);
            world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        }
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    }
    SUBCASE("e1 has only that address and life: it is over")
    {
        world.taskScheduler.handle(wrongExecutor("e1", former), world.now);
        CHECK(world.taskScheduler.executors().at("e1").dead);
    }
}

// The start had reached the later life; when a list showed that life, the run was taken as lost with the earlier one.
TEST_CASE("a run that a later life of its executor has isn't started elsewhere")
{
    one_run story;
    scheduler_fixture &world = story.world;
    const start_run &start = story.start;

    SUBCASE("its start was answered by the later life")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, secondBorn}, world.now);
        world.planAndCommit();
        world.answerHold("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, secondBorn);
        CHECK(world.take<start_run>().empty());
        CHECK(world.take<stop_run>().empty());
    }
    SUBCASE("its start has no answer")
    {
        world.answerStart(start, order_status::Unknown);
        SUBCASE("the first list of the later life shows it")
        {
            world.answerHold("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, secondBorn);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().empty());
        }
        SUBCASE("the list doesn't: the order may still be carried out, so it is stopped first")
        {
            world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
            CHECK(world.take<start_run>().empty());
            world.now += 10;
            world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().size() == 1);
        }
        SUBCASE("it is being stopped: a stop that the earlier life acknowledged doesn't count")
        {
            world.now += 10;
            world.answerHold("e1", {}, {}, order_status::Ok, firstBorn);
            REQUIRE(world.take<stop_run>().size() == 1);
            world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok, {start.address, firstBorn}}, world.now);
            world.advance(10);
            world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
            CHECK(world.take<start_run>().empty());
            world.advance(100);
            const std::vector<stop_run> stops = world.take<stop_run>();
            REQUIRE(stops.size() == 1);
            CHECK(stops[0].bornUnixMs == secondBorn);
            world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok, {start.address, secondBorn}}, world.now);
            world.advance(10);
            world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
            CHECK(world.take<start_run>().size() == 1);
        }
    }
    SUBCASE("it had been confirmed by the earlier life: it is lost with that one")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, firstBorn}, world.now);
        world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// Leases on another clock may outlast the time after which their runs are taken as over.
TEST_CASE("an executor's clock is read only from its present life")
{
    constexpr std::int64_t otherClock = 900'000;
    one_run story;
    scheduler_fixture &world = story.world;
    const start_run &start = story.start;
    world.taskScheduler.handle(executor_seen{secondLifeOf("e1", "10.0.0.2:80")}, world.now);
    world.planAndCommit();
    world.taskScheduler.handle(hold_answered{"e1", order_status::Ok, world.now, 5, secondBorn, {}, {}}, world.now);

    SUBCASE("not from the earlier life")
    {
        world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::TooLate, otherClock, firstBorn}, world.now);
    }
    SUBCASE("not from another executor at the address")
    {
        world.taskScheduler.handle(
            start_answered{start.task, start.run, "e1", order_status::WrongExecutor, otherClock, std::nullopt, {start.address, firstBorn}}, world.now);
    }
    CHECK(world.taskScheduler.executors().at("e1").clockAtTime(world.now) < otherClock);
}

// A list of the present life comes first: its clock and its runs are unknown until then.
TEST_CASE("an executor that has started again gets no runs before it has listed what it has")
{
    one_run story;
    scheduler_fixture &world = story.world;
    REQUIRE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));

    SUBCASE("its entry tells")
    {
        world.taskScheduler.handle(executor_seen{secondLifeOf("e1", "10.0.0.2:80")}, world.now);
    }
    SUBCASE("the answer to a start tells")
    {
        world.taskScheduler.handle(start_answered{story.start.task, story.start.run, "e1", order_status::Ok, 10, secondBorn}, world.now);
    }
    CHECK_FALSE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
    world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
    CHECK(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
}

// The list of a former life came late and was taken for one of the present life.
TEST_CASE("a list of an earlier life says nothing of the present one")
{
    one_run story;
    scheduler_fixture &world = story.world;
    const start_run &start = story.start;
    world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, secondBorn}, world.now);
    world.planAndCommit();
    world.now += 10;
    start_run other = start;
    other.task.job = "gone";
    world.answerHold("e1", {}, {scheduler_fixture::ended(other, 7, run_end::Done)}, order_status::Ok, firstBorn);
    CHECK(world.take<stop_run>().empty());
    CHECK(world.take<start_run>().empty());
    world.answerHold("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)}, order_status::Ok, secondBorn);
    CHECK(world.phaseOf("j1") == "completed");
}
