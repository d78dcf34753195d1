#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

std::int64_t acknowledgedBy(const std::vector<hold_executor> &holds)
{
    REQUIRE_FALSE(holds.empty());
    return holds.back().acknowledged;
}

} // namespace

// A list names a limited number of ends; the done end of a run behind them was missed and its task started again.
TEST_CASE("a run that a list with a full page of ends doesn't name isn't taken as lost")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    first.taskScheduler.handle(job_submitted{first.job("j1", {first.step(1)})}, first.now);
    first.planAndCommit();
    const std::vector<start_run> starts = first.take<start_run>();
    REQUIRE(starts.size() == 1);
    start_run other = starts[0];
    other.task.job = "gone";
    const listed_end firstEnd = scheduler_fixture::ended(other, 1, run_end::Done);
    const listed_end ownEnd = scheduler_fixture::ended(starts[0], 2, run_end::Done);

    SUBCASE("after a takeover")
    {
        scheduler_fixture second;
        REQUIRE(second.taskScheduler.restore(second.job("j1", {second.step(1)}), first.rows.at("j1"), second.now));
        second.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.taskScheduler.handle(hold_answered{"e1", order_status::Ok, second.now, 5, 1'000, {}, {firstEnd}, true}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        CHECK(acknowledgedBy(second.take<hold_executor>()) == 1);
        second.answerHold("e1", {}, {ownEnd});
        CHECK(second.phaseOf("j1") == "completed");
        CHECK(second.take<start_run>().empty());
    }
    SUBCASE("while a stop is waited for")
    {
        first.addExecutor("e2");
        first.answerStart(starts[0], order_status::Unknown);
        first.now += 10;
        first.answerHold("e1");
        REQUIRE(first.take<stop_run>().size() == 1);
        first.taskScheduler.handle(stop_answered{starts[0].task, 1, "e1", order_status::StaleRun}, first.now);
        first.now += 10;
        first.taskScheduler.handle(hold_answered{"e1", order_status::Ok, first.now, 5, 1'000, {}, {firstEnd}, true}, first.now);
        first.planAndCommit();
        CHECK(first.take<start_run>().empty());
        first.answerHold("e1", {}, {ownEnd});
        CHECK(first.phaseOf("j1") == "completed");
    }
}

// Numbers of ends begin anew with each life, so a former life's number would make a later one forget ends that nobody has read.
TEST_CASE("ends are acknowledged once, and only to an executor that answers")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 1);
    world.answerStart(starts[0]);
    world.take<hold_executor>();
    world.answerHold("e1", {}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
    CHECK(acknowledgedBy(world.take<hold_executor>()) == 1);

    SUBCASE("it answers: the next one acknowledges nothing")
    {
        world.answerHold("e1");
        world.advance(3'000);
        CHECK(acknowledgedBy(world.take<hold_executor>()) == 0);
    }
    SUBCASE("it falls silent")
    {
        world.answerHold("e1", {}, {}, order_status::Unknown);
        world.advance(500);
        CHECK(acknowledgedBy(world.take<hold_executor>()) == 0);
        SUBCASE("it answers and still lists the end: it is acknowledged again")
        {
            world.answerHold("e1", {}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
            CHECK(acknowledgedBy(world.take<hold_executor>()) == 1);
        }
    }
}
