// Compares the pool sizing policies of pool_balancer in virtual time, on a demand trace with a fixed seed.
//
//     daisypass-balancing-bench [--days N] [--seed N]
//
// The demand of each pool has a daily cycle, is higher on Friday afternoons, and has short bursts, one pool after the other: five times
// the mean for 6 s, after 24 s at a twentieth of the mean. Work is modelled as a fluid measured in slot seconds: each second a pool
// serves at most as much as its serving VMs have slots, and the rest stays in its backlog.

#include "base/saturating_cast.h"
#include "kernel/pool_balancer.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <numbers>
#include <numeric>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace daisypass;

namespace {

constexpr int sampleSeconds = 10;
constexpr int daySeconds = 86'400;
constexpr double slotsPerVm = 8;

struct deployment
{
    std::string name;
    std::vector<std::string> pools;
    int vmsPerPool = 10;
    int minAvailable = 2;
    measure_weights weights;
    /** Hour of the day of each pool's highest demand. The last pool has no hour: it holds the spare VMs and has no demand. */
    std::vector<double> busiestHour;
    /** Mean of the demand and amplitude of its daily cycle, in slots. */
    double meanSlots = 26;
    double swingSlots = 18;
    /** How long a move takes a VM out of service, for draining long work and rebooting. */
    int moveSeconds = 0;
};

const std::vector<deployment> &deployments()
{
    static const std::vector<deployment> all{
        {.name = "brusilica",
         .pools = {"booking", "profiles", "counter-queue", "grinder-jobs", "spare-admin"},
         .weights = {1, 1, 1, 4},
         .busiestHour = {9, 17, 13, 19},
         .moveSeconds = 180},
        {.name = "redcumbre",
         .pools = {"order-intake-north", "order-intake-south", "route-design-north", "route-design-south", "spare-support"},
         .weights = {4, 1, 4, 1},
         .busiestHour = {9, 11, 15, 17},
         .moveSeconds = 900},
    };
    return all;
}

// Demand of one pool in slots, for each second in order.
class demand_trace
{
public:
    demand_trace(const deployment &shape, int pool, std::uint64_t seed)
        : m_shape(shape)
        , m_pool(pool)
        , m_random(seed * 1'000 + static_cast<std::uint64_t>(pool))
    {
    }

    double at(int second)
    {
        const int workPools = static_cast<int>(m_shape.busiestHour.size());
        if (m_pool >= workPools) {
            return 0;
        }
        const double hour = std::fmod(second / 3'600.0, 24);
        const double angle = (hour - m_shape.busiestHour[m_pool]) / 24 * 2 * std::numbers::pi;
        double slots = m_shape.meanSlots + m_shape.swingSlots * std::cos(angle);
        // The trace starts on a Monday.
        const bool friday = second / daySeconds % 7 == 4;
        if (friday && hour >= 13 && hour < 18) {
            slots *= 1.25;
        }
        return std::max(0.0, slots * peakFactor(second, workPools) * m_noise(m_random));
    }

private:
    // The pools have their bursts in turn, one per minute, and are nearly idle for 24 s before them.
    double peakFactor(int second, int workPools) const
    {
        constexpr int turnSeconds = 60;
        constexpr int peakSeconds = 6;
        constexpr int lowSeconds = 24;
        if (second / turnSeconds % workPools != m_pool) {
            return 1;
        }
        const int secondOfTurn = second % turnSeconds;
        if (secondOfTurn >= turnSeconds - peakSeconds) {
            return 5;
        }
        return secondOfTurn >= turnSeconds - peakSeconds - lowSeconds ? 0.05 : 1;
    }

    const deployment &m_shape;
    int m_pool;
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_noise{1, 0.1};
};

struct pool_progress
{
    int serving = 0;
    double backlog = 0;
    double sampleOffered = 0;
};

struct move_in_progress
{
    int to = 0;
    int readyAt = 0;
};

struct measures
{
    int moves = 0;
    double allocatedVms = 0;
    int peakVms = 0;
    double usedVms = 0;
    double meanWait = 0;
    double p99Wait = 0;
    int budgetBreaches = 0;
};

// Static pool sizes: enough VMs for the highest 10-minute mean of the whole trace, plus one VM of headroom.
std::vector<int> worstCaseSizes(const deployment &shape, int seconds, std::uint64_t seed)
{
    constexpr int windowSeconds = 600;
    const double utilization = targetUtilization(shape.weights);
    std::vector<int> sizes;
    for (int pool = 0; pool < static_cast<int>(shape.pools.size()); ++pool) {
        demand_trace trace(shape, pool, seed);
        double highest = 0;
        double window = 0;
        for (int second = 0; second < seconds; ++second) {
            window += trace.at(second);
            if (second % windowSeconds == windowSeconds - 1) {
                highest = std::max(highest, window / windowSeconds);
                window = 0;
            }
        }
        sizes.push_back(std::max(shape.minAvailable, saturatingCast<int>(std::ceil(highest / (slotsPerVm * utilization)))) + 1);
    }
    return sizes;
}

class simulation
{
public:
    simulation(const deployment &shape, std::string_view policy, const std::vector<int> &sizes, std::uint64_t seed)
        : m_shape(shape)
        , m_policy(policy)
        , m_balancer(shape.weights)
        , m_pools(shape.pools.size())
    {
        for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
            m_pools[pool].serving = sizes[pool];
            m_traces.emplace_back(shape, static_cast<int>(pool), seed);
        }
    }

    measures run(int seconds)
    {
        measures result;
        std::vector<float> waits;
        for (int second = 0; second < seconds; ++second) {
            finishMoves(second);
            for (std::size_t pool = 0; pool + 1 < m_pools.size(); ++pool) {
                result.usedVms += serve(pool, second) / slotsPerVm;
                const double wait = m_pools[pool].backlog / std::max(1.0, m_pools[pool].serving * slotsPerVm);
                result.meanWait += wait;
                waits.push_back(static_cast<float>(wait));
                result.budgetBreaches += m_pools[pool].serving < m_shape.minAvailable ? 1 : 0;
            }
            const int allocated = allocatedVmsNow();
            result.allocatedVms += allocated;
            result.peakVms = std::max(result.peakVms, allocated);
            if (second % sampleSeconds == sampleSeconds - 1) {
                result.moves += rebalance(second);
            }
        }
        result.allocatedVms /= seconds;
        result.usedVms /= seconds;
        result.meanWait /= static_cast<double>(waits.size());
        const auto p99 = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
        std::nth_element(waits.begin(), p99, waits.end());
        result.p99Wait = *p99;
        return result;
    }

private:
    // Number of VMs that serve in pools with demand or are moving between any two pools.
    int allocatedVmsNow() const
    {
        int allocated = static_cast<int>(m_moving.size());
        for (std::size_t pool = 0; pool + 1 < m_pools.size(); ++pool) {
            allocated += m_pools[pool].serving;
        }
        return allocated;
    }

    double serve(std::size_t pool, int second)
    {
        pool_progress &progress = m_pools[pool];
        const double offered = m_traces[pool].at(second);
        progress.sampleOffered += offered / sampleSeconds;
        const double available = progress.backlog + offered;
        const double served = std::min(available, progress.serving * slotsPerVm);
        progress.backlog = available - served;
        return served;
    }

    void finishMoves(int second)
    {
        while (!m_moving.empty() && m_moving.front().readyAt <= second) {
            ++m_pools[m_moving.front().to].serving;
            m_moving.pop_front();
        }
    }

    pool_sample sampleOf(std::size_t pool) const
    {
        pool_sample sample;
        sample.pool = m_shape.pools[pool];
        sample.offeredLoad = m_pools[pool].sampleOffered;
        sample.servingVms = m_pools[pool].serving;
        sample.arrivingVms = static_cast<int>(std::count_if(m_moving.begin(), m_moving.end(), [&](const move_in_progress &move) {
            return move.to == static_cast<int>(pool);
        }));
        // The spare pool gives and takes VMs without a lower limit.
        const bool spare = pool + 1 == m_pools.size();
        sample.minAvailable = spare ? 0 : m_shape.minAvailable;
        sample.largestDomain = spare ? 0 : 1;
        sample.balancing = m_policy;
        return sample;
    }

    int rebalance(int second)
    {
        std::vector<pool_sample> samples;
        for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
            samples.push_back(sampleOf(pool));
            m_pools[pool].sampleOffered = 0;
        }
        const std::vector<move_proposal> moves = m_balancer.step(samples, std::chrono::seconds(second));
        for (const move_proposal &move : moves) {
            --m_pools[indexOf(move.from)].serving;
            m_moving.push_back({indexOf(move.to), second + m_shape.moveSeconds});
        }
        return static_cast<int>(moves.size());
    }

