#pragma once

// Decides when a VM moves from one pool to another.
//
//     pool_balancer balancer(weights);
//     std::vector<move_proposal> moves = balancer.step(samples, now);
//
// Pass one sample per pool every few seconds. Each pool's sizing policy estimates the demand that the pool should be
// sized for. The balancer divides the VMs between the pools in proportion to demand, and proposes a move when a pool has
// deviated from its share for its stabilization time. Its only state is these estimates: after a takeover a controller starts
// without them and proposes no move until they have settled.
//
// Sizing policies register themselves by name (see policy_registry.h) and are chosen by the pool's `balancing` setting.

#include "base/time.h"
#include "kernel/configuration.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

/** Offered load and size of a pool in the last sampling interval. */
struct pool_sample
{
    std::string pool;
    /** Offered load in slots: arrivals per second times mean run time in seconds. */
    double offeredLoad = 0;
    int servingVms = 0;
    /** VMs that are being moved into the pool. */
    int arrivingVms = 0;
    int slotsPerVm = 8;
    /** Availability budget: VMs that must be serving. */
    int minAvailable = 0;
    /** Number of the pool's VMs in its largest failure domain, of the kind that its `headroom` setting names. */
    int largestDomain = 1;
    /** Name of the sizing policy. */
    std::string balancing = "hysteresis";
};

/** The demand that a pool should be sized for, and the hysteresis of moves. */
struct size_estimate
{
    /** Demand in slots; without a value the pool keeps its present size. */
    std::optional<double> expectedDemand;
    /** The pool gains or gives up VMs only while its size deviates from its share by at least this many VMs. */
    double deadBandVms = 0;
    /** How long the deviation must have lasted without interruption before a VM moves. */
    duration stabilizationTime{};
};

/** Keeps every pool at its present size. */
class fixed_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);
};

/** Baseline: sizes the pool for the demand of the last sample, without hysteresis. */
class follow_demand_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);
};

/** Sizes the pool for the largest demand expected within the time that a move takes, forecast from the present trend and from the same time of earlier weeks.
 */
class hysteresis_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);

private:
    double forecast(timestamp now) const;
    /** Updates the means and the weekly profile with the demand of the last `elapsed`. */
    void recordDemand(double offered, duration elapsed, timestamp now);

    static constexpr int bucketsPerWeek = 7 * 24 * 2;

    struct week_bucket
    {
        double mean = 0;
        bool known = false;
    };

    std::vector<week_bucket> m_weeklyProfile = std::vector<week_bucket>(bucketsPerWeek);
    /** Exponentially weighted means of the demand with a short and a long time constant; their difference gives the trend. */
    double m_shortMean = 0;
    double m_longMean = 0;
    /** Demand accumulated in the current bucket, in slots times seconds, and the time that it covers. */
    double m_bucketSum = 0;
    double m_bucketSeconds = 0;
    int m_bucket = -1;
    std::optional<timestamp> m_lastUpdate;
    std::optional<timestamp> m_firstUpdate;
};

using sizing_policy = std::variant<fixed_sizing, follow_demand_sizing, hysteresis_sizing>;

/** Share of a VM's slots that sustained work may use, from 0.4 to 0.65. The greater the weight of waiting relative to the buffer, the smaller the share. */
double targetUtilization(const measure_weights &weights);

struct move_proposal
{
    std::string from;
    std::string to;
};

class pool_balancer
{
public:
    explicit pool_balancer(measure_weights weights);

    /**
     * Updates the estimates and proposes moves, at most one VM per donor and step. A move never leaves the donor with fewer
     * serving VMs than its availability budget plus its largest failure domain.
     */
    std::vector<move_proposal> step(std::span<const pool_sample> samples, timestamp now);

private:
    struct pool_balance
    {
        std::string sizingName;
        sizing_policy sizing;
        size_estimate estimate;
        /** Number of VMs above (positive) or below (negative) the pool's share. */
        double excess = 0;
        /** Since when the pool has been below or above its share by at least the dead band. */
        std::optional<timestamp> shortageSince;
        std::optional<timestamp> surplusSince;
    };

    void estimate(std::span<const pool_sample> samples, timestamp now);
    void distributeVms(std::span<const pool_sample> samples, timestamp now);
    /** VMs that the pool should have in addition to its minimum. */
    double shareAboveMinimum(const pool_sample &sample, double expected, double vmsPerSlot) const;

    measure_weights m_weights;
    std::map<std::string, pool_balance, std::less<>> m_pools;
};

} // namespace daisypass
