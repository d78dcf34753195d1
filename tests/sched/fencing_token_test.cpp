#include "leased_executor.h"
#include "run_ledger.h"
#include "sched/lease_rules.h"
#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <vector>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t formerStartUnixMs = 1'000;
constexpr std::int64_t nextStartUnixMs = 2'000;

/** An executor that has done a run and then restarts under its id. */
struct restart_world
{
    restart_world()
    {
        world.addExecutor("e1");
        beforeRestart = world.runTask("j1");
        world.answerPoll("e1", {}, {scheduler_fixture::ended(beforeRestart, 1, run_end::Done)});
        world.answerPoll("e1", {}, {}, order_status::Ok, nextStartUnixMs);
    }

    void answerFenced(std::int64_t sentToStartUnixMs)
    {
        poll_answered answer;
        answer.executor = "e1";
        answer.status = order_status::Fenced;
        answer.sentAt = world.now;
        answer.sentTo = {"10.0.0.1:80", sentToStartUnixMs};
        world.taskScheduler.handle(answer, world.now);
        world.collectActions();
    }

    scheduler_fixture world;
    start_run beforeRestart;
};

} // namespace

TEST_CASE("fencing tokens rise with the terms, and with the restarts of an executor in one term")
{
    CHECK(nextTerm(0) == fencingTokensPerTerm);
    CHECK(nextTerm(1) == fencingTokensPerTerm);
    CHECK(nextTerm(fencingTokensPerTerm) == 2 * fencingTokensPerTerm);
    CHECK(fencingToken(2'000, 0) == 2'000);
    CHECK(fencingToken(2'000, 3) == 2'003);
    CHECK(fencingToken(2'000, 5'000) < nextTerm(2'000));
}

// Guards against a late acknowledgement that drops ends of an executor's next life, whose tasks then run again (TWICE).
TEST_CASE("orders to a former life of an executor are refused once the next life has got one")
{
    restart_world story;
    scheduler_fixture &world = story.world;
    CHECK(story.beforeRestart.restarts == 0);
    CHECK(world.placeTask("j2").restarts == 1);
    const std::vector<poll_executor> polls = world.take<poll_executor>();
    REQUIRE(polls.size() >= 2);
    const poll_executor next = polls.back();
    CHECK(next.restarts == 1);

    run_ledger ledger;
    leased_executor life(scheduler_fixture::entry("e1"), 0, 1.0, ledger);
    constexpr std::int64_t term = 1'000;
    CHECK(life.poll(next, fencingToken(term, next.restarts), 10));
    poll_executor late = polls.front();
    late.acknowledged = 1;
    CHECK_FALSE(life.poll(late, fencingToken(term, late.restarts), 20));
}

// Guards against a lease holder that steps down because of a token that it gave itself.
TEST_CASE("a refused order shows a later lease holder only if it was sent to the executor's current life")
{
    restart_world story;
    scheduler_fixture &world = story.world;

    SUBCASE("one to the former life was late")
    {
        story.answerFenced(formerStartUnixMs);
        CHECK(world.take<step_down>().empty());
        world.advance(100);
        CHECK_FALSE(world.take<poll_executor>().empty());
    }
    SUBCASE("one to the current life has met a higher term")
    {
        story.answerFenced(nextStartUnixMs);
        CHECK(world.take<step_down>().size() == 1);
    }
    SUBCASE("one to an unknown life has met a higher term")
    {
        story.answerFenced(0);
        CHECK(world.take<step_down>().size() == 1);
    }
}