    int indexOf(std::string_view pool) const
    {
        const auto found = std::find(m_shape.pools.begin(), m_shape.pools.end(), pool);
        return static_cast<int>(found - m_shape.pools.begin());
    }

    const deployment &m_shape;
    std::string m_policy;
    pool_balancer m_balancer;
    std::vector<pool_progress> m_pools;
    std::vector<demand_trace> m_traces;
    std::deque<move_in_progress> m_moving;
};

void print(const char *policy, const measures &result)
{
    std::printf("%-20s %7d %10.1f %10.1f %10d %12.3f %12.3f %9d\n",
                policy,
                result.moves,
                result.allocatedVms,
                result.allocatedVms - result.usedVms,
                result.peakVms,
                result.meanWait,
                result.p99Wait,
                result.budgetBreaches);
}

int total(const std::vector<int> &sizes)
{
    return std::accumulate(sizes.begin(), sizes.end(), 0);
}

// The smallest number of VMs, split evenly over the pools with demand at the start, with which the policy keeps the mean wait within the limit.
int smallestFleet(const deployment &shape, const char *policy, double waitLimit, int seconds, std::uint64_t seed)
{
    const int workPools = static_cast<int>(shape.busiestHour.size());
    int largestInsufficient = workPools * (shape.minAvailable + 1) - 1;
    int smallestSufficient = 100;
    while (smallestSufficient - largestInsufficient > 1) {
        const int fleet = (smallestSufficient + largestInsufficient) / 2;
        std::vector<int> sizes(shape.pools.size(), 0);
        for (int vm = 0; vm < fleet; ++vm) {
            ++sizes[vm % workPools];
        }
        const bool sufficient = simulation(shape, policy, sizes, seed).run(seconds).meanWait <= waitLimit;
        (sufficient ? smallestSufficient : largestInsufficient) = fleet;
    }
    return smallestSufficient;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Compares pool sizing policies on the same demand trace.");
    int days = 14;
    std::uint64_t seed = 1;
    app.add_option("--days", days, "Days of virtual time")->check(CLI::Range(1, 70));
    app.add_option("--seed", seed, "Seed of the demand trace");
    CLI11_PARSE(app, argc, argv);
    const int seconds = days * daySeconds;
    for (const deployment &shape : deployments()) {
        std::printf("%s, %d days, seed %llu\n", shape.name.c_str(), days, static_cast<unsigned long long>(seed));
        std::printf("%-20s %7s %10s %10s %10s %12s %12s %9s\n", "policy", "moves", "held VMs", "buffer", "peak VMs", "mean wait s", "p99 wait s", "breaches");
        const std::vector<int> worst = worstCaseSizes(shape, seconds, seed);
        const measures worstResult = simulation(shape, "none", worst, seed).run(seconds);
        print("static worst case", worstResult);
        const std::vector<int> equal(shape.pools.size(), shape.vmsPerPool);
        for (const char *policy : {"none", "follow-demand", "hysteresis"}) {
            print(policy, simulation(shape, policy, equal, seed).run(seconds));
        }
        std::printf("smallest fleet with the mean wait of the static worst case (%d VMs):", total(worst) - worst.back());
        for (const char *policy : {"none", "follow-demand", "hysteresis"}) {
            std::printf(" %s %d", policy, smallestFleet(shape, policy, worstResult.meanWait, seconds, seed));
        }
        std::printf("\n");
    }
    return 0;
}
