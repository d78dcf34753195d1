#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t nextStartUnixMs = 2'000;
const std::string nextAddress = "10.0.0.2:80";

executor_entry nextIncarnationAt(const std::string &address)
{
    executor_entry next = scheduler_fixture::entry("e1");
    next.startedUnixMs = nextStartUnixMs;
    next.address = address;
    return next;
}

} // namespace

// Guards against a stop that is sent to the executor's former address: its next incarnation would carry out the late start.
TEST_CASE("the run of an unanswered start is stopped at the address of its executor's next incarnation")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("e1");
    second.takeStart();
    second.taskScheduler.handle(executor_entry_changed{nextIncarnationAt(nextAddress)}, second.now);
    second.planAndCommit();
    const std::vector<stop_run> stops = second.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == start.run);
    CHECK(stops[0].startedUnixMs == nextStartUnixMs);
    CHECK(stops[0].address == nextAddress);
}

// The executor's entry was removed before this term began, so its start time was unknown until the next incarnation's entry was read.
// Guards against taking that incarnation as the one to which the former holder sent the start.
TEST_CASE("a former holder's late start is stopped in the first incarnation that the new holder reads of")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("e2");
    second.advance(7'000);
    REQUIRE(second.taskScheduler.executors().at("e1").runs.empty());
    second.taskScheduler.handle(executor_entry_changed{nextIncarnationAt(nextAddress)}, second.now);
    second.planAndCommit();
    const std::vector<stop_run> stops = second.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == start.run);
    CHECK(stops[0].address == nextAddress);
}

// Guards against stopping a run that the next incarnation has rightly started: it is the task's only run.
TEST_CASE("the run that the scheduler expects isn't stopped in its executor's next incarnation")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.placeTask("j1");
    world.answerStart(start, order_status::Unknown);
    world.taskScheduler.handle(executor_entry_changed{nextIncarnationAt(nextAddress)}, world.now);
    world.planAndCommit();
    CHECK(world.take<stop_run>().empty());
    world.answerPoll("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, nextStartUnixMs);
    CHECK(world.take<stop_run>().empty());
    CHECK(world.take<start_run>().empty());
}

// Guards against executor records that are kept for the rest of the term.
TEST_CASE("the record of a removed executor is deleted once no late start can arrive any more")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("e1");
    second.takeStart();
    second.taskScheduler.handle(batch_committed{0}, second.now);
    second.taskScheduler.handle(job_cancelled{"j1"}, second.now);
    second.planAndCommit();
    second.answerPoll("e1", {}, {}, order_status::Unknown);
    second.taskScheduler.handle(executor_entry_removed{"e1"}, second.now);
    second.advance(3'000);
    CHECK(second.taskScheduler.executors().contains("e1"));
    for (int i = 0; i < 10; ++i) {
        second.advance(2'000);
    }
    CHECK_FALSE(second.taskScheduler.executors().contains("e1"));
}
