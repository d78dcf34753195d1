#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// The registry is read both in full and through its change feed, so an older row may arrive after a newer one.
TEST_CASE("a registry row older than the last one that was read is ignored")
{
    scheduler_fixture world;
    world.brain.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
    world.step_();
    world.answerHold("e1");

    SUBCASE("a removed executor isn't listed again")
    {
        world.brain.handle(executor_gone{"e1", 9}, world.now);
        world.answerHold("e1", {}, {}, order_status::Unreachable);
        world.advance(3'000);
        REQUIRE_FALSE(world.brain.executors().contains("e1"));
        world.brain.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.brain.executors().contains("e1"));
        SUBCASE("unless its entry is back")
        {
            world.brain.handle(executor_seen{scheduler_fixture::entry("e1"), 10}, world.now);
            CHECK(world.brain.executors().at("e1").listed);
        }
    }
    SUBCASE("a draining executor gets no new runs")
    {
        executor_entry draining = scheduler_fixture::entry("e1");
        draining.draining = true;
        world.brain.handle(executor_seen{draining, 9}, world.now);
        world.brain.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.brain.executors().at("e1").takesNewRuns(world.now));
    }
    SUBCASE("an executor whose entry is back isn't removed")
    {
        world.brain.handle(executor_seen{scheduler_fixture::entry("e1"), 9}, world.now);
        world.brain.handle(executor_gone{"e1", 7}, world.now);
        CHECK(world.brain.executors().at("e1").unlistedAt == 0);
    }
}

// Guards against orders sent to the address of an earlier incarnation, where another executor may respond.
TEST_CASE("the registry entry of an earlier incarnation doesn't replace that of a later one")
{
    scheduler_fixture world;
    executor_entry later = scheduler_fixture::entry("e1");
    later.bornUnixMs = 2'000;
    later.address = "10.0.0.2:80";
    world.brain.handle(executor_seen{later}, world.now);
    world.brain.handle(executor_seen{scheduler_fixture::entry("e1")}, world.now);
    CHECK(world.brain.executors().at("e1").entry.address == later.address);
}
