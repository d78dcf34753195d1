#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t nextStartUnixMs = 2'000;

/**
 * The start of a job's only task on e1 had no answer, and the executor has confirmed a stop of it. The task's second run is done, and e1 or
 * e2 has listed its end.
 */
class done_by_second_run : public scheduler_fixture
{
public:
    explicit done_by_second_run(const std::string &secondExecutor)
        : secondOn(secondExecutor)
    {
        addExecutor("e1");
        late = placeTask("j1");
        if (secondExecutor != "e1") {
            addExecutor(secondExecutor);
        }
        answerStart(late, order_status::Unknown);
        now += 10;
        answerPoll("e1");
        taskScheduler.handle(stop_answered{late.task, late.run, "e1", order_status::Ok, {late.address, late.startedUnixMs}}, now);
        // The executor without an answer backs off for a while.
        now += secondExecutor == "e1" ? 400 : 10;
        answerPoll("e1");
        second = takeStart();
        REQUIRE(second.executor == secondOn);
        answerStart(second);
        take<poll_executor>();
        answerPoll(secondOn, {}, {ended(second, 1, run_end::Done)});
    }

    /** The highest number of an end that the polls of the executor have acknowledged since the last call. */
    std::int64_t takeAcknowledged(const std::string &executor)
    {
        std::int64_t highest = 0;
        for (const poll_executor &poll : take<poll_executor>()) {
            if (poll.executor == executor) {
                highest = std::max(highest, poll.acknowledged);
            }
        }
        return highest;
    }

    /** Lets time pass while the executor repeats the ends that aren't acknowledged, and returns the highest number that was. */
    std::int64_t acknowledgedWithin(time_ms ms, const std::vector<listed_end> &ends)
    {
        std::int64_t highest = takeAcknowledged(secondOn);
        const time_ms until = now + ms;
        while (now < until && highest == 0) {
            advance(100);
            answerPoll("e1");
            answerPoll(secondOn, {}, ends);
            highest = takeAcknowledged(secondOn);
        }
        return highest;
    }

    std::string secondOn;
    start_run late;
    start_run second;
};

} // namespace

// Guards against a task that runs again after its end was taken note of: an executor's next incarnation carried out a start without an
// answer before any order of the holder could reach it.
TEST_CASE("the end of a done run isn't acknowledged while a start of the task may still be carried out")
{
    done_by_second_run world("e2");
    const std::vector<listed_end> ends{scheduler_fixture::ended(world.second, 1, run_end::Done)};

    SUBCASE("the caller sees the job completed at once")
    {
        CHECK(world.phaseOf("j1") == "completed");
    }
    SUBCASE("the end stays unacknowledged as long as the start may come")
    {
        CHECK(world.acknowledgedWithin(maxOrderDelayMs - 1'000, ends) == 0);

        SUBCASE("and is acknowledged when it can't come any more")
        {
            CHECK(world.acknowledgedWithin(2'000, ends) == 1);
        }
    }
    SUBCASE("the start is carried out by the next incarnation of its executor")
    {
        world.answerPoll("e1", {scheduler_fixture::running(world.late)}, {}, order_status::Ok, nextStartUnixMs);

        SUBCASE("so the end stays unacknowledged, and the executor gets no new runs")
        {
            CHECK(world.acknowledgedWithin(4'000, ends) == 0);
            CHECK_FALSE(world.taskScheduler.executors().at("e2").takesNewRuns(world.now));
        }
        SUBCASE("until the leases there have ended without another run")
        {
            CHECK(world.acknowledgedWithin(8'000, ends) == 1);
            CHECK(world.taskScheduler.executors().at("e2").takesNewRuns(world.now));
        }
    }
    SUBCASE("the next lease holder doesn't acknowledge it either")
    {
        scheduler_fixture next;
        REQUIRE(next.taskScheduler.restore(scheduler_fixture::job("j1", {scheduler_fixture::step(1)}), world.rows.at("j1"), next.now));
        next.taskScheduler.restoreLateStarts(world.rows.at(lateStartsRowKey), next.now);
        next.addExecutor("e1");
        next.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e2")}, next.now);
        next.planAndCommit();
        next.take<poll_executor>();
        next.answerPoll("e2", {}, ends);
        next.advance(300);
        next.answerPoll("e2", {}, ends);
        std::int64_t acknowledged = 0;
        for (const poll_executor &poll : next.take<poll_executor>()) {
            acknowledged = std::max(acknowledged, poll.acknowledged);
        }
        CHECK(acknowledged == 0);
    }
    SUBCASE("the executor isn't polled without a break meanwhile")
    {
        std::size_t polls = 0;
        for (time_ms passed = 0; passed < 1'000; passed += 10) {
            world.now += 10;
            world.answerPoll("e2", {}, ends);
            polls += world.take<poll_executor>().size();
        }
        CHECK(polls <= 12);
    }
}

// Guards against the same where both runs were on one executor: its crash voids the end that isn't acknowledged.
TEST_CASE("the end of a done run isn't acknowledged if its executor had no answer to an earlier start of the task")
{
    done_by_second_run world("e1");
    const std::vector<listed_end> ends{scheduler_fixture::ended(world.second, 1, run_end::Done)};
    CHECK(world.phaseOf("j1") == "completed");
    CHECK(world.acknowledgedWithin(maxOrderDelayMs - 2'000, ends) == 0);
}

// Guards against a lease holder that fails on a row with a step that its job doesn't have.
TEST_CASE("a late start of an unknown step is stopped like any other")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.runTask("j1");
    world.taskScheduler.restoreLateStarts(R"([["j1.0.7.0",1,"e1",5000]])", world.now);
    executor_entry next = scheduler_fixture::entry("e1");
    next.startedUnixMs = nextStartUnixMs;
    world.taskScheduler.handle(executor_entry_changed{next}, world.now);
    world.planAndCommit();
    const std::vector<stop_run> stops = world.take<stop_run>();
    CHECK(std::any_of(stops.begin(), stops.end(), [](const stop_run &stop) {
        return stop.task.step == 7;
    }));
}

// Guards against ends that are acknowledged late, or not at all, on many executors while many orders have no answer.
TEST_CASE("few ends are deferred at a time")
{
    SUBCASE("an end without a start that may come is acknowledged at once")
    {
        scheduler_fixture world;
        world.addExecutor("e1");
        const start_run start = world.runTask("j1");
        world.take<poll_executor>();
        world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
        const std::vector<poll_executor> polls = world.take<poll_executor>();
        REQUIRE(polls.size() == 1);
        CHECK(polls[0].acknowledged == 1);
    }
    SUBCASE("the ends behind a deferred one are few enough that the executor lists them all")
    {
        done_by_second_run world("e2");
        std::vector<listed_end> ends{scheduler_fixture::ended(world.second, 1, run_end::Done)};
        for (std::int64_t number = 2; number <= 400; ++number) {
            ends.push_back(ends.front());
            ends.back().number = number;
            ends.back().task.job = "unknown";
        }
        world.advance(300);
        world.answerPoll("e2", {}, ends);
        world.take<poll_executor>();
        CHECK(world.acknowledgedWithin(1'000, ends) == 400);
    }
}
