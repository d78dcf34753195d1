#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// The registry is read both in full and through its change feed, so an older row may arrive after a newer one.
TEST_CASE("a registry row older than the last one that was read is ignored")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1"), 5}, world.now);
    world.planAndCommit();
    world.answerPoll("e1");

    SUBCASE("a removed executor isn't listed again")
    {
        world.taskScheduler.handle(executor_entry_removed{"e1", 9}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        world.advance(3'000);
        REQUIRE_FALSE(world.taskScheduler.executors().contains("e1"));
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().contains("e1"));
        SUBCASE("unless its entry is back")
        {
            world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1"), 10}, world.now);
            CHECK(world.taskScheduler.executors().at("e1").listed);
        }
    }
    SUBCASE("a draining executor gets no new runs")
    {
        executor_entry draining = scheduler_fixture::entry("e1");
        draining.draining = true;
        world.taskScheduler.handle(executor_entry_changed{draining, 9}, world.now);
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
    }
    SUBCASE("an executor whose entry is back isn't removed")
    {
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1"), 9}, world.now);
        world.taskScheduler.handle(executor_entry_removed{"e1", 7}, world.now);
        CHECK(world.taskScheduler.executors().at("e1").unlistedAt == 0);
    }
}

// Guards against orders sent to the address of an earlier incarnation, where another executor may respond.
TEST_CASE("the registry entry of an earlier incarnation doesn't replace that of a later one")
{
    scheduler_fixture world;
    executor_entry later = scheduler_fixture::entry("e1");
    later.startedUnixMs = 2'000;
    later.address = "10.0.0.2:80";
    world.taskScheduler.handle(executor_entry_changed{later}, world.now);
    world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, world.now);
    CHECK(world.taskScheduler.executors().at("e1").entry.address == later.address);
}
