#include "fleet_order_fixtures.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t secondBorn = 2'000;

} // namespace

// The reservation went with the record of the life that was over, and the move that was ordered again ended the next one's runs.
TEST_CASE("an executor that starts again while a move of its VM has no answer gets no runs")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    const std::string id = move.occupant.executor;
    world.answer(move, fleet_status::Unknown);
    world.list(move.vm, vm_state::Upkeep, "");
    REQUIRE(world.taskScheduler.executors().at(id).dead);
    world.taskScheduler.handle(executor_gone{id}, world.now);
    world.advance(200);
    REQUIRE_FALSE(world.taskScheduler.executors().contains(id));

    world.list(move.vm, vm_state::Up, id);
    executor_entry next = scheduler_fixture::entry(id);
    next.bornUnixMs = secondBorn;
    world.taskScheduler.handle(executor_seen{next}, world.now);
    world.planAndCommit();
    world.answerPoll(id, {}, {}, order_status::Ok, secondBorn);
    CHECK_FALSE(world.taskScheduler.executors().at(id).takesNewRuns(world.now));

    SUBCASE("also after a refusal of the second order, until one is rejected for good")
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

// With two orders on their way the answer to the first settled both, and the second ended runs that were placed meanwhile.
TEST_CASE("a move isn't ordered again while the last order for it has no answer")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    world.answer(move, fleet_status::Unknown);
    world.advance(1'100);
    REQUIRE(world.movesOf(move.vm) == 1);
    world.advance(1'100);
    CHECK(world.movesOf(move.vm) == 0);
    CHECK(world.taskScheduler.executors().at(move.occupant.executor).reserved);

    SUBCASE("that answer is lost too: it is ordered once more")
    {
        world.answer(move, fleet_status::Unknown);
        world.advance(200);
        CHECK(world.movesOf(move.vm) == 1);
    }
}

// With two orders on their way the refusal of one released the executor, and the other ended the runs that it got.
TEST_CASE("one wave's upkeep isn't ordered while another wave's order for the VM has no answer")
{
    upkeep_fixture world("e1");
    world.requestWave(2);
    CHECK(world.take<upkeep_vm>().empty());

    SUBCASE("it is refused")
    {
        world.answer(world.first, fleet_status::NotInWave);
    }
    SUBCASE("it had been carried out before the executor came")
    {
        world.answer(world.first, fleet_status::Ok);
        world.list();
    }
    world.advance(200);
    const upkeep_vm second = world.takeUpkeep();
    CHECK(second.wave == 2);
    world.answerPoll("e1");
    CHECK(world.taskScheduler.executors().at("e1").reserved);
    world.answer(second, fleet_status::NotInWave);
    CHECK_FALSE(world.taskScheduler.executors().at("e1").reserved);
}

// Nothing stands on such a VM, so no reservation kept it; the upkeep could end the runs of the executor that came with the move.
TEST_CASE("a VM that is off isn't moved while its upkeep has no answer")
{
    upkeep_fixture world("");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.advance(200);
    CHECK(world.take<move_vm>().empty());
    world.answer(world.first, fleet_status::NotInWave);
    world.advance(200);
    CHECK(world.take<move_vm>().size() == 1);
}

// Guards against a refusal of one wave's order that is taken for the end of another wave's, which may yet end the executor's runs.
TEST_CASE("an executor stays reserved for upkeep without an answer when another wave's order for its VM is refused")
{
    upkeep_fixture world("e1");
    world.answer(world.first, fleet_status::Unknown);
    world.requestWave(2);
    for (const upkeep_vm &second : world.take<upkeep_vm>()) {
        world.answer(second, fleet_status::NotInWave);
    }
    world.answerPoll("e1");
    CHECK(world.taskScheduler.executors().at("e1").reserved);
}

// Guards against a move to a VM that a late upkeep then takes down with the runs of its new executor.
TEST_CASE("a VM that is off isn't moved after its upkeep had no answer")
{
    upkeep_fixture world("");
    world.answer(world.first, fleet_status::Unknown);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.advance(200);
    CHECK(world.take<move_vm>().empty());

    SUBCASE("until its wave's next order for it is answered")
    {
        world.advance(4'700);
        const upkeep_vm again = world.takeUpkeep();
        CHECK(world.take<move_vm>().empty());
        world.answer(again, fleet_status::NotInWave);
        world.advance(200);
        CHECK(world.take<move_vm>().size() == 1);
    }
}

// Guards against a second move of a VM that is on its way, which would end the executor that comes with the first.
TEST_CASE("a move without an answer isn't ordered again while its VM is listed as moving")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    world.answer(move, fleet_status::Unknown);
    world.list(move.vm, vm_state::Moving, move.occupant.executor);
    world.advance(1'500);
    CHECK(world.movesOf(move.vm) == 0);
}

// Guards against a wave that takes down more VMs than it may: a VM's order without an answer can still be carried out.
TEST_CASE("upkeep without an answer keeps its place under the cap when its repetition is refused")
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
    const std::vector<upkeep_vm> first = world.take<upkeep_vm>();
    REQUIRE(first.size() == 1);
    world.taskScheduler.handle(upkeep_answered{"vm-e1", 1, fleet_status::Unknown, first[0].occupant}, world.now);
    world.advance(4'700);
    const std::vector<upkeep_vm> repeated = world.take<upkeep_vm>();
    REQUIRE(repeated.size() == 1);
    REQUIRE(repeated[0].vm == "vm-e1");
    list.vms.push_back({"vm-off", "spare", vm_state::Up, "zone", {"a"}, ""});
    world.taskScheduler.handle(list, world.now);
    world.taskScheduler.handle(upkeep_answered{"vm-e1", 1, fleet_status::Refused, repeated[0].occupant}, world.now);
    world.advance(200);
    const std::vector<upkeep_vm> next = world.take<upkeep_vm>();
    CHECK(std::none_of(next.begin(), next.end(), [](const upkeep_vm &upkeep) {
        return upkeep.vm == "vm-off";
    }));
}
