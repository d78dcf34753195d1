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
        world.brain.handle(executor_seen{secondLifeOf("e1", address)}, world.now);
        world.step_();
        world.answerHold("e1", {}, {}, order_status::Ok, secondBorn);
        world.brain.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.step_();
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].bornUnixMs == secondBorn);
        world.answerStart(starts[0]);
        world.addExecutor("e2");
        SUBCASE("a hold")
        {
            world.brain.handle(wrongExecutor("e1", former), world.now);
        }
        SUBCASE("a stop")
        {
            world.brain.handle(stop_answered{starts[0].task, 1, "e1", order_status::WrongExecutor, former}, world.now);
        }
        SUBCASE("a hold, if the address is the same")
        {
            world.brain.handle(executor_seen{secondLifeOf("e1", former.address)}, world.now);
            world.brain.handle(wrongExecutor("e1", former), world.now);
        }
        world.step_();
        CHECK(world.take<start_run>().empty());
        CHECK_FALSE(world.brain.executors().at("e1").dead);
    }
    SUBCASE("e1 has only that address and life: it is over")
    {
        world.brain.handle(wrongExecutor("e1", former), world.now);
        CHECK(world.brain.executors().at("e1").dead);
    }
}
