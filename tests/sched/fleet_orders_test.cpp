#include "sched/fleet_orders.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

TEST_CASE("maintenance is stored before it is sent")
{
    fleet_orders orders(3'000);
    orders.add(maintain_vm{"vm-1", 7}, 100);
    CHECK(orders.isDirty());
    CHECK(orders.takeDue().empty());
    orders.writeRow();
    CHECK_FALSE(orders.isDirty());

    SUBCASE("it is sent once, when the row is stored")
    {
        CHECK(orders.takeDue().empty());
        orders.rowStored();
        CHECK(orders.takeDue().size() == 1);
        CHECK(orders.takeDue().empty());
    }
    SUBCASE("maintenance that is added while a row is on its way waits for the next row")
    {
        orders.add(maintain_vm{"vm-2", 7}, 120);
        orders.rowStored();
        CHECK(orders.takeDue().size() == 1);
        CHECK(orders.isDirty());
        orders.writeRow();
        orders.rowStored();
        CHECK(orders.takeDue().size() == 1);
    }
    SUBCASE("a move is sent at once, and is in the next row")
    {
        orders.add(move_vm{"vm-2", "booking"}, 120);
        CHECK(orders.takeDue().size() == 1);
        CHECK(orders.isDirty());
        CHECK(orders.writeRow().find("booking") != std::string::npos);
    }
    SUBCASE("it is removed from the row when it has expired")
    {
        orders.expire(3'000);
        CHECK_FALSE(orders.isDirty());
        orders.expire(3'200);
        CHECK(orders.isDirty());
        CHECK(orders.writeRow() == "{}");
    }
}

// Guards against a row over the store's limit of 64 KiB, which would keep the lease holder from storing anything.
TEST_CASE("the row of unexpired orders keeps below the store's limit however many VMs there are")
{
    constexpr std::size_t maxRowBytes = 65'536;
    fleet_orders orders(3'000);
    std::string vmPrefix = "machine-number-";
    std::string pool = "name-of-a-pool-of-20";
    int atLeast = 1'000;
    SUBCASE("with usual names")
    {
    }
    SUBCASE("with long names")
    {
        vmPrefix += "of-an-availability-zone-with-a-long-name-";
        pool += "-characters-and-forty-more";
        atLeast = 400;
    }
    int added = 0;
    while (orders.roomForMoves() > 0 && added < 100'000) {
        orders.add(move_vm{vmPrefix + std::to_string(100'000 + added++), pool}, 100);
    }
    CHECK(added >= atLeast);
    CHECK(orders.writeRow().size() < maxRowBytes);

    SUBCASE("and there is room again when orders have expired")
    {
        orders.expire(3'200);
        CHECK(orders.roomForMoves() >= static_cast<std::size_t>(atLeast));
    }
}

TEST_CASE("a new lease holder gives no orders for VMs that an earlier one has ordered")
{
    fleet_orders earlier(3'000);
    earlier.add(move_vm{"vm-1", "booking"}, 100);
    earlier.add(maintain_vm{"vm-2", 7}, 100);
    fleet_orders orders(3'000);
    REQUIRE(orders.readPredecessorRow(earlier.writeRow(), 50'000));

    SUBCASE("until the order expires, counted from the takeover")
    {
        CHECK(orders.hasPredecessorOrder("vm-1", 52'900));
        CHECK_FALSE(orders.hasPredecessorOrder("vm-1", 53'000));
        CHECK_FALSE(orders.hasPredecessorOrder("vm-3", 50'000));
    }
    SUBCASE("maintenance that may have started is reported with its wave")
    {
        const std::vector<maintain_vm> maintenance = orders.predecessorMaintenance();
        REQUIRE(maintenance.size() == 1);
        CHECK(maintenance[0].vm == "vm-2");
        CHECK(maintenance[0].wave == 7);
    }
    SUBCASE("and neither does the holder after it")
    {
        fleet_orders third(3'000);
        REQUIRE(third.readPredecessorRow(orders.writeRow(), 60'000));
        CHECK(third.hasPredecessorOrder("vm-1", 60'000));
    }
    SUBCASE("a row that can't be parsed is reported")
    {
        for (const char *row : {"", "[]", R"({"vm-1":null})", R"({"vm-1":1.5})"}) {
            CAPTURE(row);
            CHECK_FALSE(fleet_orders(3'000).readPredecessorRow(row, 1));
        }
    }
}

TEST_CASE("after a takeover VMs follow the load at once")
{
    // The fleet got no orders for 3.2 s after each takeover, and half the jobs of a burst in that time were late.
    scheduler_fixture world;
    vms_listed list;
    for (const char *vm : {"vm-a", "vm-b"}) {
        list.vms.push_back({vm, "spare", vm_state::Up, "zone", {"a"}, ""});
    }
    fleet_orders earlier(3'000);
    earlier.add(move_vm{"vm-a", "other"}, 0);
    REQUIRE(world.taskScheduler.restoreFleetOrders(earlier.writeRow(), world.now));
    world.taskScheduler.handle(list, world.now);
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j1", {scheduler_fixture::step(8)})}, world.now);

    SUBCASE("VMs that no earlier order names are moved at once")
    {
        world.advance(200);
        const std::vector<move_vm> moves = world.take<move_vm>();
        REQUIRE(moves.size() == 1);
        CHECK(moves[0].vm == "vm-b");
        SUBCASE("and the others when the earlier order has expired")
        {
            world.advance(3'300);
            const std::vector<move_vm> later = world.take<move_vm>();
            CHECK(std::any_of(later.begin(), later.end(), [](const move_vm &move) {
                return move.vm == "vm-a";
            }));
        }
    }
}

TEST_CASE("maintenance that an earlier holder ordered counts against the cap")
{
    fleet_planner planner(bounds{});
    planner.predecessorMaintenance(1, "vm-a");
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-a", "vm-b"};
    wave.durationMs = 20'000;
    wave.cap = 1;
    planner.addWave(wave, 1'000, 1'000);
    fleet_view view;
    for (const char *name : {"vm-a", "vm-b"}) {
        fleet_vm vm;
        vm.vm = name;
        vm.pool = "spare";
        view.vms.push_back(vm);
    }
    const auto maintenanceIn = [](const std::vector<fleet_decision> &decisions) {
        return std::count_if(decisions.begin(), decisions.end(), [](const fleet_decision &one) {
            return std::holds_alternative<maintenance_decision>(one);
        });
    };
    CHECK(maintenanceIn(planner.plan(view, 1'100)) == 0);
    CHECK(maintenanceIn(planner.plan(view, 6'000)) == 1);
}

// Guards against a new lease holder that uses a VM on which a maintenance order may still be carried out. The order was sent late,
// because its row was stored late.
TEST_CASE("the time to live of maintenance counts from the storing of its row")
{
    constexpr time_ms ttlMs = 3'000;
    fleet_orders first(ttlMs);
    first.add(maintain_vm{"vm-1", 7}, 100);
    first.expire(1'600);
    const std::string row = first.writeRow();

    SUBCASE("for the next lease holder")
    {
        fleet_orders next(ttlMs);
        REQUIRE(next.readPredecessorRow(row, 50'000));
        CHECK(next.hasPredecessorOrder("vm-1", 52'900));
    }
    SUBCASE("also when the row is written again after the order was sent")
    {
        first.expire(3'000);
        first.rowStored();
        REQUIRE(first.takeDue().size() == 1);
        first.expire(3'100);
        fleet_orders next(ttlMs);
        REQUIRE(next.readPredecessorRow(first.writeRow(), 50'000));
        CHECK(next.hasPredecessorOrder("vm-1", 52'800));
    }
}

// Guards against VMs that stay out of use throughout a rolling restart of the nodes, long after their order has expired.
TEST_CASE("a takeover doesn't extend the time to live of an order")
{
    constexpr time_ms ttlMs = 3'000;
    constexpr time_ms betweenTakeovers = 2'000;
    fleet_orders first(ttlMs);
    first.add(move_vm{"vm-1", "booking"}, 100);
    std::string row = first.writeRow();
    for (time_ms now = 100; now < 10'000; now += betweenTakeovers) {
        fleet_orders next(ttlMs);
        REQUIRE(next.readPredecessorRow(row, now));
        next.expire(now + betweenTakeovers);
        row = next.writeRow();
    }
    fleet_orders last(ttlMs);
    REQUIRE(last.readPredecessorRow(row, 10'100));
    CHECK_FALSE(last.hasPredecessorOrder("vm-1", 10'200));
}
