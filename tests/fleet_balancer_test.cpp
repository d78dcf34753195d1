// Tests which moves the fleet balancer requests for the loads that entries report.

#include "kernel/fleet_balancer.h"

#include "fleet_fixture.h"

using namespace daisypass;

namespace {

controller_input inputWith(timestamp now, int loadA, int loadB)
{
    controller_input input;
    input.now = now;
    input.entries["entry-1"].loads["a"] = {0, loadA / 2, 0};
    input.entries["entry-2"].loads["a"] = {loadA - loadA / 2, 0, 0};
    input.entries["entry-1"].loads["b"] = {loadB, 0, 0};
    return input;
}

} // namespace

TEST_CASE("a lasting load in a pool without VMs requests a move")
{
    small_fleet fleet(8, 2, "none");
    const fleet_controller::balancer balancer = makeFleetBalancer();
    int now = 0;
    const auto run = [&](int seconds, int loadA, int loadB) {
        std::vector<pool_move> moves;
        for (const int end = now + seconds; now < end && moves.empty(); now += 10) {
            moves = balancer(fleet.state, inputWith(std::chrono::seconds(now), loadA, loadB));
        }
        return moves;
    };
    REQUIRE(run(1'200, 20, 0).empty());

    // Guards against moves for a peak of some seconds.
    SUBCASE("a short peak requests no move")
    {
        CHECK(run(20, 20, 50).empty());
        CHECK(run(1'200, 20, 0).empty());
    }

    SUBCASE("an hour of load requests one move")
    {
        const std::vector<pool_move> moves = run(3'600, 20, 30);
        REQUIRE(moves.size() == 1);
        CHECK(moves[0].from == "a");
        CHECK(moves[0].to == "b");

        // Guards against requesting the same move at every step while it is in progress.
        SUBCASE("a move in progress counts for its destination")
        {
            fleet.mustApply({drain_begun{"vm-00", fleet.state.vms().find("vm-00")->second.epoch + 1, drain_cause::Move, "b"}});
            const std::vector<pool_sample> samples = poolSamples(fleet.state, inputWith(std::chrono::seconds(now), 20, 30));
            CHECK(samples[0].servingVms == 7);
            CHECK(samples[0].offeredLoad == 20);
            CHECK(samples[1].arrivingVms == 1);
            CHECK(samples[1].offeredLoad == 30);

            // Guards against counting a VM that is stopped during a move in both pools.
            fleet.mustApply({vm_stopped{"vm-00", fleet.state.vms().find("vm-00")->second.epoch, {}}});
            const std::vector<pool_sample> stopped = poolSamples(fleet.state, inputWith(std::chrono::seconds(now), 20, 30));
            CHECK(stopped[0].arrivingVms == 0);
            CHECK(stopped[1].arrivingVms == 1);
        }
    }
}
