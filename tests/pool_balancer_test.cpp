// Tests of the pool balancer and its sizing policies, in virtual time.

#include "kernel/pool_balancer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace daisypass;

namespace {

constexpr int sampleSeconds = 10;

pool_sample sampleOf(const char *pool, int vms, double offered, const char *policy = "hysteresis")
{
    pool_sample sample;
    sample.pool = pool;
    sample.servingVms = vms;
    sample.offeredLoad = offered;
    sample.minAvailable = 2;
    sample.balancing = policy;
    return sample;
}

// Two pools with the given demand over time; every proposed move takes effect at once.
struct two_pools
{
    pool_balancer balancer{measure_weights{1, 1, 1, 4}};
    int first = 10;
    int second = 10;
    int moves = 0;
    int now = 0;

    void run(int seconds, const std::function<double(int)> &firstDemand, double secondDemand)
    {
        for (const int end = now + seconds; now < end; now += sampleSeconds) {
            const std::vector<pool_sample> samples{sampleOf("first", first, firstDemand(now)), sampleOf("second", second, secondDemand)};
            for (const move_proposal &move : balancer.step(samples, std::chrono::seconds(now))) {
                const int toFirst = move.to == "first" ? 1 : -1;
                first += toFirst;
                second -= toFirst;
                ++moves;
            }
        }
    }
};

} // namespace

TEST_CASE("VMs move for lasting shifts of demand only")
{
    two_pools pools;
    pools.run(
        3'600,
        [](int) {
            return 30.0;
        },
        30);
    REQUIRE(pools.moves == 0);

    // Guards against moves caused by a peak of a few seconds.
    SUBCASE("peaks of five times the mean for 10 s in each minute cause no move")
    {
        pools.run(
            6 * 3'600,
            [](int now) {
                return now % 60 < sampleSeconds ? 75.0 : 21.0;
            },
            30);
        CHECK(pools.moves == 0);
    }

    // Guards against hysteresis so strong that a pool never gains VMs.
    SUBCASE("a pool whose demand doubles for hours gains VMs")
    {
        pools.run(
            2 * 3'600,
            [](int) {
                return 60.0;
            },
            20);
        CHECK(pools.first >= 13);

        SUBCASE("the VMs return when the demand falls, without flapping")
        {
            const int before = pools.moves;
            pools.run(
                4 * 3'600,
                [](int) {
                    return 20.0;
                },
                60);
            CHECK(pools.second >= 13);
            CHECK(pools.moves - before <= 10);
        }
    }
}

TEST_CASE("the number of moves in a day of fluctuating demand is bounded")
{
    // Guards against flapping between two pools of nearly equal demand.
    two_pools pools;
    pools.run(
        86'400,
        [](int now) {
            return 30 + 6 * ((now / 600) % 2 == 0 ? 1.0 : -1.0);
        },
        30);
    CHECK(pools.moves <= 2);
}

TEST_CASE("no move takes a donor below its budget and one failure domain")
{
    // Guards against a planned move that violates the availability budget, for any demand and any policy.
    rc::check([] {
        pool_balancer balancer{measure_weights{4, 1, 1, 4}};
        std::vector<int> vms{*rc::gen::inRange(0, 12), *rc::gen::inRange(0, 12), *rc::gen::inRange(0, 12)};
        const char *policy = *rc::gen::elementOf(std::vector<const char *>{"none", "follow-demand", "hysteresis"});
        const std::vector<const char *> names{"a", "b", "c"};
        for (int step = 0; step < 100; ++step) {
            std::vector<pool_sample> samples;
            for (std::size_t pool = 0; pool < names.size(); ++pool) {
                samples.push_back(sampleOf(names[pool], vms[pool], *rc::gen::inRange(0, 200), policy));
            }
            for (const move_proposal &move : balancer.step(samples, std::chrono::seconds(step * 600))) {
                const std::size_t from = move.from[0] - 'a';
                const std::size_t to = move.to[0] - 'a';
                RC_ASSERT(from != to);
                --vms[from];
                ++vms[to];
                RC_ASSERT(vms[from] >= 3);
            }
        }
    });
}
