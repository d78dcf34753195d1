#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t firstBorn = 1'000;
constexpr std::int64_t secondBorn = 2'000;

vms_listed listOf(const std::string &vm, const std::string &executor, vm_state state = vm_state::Up)
{
    vms_listed list;
    list.vms.push_back({vm, "booking", state, "zone", {"a"}, executor});
    return list;
}

wave_request waveOf(std::int64_t number, const std::string &vm)
{
    wave_request wave;
    wave.wave = number;
    wave.vms = {vm};
    wave.durationMs = 20'000;
    wave.cap = 1;
    return wave;
}

executor_entry lifeOf(const std::string &id, std::int64_t born)
{
    executor_entry one = scheduler_fixture::entry(id);
    one.bornUnixMs = born;
    return one;
}

} // namespace

// The registry was read again only for executors without a record; a reservation makes a record before the entry is read.
TEST_CASE("an executor that is reserved before its entry is read still counts as unknown")
{
    scheduler_fixture world;
    world.brain.handle(listOf("vm-1", "current"), world.now);
    REQUIRE(world.brain.hasUnknownExecutor());
    world.brain.handle(wave_requested{waveOf(1, "vm-1"), 0}, world.now);
    world.advance(200);
    REQUIRE(world.take<upkeep_vm>().size() == 1);
    CHECK(world.brain.hasUnknownExecutor());
}
