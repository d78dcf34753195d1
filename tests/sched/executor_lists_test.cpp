#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

std::int64_t acknowledgedBy(const std::vector<poll_executor> &polls)
{
    REQUIRE_FALSE(polls.empty());
    return polls.back().acknowledged;
}

} // namespace

// A list holds a limited number of ends. The end of a done run was beyond the first page, so the run was taken as lost and its task was
// started again.
TEST_CASE("a run that is missing from a list with more ends to come isn't taken as lost")
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
        second.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.taskScheduler.handle(poll_answered{"e1", order_status::Ok, second.now, 5, 1'000, {}, {firstEnd}, true}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        CHECK(acknowledgedBy(second.take<poll_executor>()) == 1);
        second.answerPoll("e1", {}, {ownEnd});
        CHECK(second.phaseOf("j1") == "completed");
        CHECK(second.take<start_run>().empty());
    }
    SUBCASE("while the stop of an unanswered start is outstanding")
    {
        first.addExecutor("e2");
        first.answerStart(starts[0], order_status::Unknown);
        first.now += 10;
        first.answerPoll("e1");
        REQUIRE(first.take<stop_run>().size() == 1);
        first.taskScheduler.handle(stop_answered{starts[0].task, 1, "e1", order_status::StaleRun}, first.now);
        first.now += 10;
        first.taskScheduler.handle(poll_answered{"e1", order_status::Ok, first.now, 5, 1'000, {}, {firstEnd}, true}, first.now);
        first.planAndCommit();
        CHECK(first.take<start_run>().empty());
        first.answerPoll("e1", {}, {ownEnd});
        CHECK(first.phaseOf("j1") == "completed");
    }
}

// Each incarnation numbers its ends from 1. Acknowledging a former incarnation's number would make the next one delete ends that no
// holder has read.
TEST_CASE("ends are acknowledged once, and only to a responsive executor")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 1);
    world.answerStart(starts[0]);
    world.take<poll_executor>();
    world.answerPoll("e1", {}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
    CHECK(acknowledgedBy(world.take<poll_executor>()) == 1);

    SUBCASE("the executor answers: the next poll acknowledges nothing")
    {
        world.answerPoll("e1");
        world.advance(3'000);
        CHECK(acknowledgedBy(world.take<poll_executor>()) == 0);
    }
    SUBCASE("the executor becomes unresponsive: the next poll acknowledges nothing")
    {
        world.answerPoll("e1", {}, {}, order_status::Unknown);
        world.advance(500);
        CHECK(acknowledgedBy(world.take<poll_executor>()) == 0);
        SUBCASE("it answers again and still lists the end: the end is acknowledged again")
        {
            world.answerPoll("e1", {}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
            CHECK(acknowledgedBy(world.take<poll_executor>()) == 1);
        }
    }
}
