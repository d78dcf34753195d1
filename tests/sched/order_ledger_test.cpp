#include "sched/order_ledger.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

const executor_life firstLife{"e1", 1'000};
const executor_life nextLife{"e1", 2'000};
const executor_life other{"e2", 1'500};

const move_vm toSpare{"vm-1", "spare", firstLife};
const upkeep_vm inFirstWave{"vm-1", 1, firstLife};

} // namespace

// Guards against an executor that gets runs which an order of its VM then ends.
TEST_CASE("an order reserves the VM's executor until nothing of it is left open")
{
    order_ledger ledger;
    REQUIRE_FALSE(ledger.reserves("e1"));

    SUBCASE("from its plan on, though the VM may still get another order")
    {
        ledger.plan("vm-1", firstLife);
        CHECK(ledger.reserves("e1"));
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        ledger.listed("e1", 500);
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("a move")
    {
        ledger.add(toSpare, 100);
        CHECK(ledger.reserves("e1"));
        CHECK(ledger.hasOpenOrder("vm-1", "e1"));
        CHECK_FALSE(ledger.reserves("e2"));
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e2"));

        SUBCASE("that is refused ends it")
        {
            ledger.answered(toSpare, fleet_status::Busy, 110);
            CHECK_FALSE(ledger.reserves("e1"));
            CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        }
        SUBCASE("that is carried out, or was before, ends it when the executor lists its runs later")
        {
            ledger.answered(toSpare, fleet_status::Ok, 110);
            CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
            ledger.listed("e1", 110);
            CHECK(ledger.reserves("e1"));
            ledger.listed("e1", 111);
            CHECK_FALSE(ledger.reserves("e1"));
        }
        SUBCASE("that has no answer goes on, and is to be ordered again")
        {
            ledger.answered(toSpare, fleet_status::Unknown, 110);
            ledger.listed("e1", 500);
            CHECK(ledger.reserves("e1"));
            CHECK(ledger.hasOpenOrder("vm-1", "e1"));
            REQUIRE(ledger.unansweredMoves().size() == 1);
            CHECK(ledger.unansweredMoves()[0].sentAt == 100);

            SUBCASE("until the list of VMs shows it as done")
            {
                ledger.settle(toSpare, 600);
                CHECK(ledger.unansweredMoves().empty());
                CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
                CHECK(ledger.reserves("e1"));
                ledger.listed("e1", 700);
                CHECK_FALSE(ledger.reserves("e1"));
            }
            SUBCASE("also when it is refused the second time: the first may still be carried out")
            {
                ledger.add(toSpare, 1'100);
                ledger.answered(toSpare, fleet_status::Refused, 1'110);
                CHECK(ledger.reserves("e1"));
                CHECK(ledger.hasOpenOrder("vm-1", "e1"));
                REQUIRE(ledger.unansweredMoves().size() == 1);
                CHECK(ledger.unansweredMoves()[0].sentAt == 1'100);
                ledger.add(toSpare, 2'100);
                ledger.answered(toSpare, fleet_status::Busy, 2'110);
                CHECK(ledger.reserves("e1"));
            }
            SUBCASE("but not when the VM can't be moved so")
            {
                ledger.add(toSpare, 1'100);
                ledger.answered(toSpare, fleet_status::Rejected, 1'110);
                CHECK_FALSE(ledger.reserves("e1"));
            }
            SUBCASE("and not a second time before that has its answer")
            {
                ledger.add(toSpare, 1'100);
                CHECK(ledger.unansweredMoves().empty());
                ledger.settle(toSpare, 1'200);
                CHECK(ledger.hasOpenOrder("vm-1", "e1"));
            }
        }
    }
    SUBCASE("upkeep without an answer doesn't keep its wave from ordering it again")
    {
        ledger.add(inFirstWave, 100);
        CHECK(ledger.hasOpenOrder("vm-1", "e1"));
        ledger.answered(inFirstWave, fleet_status::Unknown, 110);
        CHECK_FALSE(ledger.hasOpenOrder("vm-1", "e1"));
        CHECK(ledger.reserves("e1"));
        CHECK(ledger.unansweredMoves().empty());
    }
}

// Guards against conclusions about one order, or one occupant of the VM, from the answer to another.
TEST_CASE("an answer settles only the order that it is for")
{
    order_ledger ledger;
    SUBCASE("not one to another pool")
    {
        ledger.add(toSpare, 100);
        ledger.answered(move_vm{"vm-1", "booking", firstLife}, fleet_status::Busy, 110);
    }
    SUBCASE("not one for a later life of the executor")
    {
        ledger.add(move_vm{"vm-1", "spare", nextLife}, 100);
        ledger.answered(toSpare, fleet_status::Busy, 110);
    }
    SUBCASE("not one for the VM's next executor")
    {
        ledger.add(toSpare, 100);
        ledger.add(move_vm{"vm-1", "spare", other}, 105);
        ledger.answered(move_vm{"vm-1", "spare", other}, fleet_status::Busy, 110);
        CHECK_FALSE(ledger.reserves("e2"));
    }
    SUBCASE("not one of another kind or wave")
    {
        ledger.add(upkeep_vm{"vm-1", 2, firstLife}, 100);
        ledger.answered(inFirstWave, fleet_status::Busy, 110);
        ledger.answered(toSpare, fleet_status::Ok, 110);
    }
    CHECK(ledger.reserves("e1"));
    CHECK(ledger.hasOpenOrder("vm-1", "e1"));
}

// Guards against a reservation that is lifted by what an earlier order left in doubt.
TEST_CASE("a later order for the executor ends the doubt that an earlier one left")
{
    order_ledger ledger;
    ledger.add(inFirstWave, 100);
    ledger.answered(inFirstWave, fleet_status::Ok, 110);
    SUBCASE("planned")
    {
        ledger.plan("vm-1", firstLife);
    }
    SUBCASE("sent")
    {
        ledger.add(upkeep_vm{"vm-1", 2, firstLife}, 120);
    }
    ledger.listed("e1", 200);
    CHECK(ledger.reserves("e1"));
}

// Guards against records that nobody asks for any more, and against the loss of those that a next life needs.
TEST_CASE("of an executor that is over only moves stay whose outcome isn't known")
{
    order_ledger ledger;
    SUBCASE("a planned order, upkeep and doubts go")
    {
        ledger.plan("vm-1", firstLife);
        ledger.add(upkeep_vm{"vm-2", 1, firstLife}, 100);
        ledger.add(move_vm{"vm-3", "spare", firstLife}, 100);
        ledger.answered(move_vm{"vm-3", "spare", firstLife}, fleet_status::Ok, 110);
        ledger.forget("e1");
        CHECK_FALSE(ledger.reserves("e1"));
    }
    SUBCASE("a move that is on its way stays")
    {
        ledger.add(toSpare, 100);
        ledger.forget("e1");
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("a move without an answer stays")
    {
        ledger.add(toSpare, 100);
        ledger.answered(toSpare, fleet_status::Unknown, 110);
        ledger.forget("e1");
        CHECK(ledger.reserves("e1"));
    }
    SUBCASE("VMs without an executor are left alone")
    {
        ledger.add(upkeep_vm{"vm-1", 1, {}}, 100);
        ledger.forget("");
        CHECK(ledger.hasOpenOrder("vm-1", ""));
    }
    SUBCASE("other executors' records are left alone")
    {
        ledger.plan("vm-1", other);
        ledger.forget("e1");
        CHECK(ledger.reserves("e2"));
    }
}

TEST_CASE("a move of a VM without an executor leaves no doubt behind")
{
    order_ledger ledger;
    const move_vm move{"vm-1", "booking", {}};
    ledger.add(move, 100);
    CHECK(ledger.hasOpenOrder("vm-1", ""));
    ledger.answered(move, fleet_status::Ok, 110);
    CHECK_FALSE(ledger.hasOpenOrder("vm-1", ""));
    CHECK_FALSE(ledger.reserves(""));
}
