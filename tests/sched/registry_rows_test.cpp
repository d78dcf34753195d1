#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// The registry is read in two ways beside each other, so an older row may come after a newer one.
TEST_CASE("a row of the registry that is older than the one last read changes nothing")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
    world.planAndCommit();
    world.answerPoll("e1");

    SUBCASE("an executor that is gone isn't listed again")
    {
        world.taskScheduler.handle(executor_gone{"e1", 9}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        world.advance(3'000);
        REQUIRE_FALSE(world.taskScheduler.executors().contains("e1"));
        world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().contains("e1"));
        SUBCASE("unless its entry is back")
        {
            world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1"), 10}, world.now);
            CHECK(world.taskScheduler.executors().at("e1").listed);
        }
    }
    SUBCASE("an executor that drains gets no new runs")
    {
        executor_entry draining = scheduler_fixture::entry("e1");
        draining.draining = true;
        world.taskScheduler.handle(executor_seen{draining, 9}, world.now);
        world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1"), 5}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().at("e1").takesNewRuns(world.now));
    }
    SUBCASE("an executor whose entry is back isn't gone")
    {
        world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1"), 9}, world.now);
        world.taskScheduler.handle(executor_gone{"e1", 7}, world.now);
        CHECK(world.taskScheduler.executors().at("e1").unlistedAt == 0);
    }
}

// Orders went to an address of the earlier life, where another executor may answer.
TEST_CASE("the entry of an earlier life doesn't replace what is known of a later one")
{
    scheduler_fixture world;
    executor_entry later = scheduler_fixture::entry("e1");
    later.bornUnixMs = 2'000;
    later.address = "10.0.0.2:80";
    world.taskScheduler.handle(executor_seen{later}, world.now);
    world.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1")}, world.now);
    CHECK(world.taskScheduler.executors().at("e1").entry.address == later.address);
}
