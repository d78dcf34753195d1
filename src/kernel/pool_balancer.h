#pragma once

// Decides when a VM moves from one pool to another.
//
//     pool_balancer balancer(weights);
//     std::vector<move_proposal> moves = balancer.step(samples, now);
//
// Feed one sample per pool every few seconds. Each pool's sizing policy estimates the demand that the pool should be
// sized for; the balancer divides the VMs between the pools in proportion and proposes moves where a pool has been off
// its share for long enough. It holds only estimates, so a controller that takes over starts with empty ones and
// proposes nothing until they have settled.
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

/** What a pool offered and had in the last sampling interval. */
struct pool_sample
{
    std::string pool;
    /** Mean number of slots that the arriving work would keep busy: arrivals per second times mean run time in seconds. */
    double offeredLoad = 0;
    int servingVms = 0;
    /** VMs that are on their way into the pool. */
    int arrivingVms = 0;
    int slotsPerVm = 8;
    int minAvailable = 0;
    /** Most VMs of the pool in one failure domain that its headroom names. */
    int largestDomain = 1;
    std::string balancing = "hysteresis";
};

/** What a pool should be sized for, and how steadily. */
struct size_estimate
{
    /** Demand in slots; nothing keeps the pool at its present size. */
    std::optional<double> expectedDemand;
    /** A pool moves VMs only while it is off its share by at least this many VMs, */
    double deadBandVms = 0;
    /** and has been for this long. */
    duration stabilizationTime{};
};

/** Keeps every pool at its present size. */
class fixed_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);
};

/** Baseline: sizes the pool for the demand of the last sample, at once. */
class follow_demand_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);
};

/** Sizes the pool for the largest demand expected within the time that a move takes: from the present trend and from the same time of earlier weeks. */
class hysteresis_sizing
{
public:
    size_estimate update(const pool_sample &sample, const measure_weights &weights, timestamp now);

private:
    double forecast(timestamp now) const;
    void recordDemand(double offered, duration elapsed, timestamp now);

    static constexpr int bucketsPerWeek = 7 * 24 * 2;

    struct week_bucket
    {
        double mean = 0;
        bool known = false;
    };

    std::vector<week_bucket> m_weeklyProfile = std::vector<week_bucket>(bucketsPerWeek);
    double m_shortMean = 0;
    double m_longMean = 0;
    double m_bucketSum = 0;
    double m_bucketSeconds = 0;
    int m_bucket = -1;
    std::optional<timestamp> m_lastUpdate;
    std::optional<timestamp> m_firstUpdate;
};

using sizing_policy = std::variant<fixed_sizing, follow_demand_sizing, hysteresis_sizing>;

/** Share of a VM's slots that sustained work may fill, from 0.4 to 0.65; the heavier waiting weighs against the buffer, the smaller. */
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
     * Updates the estimates and proposes moves. Never proposes a move that leaves the donor without its budget plus its
     * largest failure domain; at most one VM per donor and step.
     */
    std::vector<move_proposal> step(std::span<const pool_sample> samples, timestamp now);

private:
    struct pool_progress
    {
        std::string sizingName;
        sizing_policy sizing;
        size_estimate estimate;
        /** VMs above (positive) or below the pool's share. */
        double excess = 0;
        std::optional<timestamp> lackingSince;
        std::optional<timestamp> spareSince;
    };

    void estimate(std::span<const pool_sample> samples, timestamp now);
    void divide(std::span<const pool_sample> samples, timestamp now);
    double shareAboveFloor(const pool_sample &sample, double expected, double vmsPerSlot) const;

    measure_weights m_weights;
    std::map<std::string, pool_progress, std::less<>> m_pools;
};

} // namespace daisypass
