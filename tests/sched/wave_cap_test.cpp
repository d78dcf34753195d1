#include "fleet_order_fixtures.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

constexpr std::size_t cap = 2;
constexpr time_ms planIntervalMs = 500;

/** Four VMs with empty executors, all in a wave that may take down two of them at a time. */
class wave_fixture : public scheduler_fixture
{
public:
    wave_fixture()
    {
        wave.wave = 1;
        wave.durationMs = 60'000;
        wave.cap = cap;
        for (const char *name : {"e1", "e2", "e3", "e4"}) {
            addExecutor(name);
            list.vms.push_back({std::string("vm-") + name, "booking", vm_state::Up, "zone", {"a"}, name});
            wave.vms.push_back(list.vms.back().vm);
        }
        taskScheduler.handle(list, now);
    }

    void request()
    {
        taskScheduler.handle(wave_requested{wave, 0}, now);
    }

    /** Lets time pass while the fleet service lists all VMs as up, and returns the orders that were sent. */
    std::vector<maintain_vm> ordersWithin(time_ms ms)
    {
        for (const time_ms until = now + ms; now < until;) {
            advance(planIntervalMs);
            list.askedAt = now;
            taskScheduler.handle(list, now);
        }
        return take<maintain_vm>();
    }

    void answer(const maintain_vm &order, fleet_status status)
    {
        taskScheduler.handle(maintenance_answered{order.vm, order.wave, status, order.occupant}, now);
    }

    wave_request wave;
    vms_listed list;
};

std::set<std::string> vmsOf(const std::vector<maintain_vm> &orders)
{
    std::set<std::string> vms;
    for (const maintain_vm &order : orders) {
        vms.insert(order.vm);
    }
    return vms;
}

} // namespace

// Guards against maintenance of more VMs at once than the wave's cap allows: orders that waited for the store were taken for carried out.
TEST_CASE("a wave's cap holds across an outage of the store")
{
    wave_fixture world;
    world.storeReachable = false;
    world.request();
    CHECK(world.ordersWithin(10'000).empty());
    world.storeReachable = true;
    const std::vector<maintain_vm> orders = world.ordersWithin(1'000);
    CHECK(vmsOf(orders).size() == cap);

    SUBCASE("and the next VMs follow when these are up again")
    {
        for (const maintain_vm &order : orders) {
            world.answer(order, fleet_status::Ok);
        }
        const std::set<std::string> next = vmsOf(world.ordersWithin(6'000));
        CHECK(next.size() == cap);
        CHECK_FALSE(next.contains(orders.front().vm));
    }
}

// Guards against the same after an order without an answer, which is carried out seconds later while another VM has taken its place.
TEST_CASE("a VM whose maintenance got no answer keeps its place under the wave's cap")
{
    wave_fixture world;
    world.request();
    const std::vector<maintain_vm> orders = world.ordersWithin(planIntervalMs);
    REQUIRE(vmsOf(orders).size() == cap);
    for (const maintain_vm &order : orders) {
        world.answer(order, fleet_status::Unknown);
    }

    SUBCASE("and is ordered again")
    {
        for (int round = 0; round < 3; ++round) {
            const std::vector<maintain_vm> repeated = world.ordersWithin(2'000);
            CHECK(vmsOf(repeated) == vmsOf(orders));
            for (const maintain_vm &order : repeated) {
                world.answer(order, fleet_status::Unknown);
            }
        }
    }
    SUBCASE("until it is answered")
    {
        for (const maintain_vm &order : world.ordersWithin(2'000)) {
            world.answer(order, fleet_status::Ok);
        }
        CHECK(vmsOf(world.ordersWithin(6'000)).size() == cap);
    }
}

// Guards against a successor that takes down further VMs while its predecessor's orders may still be carried out.
TEST_CASE("maintenance that was ordered counts for the next lease holder")
{
    fleet_planner former{bounds{}};
    fleet_view view;
    wave_fixture world;
    former.addWave(world.wave, 10'000, 0);
    for (const std::string &name : world.wave.vms) {
        fleet_vm vm;
        vm.vm = name;
        view.vms.push_back(vm);
    }
    former.plan(view, 10'000);
    const std::optional<std::pair<std::string, std::string>> row = former.takeChangedRow();
    REQUIRE(row);
    fleet_planner successor{bounds{}};
    successor.readRow(row->first, row->second);
    successor.addWave(world.wave, 20'000, 10'000);
    const std::vector<fleet_decision> decisions = successor.plan(view, 20'100);
    CHECK(std::none_of(decisions.begin(), decisions.end(), [](const fleet_decision &decision) {
        return std::holds_alternative<maintenance_decision>(decision);
    }));
}
