#include "sched/order_ledger.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

const executor_incarnation firstIncarnation{"e1", 1'000};
const executor_incarnation nextIncarnation{"e1", 2'000};
const executor_incarnation otherExecutor{"e2", 1'500};

const move_vm moveToSpare{"vm-1", "spare", firstIncarnation};
const maintain_vm maintenanceInFirstWave{"vm-1", 1, firstIncarnation};

} // namespace

// Guards against placing runs on an executor that an order for its VM then ends.
TEST_CASE("an order reserves the VM's executor until its outcome is known")
{
    order_ledger ledger;
    REQUIRE_FALSE(ledger.reserves("e1"));

    SUBCASE("from the planning on, while the VM may still get an order")
    {
        ledger.plan("vm-1", firstIncarnation);
        CHECK(ledger.reserves("e1"));
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        ledger.listed("e1", 500);
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("a move")
    {
        ledger.add(moveToSpare, 100);
        CHECK(ledger.reserves("e1"));
        CHECK(ledger.hasOpenOrder("vm-1", "e1"));
        CHECK_FALSE(ledger.reserves("e2"));
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e2"));

        SUBCASE("that is refused ends the reservation")
        {
            ledger.answered(moveToSpare, fleet_status::Busy, 110);
            CHECK_FALSE(ledger.reserves("e1"));
            CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        }
        SUBCASE("that was carried out ends the reservation when the executor lists its runs afterwards")
        {
            ledger.answered(moveToSpare, fleet_status::Ok, 110);
            CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
            ledger.listed("e1", 110);
            CHECK(ledger.reserves("e1"));
            ledger.listed("e1", 111);
            CHECK_FALSE(ledger.reserves("e1"));
        }
        SUBCASE("that got no answer stays open, and is to be sent again")
        {
            ledger.answered(moveToSpare, fleet_status::Unknown, 110);
            ledger.listed("e1", 500);
            CHECK(ledger.reserves("e1"));
            CHECK(ledger.hasOpenOrder("vm-1", "e1"));
            REQUIRE(ledger.unansweredMoves().size() == 1);
            CHECK(ledger.unansweredMoves()[0].sentAt == 100);

            SUBCASE("until the list of VMs shows that it was carried out")
            {
                ledger.settle(moveToSpare, 600);
                CHECK(ledger.unansweredMoves().empty());
                CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
                CHECK(ledger.reserves("e1"));
                ledger.listed("e1", 700);
                CHECK_FALSE(ledger.reserves("e1"));
            }
            SUBCASE("also when the second order is refused, because the first may still be carried out")
            {
                ledger.add(moveToSpare, 1'100);
                ledger.answered(moveToSpare, fleet_status::Refused, 1'110);
                CHECK(ledger.reserves("e1"));
                CHECK(ledger.hasOpenOrder("vm-1", "e1"));
                REQUIRE(ledger.unansweredMoves().size() == 1);
                CHECK(ledger.unansweredMoves()[0].sentAt == 1'100);
                ledger.add(moveToSpare, 2'100);
                ledger.answered(moveToSpare, fleet_status::Busy, 2'110);
                CHECK(ledger.reserves("e1"));
            }
            SUBCASE("but not when the second order is rejected for good")
            {
                ledger.add(moveToSpare, 1'100);
                ledger.answered(moveToSpare, fleet_status::Rejected, 1'110);
                CHECK_FALSE(ledger.reserves("e1"));
            }
            SUBCASE("and it is not sent a third time before the second order has its answer")
            {
                ledger.add(moveToSpare, 1'100);
                CHECK(ledger.unansweredMoves().empty());
                ledger.settle(moveToSpare, 1'200);
                CHECK(ledger.hasOpenOrder("vm-1", "e1"));
            }
        }
    }
    SUBCASE("maintenance that got no answer can be ordered again by its wave")
    {
        ledger.add(maintenanceInFirstWave, 100);
        CHECK(ledger.hasOpenOrder("vm-1", "e1"));
        ledger.answered(maintenanceInFirstWave, fleet_status::Unknown, 110);
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        CHECK(ledger.reserves("e1"));
        CHECK(ledger.unansweredMoves().empty());
    }
}

// Guards against applying the answer to one order, or for one occupant of the VM, to another.
TEST_CASE("an answer settles only its own order")
{
    order_ledger ledger;
    SUBCASE("not a move to another pool")
    {
        ledger.add(moveToSpare, 100);
        ledger.answered(move_vm{"vm-1", "booking", firstIncarnation}, fleet_status::Busy, 110);
    }
    SUBCASE("not an order for a later incarnation of the executor")
    {
        ledger.add(move_vm{"vm-1", "spare", nextIncarnation}, 100);
        ledger.answered(moveToSpare, fleet_status::Busy, 110);
    }
    SUBCASE("not an order for the VM's next executor")
    {
        ledger.add(moveToSpare, 100);
        ledger.add(move_vm{"vm-1", "spare", otherExecutor}, 105);
        ledger.answered(move_vm{"vm-1", "spare", otherExecutor}, fleet_status::Busy, 110);
        CHECK_FALSE(ledger.reserves("e2"));
    }
    SUBCASE("not an order of another kind or wave")
    {
        ledger.add(maintain_vm{"vm-1", 2, firstIncarnation}, 100);
        ledger.answered(maintenanceInFirstWave, fleet_status::Busy, 110);
        ledger.answered(moveToSpare, fleet_status::Ok, 110);
    }
    CHECK(ledger.reserves("e1"));
    CHECK(ledger.hasOpenOrder("vm-1", "e1"));
}

// Guards against a list of runs that ends the reservation by a later order because an earlier order was waiting for it.
TEST_CASE("a later order for the executor keeps it reserved when it lists its runs")
{
    order_ledger ledger;
    ledger.add(maintenanceInFirstWave, 100);
    ledger.answered(maintenanceInFirstWave, fleet_status::Ok, 110);
    SUBCASE("planned")
    {
        ledger.plan("vm-1", firstIncarnation);
    }
    SUBCASE("sent")
    {
        ledger.add(maintain_vm{"vm-1", 2, firstIncarnation}, 120);
    }
    ledger.listed("e1", 200);
    CHECK(ledger.reserves("e1"));
}

// Guards against records that stay for ever, and against losing moves that may still end the next incarnation of the executor.
TEST_CASE("when an executor has ended only moves with an unknown outcome are kept")
{
    order_ledger ledger;
    SUBCASE("planned orders, maintenance and settled moves are removed")
    {
        ledger.plan("vm-1", firstIncarnation);
        ledger.add(maintain_vm{"vm-2", 1, firstIncarnation}, 100);
        ledger.add(move_vm{"vm-3", "spare", firstIncarnation}, 100);
        ledger.answered(move_vm{"vm-3", "spare", firstIncarnation}, fleet_status::Ok, 110);
        ledger.forget("e1");
        CHECK_FALSE(ledger.reserves("e1"));
    }
    SUBCASE("a move that awaits its answer is kept")
    {
        ledger.add(moveToSpare, 100);
        ledger.forget("e1");
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("a move that got no answer is kept")
    {
        ledger.add(moveToSpare, 100);
        ledger.answered(moveToSpare, fleet_status::Unknown, 110);
        ledger.forget("e1");
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("records of VMs without an executor are kept")
    {
        ledger.add(maintain_vm{"vm-1", 1, {}}, 100);
        ledger.forget("");
        CHECK(ledger.hasOpenOrder("vm-1", ""));
    }
    SUBCASE("records of other executors are kept")
    {
        ledger.plan("vm-1", otherExecutor);
        ledger.forget("e1");
        CHECK(ledger.reserves("e2"));
    }
}

TEST_CASE("a move of a VM without an executor leaves no record after its answer")
{
    order_ledger ledger;
    const move_vm move{"vm-1", "booking", {}};
    ledger.add(move, 100);
    CHECK(ledger.hasOpenOrder("vm-1", ""));
    ledger.answered(move, fleet_status::Ok, 110);
    CHECK_FALSE(ledger.hasOpenOrder("vm-1", ""));
    CHECK_FALSE(ledger.reserves(""));
}
