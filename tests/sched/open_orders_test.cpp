#include "fleet_order_fixtures.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t secondStartUnixMs = 2'000;

} // namespace

// Guards against a reservation that is removed with the record of an ended incarnation: the repeated move then ended the runs of the
// next one.
TEST_CASE("an executor that restarts while a move of its VM has no answer gets no runs")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    const std::string id = move.occupant.executor;
    world.answer(move, fleet_status::Unknown);
    world.list(move.vm, vm_state::Maintenance, "");
    REQUIRE(world.taskScheduler.executors().at(id).dead);
    world.taskScheduler.handle(executor_entry_removed{id}, world.now);
    world.advance(200);
    REQUIRE_FALSE(world.taskScheduler.executors().contains(id));

    world.list(move.vm, vm_state::Up, id);
    executor_entry next = scheduler_fixture::entry(id);
    next.startedUnixMs = secondStartUnixMs;
    world.taskScheduler.handle(executor_entry_changed{next}, world.now);
    world.planAndCommit();
    world.answerPoll(id, {}, {}, order_status::Ok, secondStartUnixMs);
    CHECK_FALSE(world.taskScheduler.executors().at(id).takesNewRuns(world.now));

    SUBCASE("also when the repeated order is refused, until one is rejected for good")
    {
        world.advance(1'000);
        REQUIRE(world.movesOf(move.vm) == 1);
        world.answer(move, fleet_status::Refused);
        CHECK_FALSE(world.taskScheduler.executors().at(id).takesNewRuns(world.now));
        world.advance(1'000);
        REQUIRE(world.movesOf(move.vm) == 1);
        world.answer(move, fleet_status::Rejected);
        CHECK(world.taskScheduler.executors().at(id).takesNewRuns(world.now));
    }
}

// Guards against two orders in flight: the answer to the first settled both, and the second ended runs that were placed in between.
TEST_CASE("a move isn't repeated while its last order awaits an answer")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    world.answer(move, fleet_status::Unknown);
    world.advance(1'100);
    REQUIRE(world.movesOf(move.vm) == 1);
    world.advance(1'100);
    CHECK(world.movesOf(move.vm) == 0);
    CHECK(world.taskScheduler.executors().at(move.occupant.executor).reserved);

    SUBCASE("that answer is lost too: the move is repeated once more")
    {
        world.answer(move, fleet_status::Unknown);
        world.advance(200);
        CHECK(world.movesOf(move.vm) == 1);
    }
}

// Guards against two orders in flight: the refusal of one ended the reservation, and the other ended the runs that were placed then.
TEST_CASE("a wave's maintenance isn't ordered while another wave's order for the VM awaits an answer")
{
    maintenance_fixture world("e1");
    world.requestWave(2);
    CHECK(world.take<maintain_vm>().empty());

    SUBCASE("the first order is refused")
    {
        world.answer(world.first, fleet_status::NotInWave);
    }
    SUBCASE("the first order had been carried out before the executor started")
    {
        world.answer(world.first, fleet_status::Ok);
        world.list();
    }
    world.advance(200);
    const maintain_vm second = world.takeMaintenance();
    CHECK(second.wave == 2);
    world.answerPoll("e1");
    CHECK(world.taskScheduler.executors().at("e1").reserved);
    world.answer(second, fleet_status::NotInWave);
    CHECK_FALSE(world.taskScheduler.executors().at("e1").reserved);
}

// A VM that is off has no executor to reserve. Guards against moving it before its maintenance is carried out, which would then end the
// runs of the executor that starts after the move.
TEST_CASE("a VM that is off isn't moved while its maintenance awaits an answer")
{
    maintenance_fixture world("");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.advance(200);
    CHECK(world.take<move_vm>().empty());
    world.answer(world.first, fleet_status::NotInWave);
    world.advance(200);
    CHECK(world.take<move_vm>().size() == 1);
}

// Guards against the refusal of one wave's order that also settles another wave's order, which may still end the executor's runs.
TEST_CASE("an executor stays reserved for maintenance that got no answer when another wave's order for its VM is refused")
{
    maintenance_fixture world("e1");
    world.answer(world.first, fleet_status::Unknown);
    world.requestWave(2);
    for (const maintain_vm &second : world.take<maintain_vm>()) {
        world.answer(second, fleet_status::NotInWave);
    }
    world.answerPoll("e1");
    CHECK(world.taskScheduler.executors().at("e1").reserved);
}

// Guards against moving a VM that late maintenance then takes down with the runs of its new executor.
TEST_CASE("a VM that is off isn't moved after its maintenance got no answer")
{
    maintenance_fixture world("");
    world.answer(world.first, fleet_status::Unknown);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.advance(200);
    CHECK(world.take<move_vm>().empty());

    SUBCASE("until the wave's repeated order for it is answered")
    {
        world.advance(4'700);
        const maintain_vm again = world.takeMaintenance();
        CHECK(world.take<move_vm>().empty());
        world.answer(again, fleet_status::NotInWave);
        world.advance(200);
        CHECK(world.take<move_vm>().size() == 1);
    }
}

// Guards against a second move of a VM that is moving, which would end the executor that starts after the first.
TEST_CASE("a move without an answer isn't repeated while its VM is listed as moving")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    world.answer(move, fleet_status::Unknown);
    world.list(move.vm, vm_state::Moving, move.occupant.executor);
    world.advance(1'500);
    CHECK(world.movesOf(move.vm) == 0);
}

// Guards against a wave that takes down more VMs than its cap allows: an order that got no answer can still be carried out.
TEST_CASE("maintenance that got no answer keeps its place under the cap when the repeated order is refused")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    vms_listed list;
    list.vms.push_back({"vm-e1", "booking", vm_state::Up, "zone", {"a"}, "e1"});
    world.taskScheduler.handle(list, world.now);
    wave_request wave = waveOf(1, "vm-e1");
    wave.vms.push_back("vm-off");
    wave.durationMs = 60'000;
    world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
    world.advance(200);
    const std::vector<maintain_vm> first = world.take<maintain_vm>();
    REQUIRE(first.size() == 1);
    world.taskScheduler.handle(maintenance_answered{"vm-e1", 1, fleet_status::Unknown, first[0].occupant}, world.now);
    world.advance(4'700);
    const std::vector<maintain_vm> repeated = world.take<maintain_vm>();
    REQUIRE(repeated.size() == 1);
    REQUIRE(repeated[0].vm == "vm-e1");
    list.vms.push_back({"vm-off", "spare", vm_state::Up, "zone", {"a"}, ""});
    world.taskScheduler.handle(list, world.now);
    world.taskScheduler.handle(maintenance_answered{"vm-e1", 1, fleet_status::Refused, repeated[0].occupant}, world.now);
    world.advance(200);
    const std::vector<maintain_vm> next = world.take<maintain_vm>();
    CHECK(std::none_of(next.begin(), next.end(), [](const maintain_vm &maintenance) {
        return maintenance.vm == "vm-off";
    }));
}
