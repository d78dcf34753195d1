#include "fleet_world.h"

using namespace daisypass;

namespace {

// Long enough for every VM to become due: the period of 35 days less the lead time.
constexpr std::chrono::hours timeUntilAllDue{24 * 34};

void runUntilAllServing(fleet_world &world)
{
    world.runUntil(30, [&world] {
        return world.countVms(vm_state::Stopped) == 0;
    });
}

int maintainedSince(fleet_world &world, timestamp since)
{
    int found = 0;
    for (const std::pair<const std::string, vm_record> &vm : world.state().vms()) {
        found += vm.second.maintainedAt >= since ? 1 : 0;
    }
    return found;
}

} // namespace

TEST_CASE("Story: a whole maintenance wave")
{
    // Guards against a VM that is left out, maintained twice, stopped without confirmations or returned before its reboot.
    fleet_world world(6, 2, "rack", 2, 3);
    world.addController("control-1");
    runUntilAllServing(world);
    world.advanceClock(timeUntilAllDue);
    const timestamp since = world.now;
    world.targets["vm-02"].inFlight = 1;
    world.entries["entry-2"].inFlight["vm-03"] = 1;
    world.run(60);
    world.note("the last requests on vm-02 and vm-03 end");
    world.targets["vm-02"].inFlight = 0;
    world.entries["entry-2"].inFlight.clear();
    world.runUntil(900, [&world, since] {
        return maintainedSince(world, since) == 6;
    });
    world.run(60);
    CHECK(world.reboots.size() == 6);
    checkGolden("whole_wave", world.transcript);
}

TEST_CASE("Story: a rack is lost in a wave")
{
    // Guards against drains that continue although an unexpected failure has used up the headroom.
    fleet_world world(8, 4, "rack", 2, 2);
    world.addController("control-1");
    runUntilAllServing(world);
    world.advanceClock(timeUntilAllDue);
    world.entries["entry-1"].inFlight["vm-00"] = 1;
    world.run(5);
    world.note("rack r3 is lost");
    for (const std::string &vm : {std::string("vm-06"), std::string("vm-07")}) {
        world.targets[vm].down = true;
        world.entries["entry-1"].unreachable.insert(vm);
        world.entries["entry-2"].unreachable.insert(vm);
    }
    world.run(30);
    CHECK(world.countVms(vm_state::Failed) == 2);
    CHECK(world.countVms(vm_state::Draining) == 0);
    world.note("rack r3 is back");
    for (const std::string &vm : {std::string("vm-06"), std::string("vm-07")}) {
        world.targets[vm].down = false;
    }
    world.entries["entry-1"].unreachable.clear();
    world.entries["entry-2"].unreachable.clear();
    world.run(90);
    CHECK(world.countVms(vm_state::Failed) == 0);
    checkGolden("rack_lost", world.transcript);
}

TEST_CASE("Story: a controller is paused in a wave and replaced")
{
    // Guards against a stale append that takes effect, a step that is carried out twice, and a wave that stops with its controller.
    fleet_world world(6, 2, "rack", 1, 2);
    world.addController("control-1");
    runUntilAllServing(world);
    world.advanceClock(timeUntilAllDue);
    world.runUntil(30, [&world] {
        return world.countVms(vm_state::Draining) == 1;
    });
    simulated_controller &first = *world.controllers["control-1"];
    // A decision that is made before the pause and appended after it.
    failure reason;
    const log_head head = *world.log.readHead(reason);
    first.delayedAppend = {log_record{head.revision + 1, "stale", world.now, {vm_failed{"vm-05"}}}, head};
    first.paused = true;
    world.note("control-1 is paused before an append");
    world.addController("control-2");
    world.runUntil(120, [&world] {
        return world.reboots.size() == 2;
    });
    world.note("control-1 resumes");
    first.paused = false;
    world.run(120);
    CHECK(world.countVms(vm_state::Failed) == 0);
    checkGolden("controller_replaced", world.transcript);
}

