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

/** The start of a job's only task on e1 had no answer; the task was done by its second run, on e2. */
class done_elsewhere_fixture : public scheduler_fixture
{
public:
    done_elsewhere_fixture()
    {
        addExecutor("e1");
        late = placeTask("j1");
        addExecutor("e2");
        answerStart(late, order_status::Unknown);
        now += 10;
        answerPoll("e1");
        confirmStop(late.startedUnixMs);
        now += 10;
        answerPoll("e1");
        const start_run second = takeStart();
        REQUIRE(second.executor == "e2");
        answerStart(second);
        answerPoll("e2", {}, {ended(second, 1, run_end::Done)});
        REQUIRE(phaseOf("j1") == "completed");
        REQUIRE(take<stop_run>().size() == 1);
        take<poll_executor>();
    }

    void restart()
    {
        taskScheduler.handle(executor_entry_changed{nextIncarnationAt(nextAddress)}, now);
        planAndCommit();
    }

    void confirmStop(std::int64_t startedUnixMs, order_status status = order_status::Ok)
    {
        taskScheduler.handle(stop_answered{late.task, late.run, late.executor, status, {late.address, startedUnixMs}}, now);
        planAndCommit();
    }

    std::vector<poll_executor> takePollsOf(const std::string &executor)
    {
        std::vector<poll_executor> polls = take<poll_executor>();
        std::erase_if(polls, [&](const poll_executor &poll) {
            return poll.executor != executor;
        });
        return polls;
    }

    start_run late;
};

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

// Guards against a stop that is sent once because the finished job has no record of the task, so that the next incarnation does the work of
// a done task again.
TEST_CASE("the late start of a done task is stopped in its executor's next incarnation until the stop is confirmed there")
{
    done_elsewhere_fixture world;
    world.restart();
    std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == world.late.run);
    CHECK(stops[0].address == nextAddress);

    SUBCASE("a stop without an answer is repeated soon")
    {
        world.confirmStop(nextStartUnixMs, order_status::Unknown);
        world.advance(unansweredStopRetryMs);
        stops = world.take<stop_run>();
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].startedUnixMs == nextStartUnixMs);
    }
    SUBCASE("what the former incarnation confirms doesn't count")
    {
        world.confirmStop(world.late.startedUnixMs);
        world.advance(stopRetryMs + 100);
        CHECK(world.take<stop_run>().size() == 1);
    }
    SUBCASE("a confirmed stop isn't repeated")
    {
        world.confirmStop(nextStartUnixMs);
        world.advance(stopRetryMs + 100);
        CHECK(world.take<stop_run>().empty());
    }
}

// Guards against a start whose missing answer was ignored, as its run had been given up while the answer was awaited.
TEST_CASE("a start whose run was given up before its answer was missed is stopped in the next incarnation")
{
    scheduler_fixture world;
    world.addExecutor("e2");
    const start_run first = world.runTask("j1");
    world.addExecutor("e1");
    world.answerPoll("e2", {}, {}, order_status::Unknown);
    start_run second;
    while (second.executor.empty() && world.now < 20'000) {
        world.advance(100);
        for (const start_run &order : world.take<start_run>()) {
            second = order;
        }
    }
    REQUIRE(second.executor == "e1");
    world.answerPoll("e2", {}, {scheduler_fixture::ended(first, 1, run_end::Done)});
    REQUIRE(world.phaseOf("j1") == "completed");
    world.answerStart(second, order_status::Unknown);
    world.taskScheduler.handle(stop_answered{second.task, second.run, "e1", order_status::Ok}, world.now);
    world.now += 10;
    world.answerPoll("e1");
    REQUIRE(world.take<stop_run>().size() == 1);

    world.taskScheduler.handle(executor_entry_changed{nextIncarnationAt(nextAddress)}, world.now);
    world.planAndCommit();
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == second.run);
    CHECK(stops[0].startedUnixMs == nextStartUnixMs);
}

// Guards against a restart that is noticed seconds later, as an executor without runs is polled rarely.
TEST_CASE("an executor that may carry out a late start is polled without a break")
{
    done_elsewhere_fixture world;

    SUBCASE("while it answers: with polls that wait")
    {
        world.answerPoll("e1");
        const std::vector<poll_executor> polls = world.takePollsOf("e1");
        REQUIRE(polls.size() == 1);
        CHECK(polls[0].waitMs > 0);
        CHECK_FALSE(polls[0].leaseEndMs.has_value());
    }
    SUBCASE("while it is silent: in short intervals")
    {
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        world.advance(100);
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        world.takePollsOf("e1");
        world.advance(200);
        CHECK(world.takePollsOf("e1").size() == 1);
    }
    SUBCASE("until the start can't be carried out any more")
    {
        world.now += maxOrderDelayMs + 100;
        world.advance(500);
        world.answerPoll("e1");
        world.takePollsOf("e1");
        world.answerPoll("e1");
        CHECK(world.takePollsOf("e1").empty());
    }
}