TEST_CASE("Story: an entry that cannot confirm")
{
    // Guards against a stop while a partitioned entry may still send, and against a drain that begins while an entry is unreachable.
    fleet_world world(6, 2, "rack", 1, 3);
    world.addController("control-1");
    runUntilAllServing(world);
    world.advanceClock(timeUntilAllDue);
    world.entries["entry-3"].inFlight["vm-00"] = 1;
    world.run(5);
    world.note("entry-3 is cut off");
    world.entries["entry-3"].partitioned = true;
    world.run(120);
    CHECK(world.countVms(vm_state::Stopped) == 0);
    CHECK(world.reboots.empty());
    simulated_controller &controller = *world.controllers["control-1"];
    world.note("vm-00 waits for: " + controller.decisions.waitsFor(controller.state, controller.board.input(world.now, true), "vm-00"));

    SUBCASE("the entry's VM is gone")
    {
        world.note("the platform lists entry-3 as gone");
        world.platform["entry-3"] = platform_vm_state::Gone;
        world.targets["vm-00"].inFlight = 1;
        world.run(10);
        CHECK(world.reboots.empty());
        world.note("the dead entry's request on vm-00 ends");
        world.targets["vm-00"].inFlight = 0;
        world.run(60);
        checkGolden("entry_gone", world.transcript);
    }
    SUBCASE("the entry comes back")
    {
        world.note("entry-3 is back");
        world.entries["entry-3"].partitioned = false;
        world.entries["entry-3"].inFlight.clear();
        world.run(60);
        checkGolden("entry_back", world.transcript);
    }
}

TEST_CASE("Story: the store is down in a wave")
{
    // Guards against planned changes and reboots during a store outage, and against a wave that does not continue after it.
    fleet_world world(6, 2, "rack", 1, 2);
    world.addController("control-1");
    runUntilAllServing(world);
    world.advanceClock(timeUntilAllDue);
    world.run(3);
    world.table.setOutage(true);
    world.note("the store is down");
    const std::size_t reboots = world.reboots.size();
    world.run(300);
    CHECK(world.reboots.size() == reboots);
    world.table.setOutage(false);
    world.note("the store is back");
    world.run(120);
    checkGolden("store_down", world.transcript);
}

TEST_CASE("Story: operators race")
{
    // Guards against a configuration that reverts another operator's, and against removing a VM with requests in flight.
    fleet_world world(6, 2, "none", 1, 2);
    world.addController("control-1");
    runUntilAllServing(world);
    const revision_number base = world.state().configurationRevision();
    CHECK(world.apply("ana", base, "vms.json", vmsText(5)) == failure_code::None);
    CHECK(world.apply("luis", base, "pools.json", poolsText(1, "none")) == failure_code::RevisionConflict);
    world.targets["vm-05"].inFlight = 1;
    world.run(20);
    CHECK(world.state().vms().contains("vm-05"));
    world.note("the last request on vm-05 ends");
    world.targets["vm-05"].inFlight = 0;
    world.run(20);
    CHECK_FALSE(world.state().vms().contains("vm-05"));
    std::string moved = vmsText(5);
    moved.replace(moved.find("\"pool\": \"a\""), 11, "\"pool\": \"b\"");
    CHECK(world.apply("luis", world.state().configurationRevision(), "vms.json", moved) == failure_code::None);
    world.run(90);
    CHECK(world.state().vms().find("vm-00")->second.pool == "b");
    checkGolden("operators_race", world.transcript);
}

TEST_CASE("Story: a balancing policy asks for more moves than the budget allows")
{
    // Guards against moves that breach the budget, and against a configuration change that undoes a move of an unchanged VM.
    fleet_world world(6, 4, "none", 1, 2);
    world.addController("control-1");
    runUntilAllServing(world);
    world.controllers["control-1"]->decisions.setBalancer([](const fleet_state &, const controller_input &) {
        return std::vector<pool_move>{{"a", "b"}, {"a", "nowhere"}, {"nowhere", "b"}};
    });
    world.run(200);
    CHECK(world.state().serving("a") == 4);
    CHECK(world.state().serving("b") == 2);
    CHECK(world.apply("ana", world.state().configurationRevision(), "waves.json", waveText(2)) == failure_code::None);
    world.run(60);
    CHECK(world.state().serving("b") == 2);
    checkGolden("balancer", world.transcript);
}

TEST_CASE("Forecast of a wave")
{
    // Guards against VMs that will become overdue without being forecast.
    fleet_world world(8, 2, "none", 1, 1);
    world.addController("control-1");
    runUntilAllServing(world);
    CHECK(forecastWaves(world.state(), world.now).front().predictedOverdue == 0);
    const wave_forecast behind = forecastWaves(world.state(), world.now + std::chrono::hours(24 * 35) - std::chrono::minutes(61)).front();
    CHECK(behind.due == 8);
    CHECK(behind.overdue == 0);
    // Four rounds of 15 minutes fit into the last 61 minutes.
    CHECK(behind.predictedOverdue == 4);
}
