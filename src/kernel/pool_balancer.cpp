#include "kernel/pool_balancer.h"

#include "kernel/policy_registry.h"

#include <algorithm>
#include <cmath>

namespace daisypass {
namespace {

// The VMs that a pool keeps at any demand: its availability budget plus its largest failure domain.
int minVms(const pool_sample &sample)
{
    return sample.minAvailable + sample.largestDomain;
}

int totalVms(const pool_sample &sample)
{
    return sample.servingVms + sample.arrivingVms;
}

// Tracks since when a condition has been true without interruption.
void trackSince(std::optional<timestamp> &since, bool condition, timestamp now)
{
    if (!condition) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool hasLasted(const std::optional<timestamp> &since, duration required, timestamp now)
{
    return since && now - *since >= required;
}

struct candidate
{
    const pool_sample *sample = nullptr;
    double amount = 0;
};

bool hasLargerAmount(const candidate &a, const candidate &b)
{
    return a.amount > b.amount;
}

} // namespace

pool_balancer::pool_balancer(measure_weights weights)
    : m_weights(weights)
{
}

std::vector<move_proposal> pool_balancer::step(std::span<const pool_sample> samples, timestamp now)
{
    estimate(samples, now);
    distributeVms(samples, now);
    std::vector<candidate> receivers;
    std::vector<candidate> donors;
    for (const pool_sample &sample : samples) {
        const pool_balance &pool = m_pools.find(sample.pool)->second;
        if (hasLasted(pool.shortageSince, pool.estimate.stabilizationTime, now)) {
            receivers.push_back({&sample, -pool.excess});
        } else if (hasLasted(pool.surplusSince, pool.estimate.stabilizationTime, now) && sample.servingVms > minVms(sample)) {
            donors.push_back({&sample, pool.excess});
        }
    }
    std::stable_sort(receivers.begin(), receivers.end(), hasLargerAmount);
    std::stable_sort(donors.begin(), donors.end(), hasLargerAmount);
    std::vector<move_proposal> moves;
    for (const candidate &donor : donors) {
        const auto receiver = std::max_element(receivers.begin(), receivers.end(), [](const candidate &a, const candidate &b) {
            return a.amount < b.amount;
        });
        if (receiver == receivers.end() || receiver->amount < 1) {
            break;
        }
        receiver->amount -= 1;
        moves.push_back({donor.sample->pool, receiver->sample->pool});
    }
    return moves;
}

void pool_balancer::estimate(std::span<const pool_sample> samples, timestamp now)
{
    for (const pool_sample &sample : samples) {
        pool_balance &pool = m_pools[sample.pool];
        if (pool.sizingName != sample.balancing) {
            const std::optional<sizing_policy> found = findPolicy<sizing_policy>(sample.balancing);
            // Configuration validation rejects unknown names. A pool with an unknown policy keeps its size.
            pool.sizing = found.value_or(fixed_sizing{});
            pool.sizingName = sample.balancing;
        }
        pool.estimate = std::visit(
            [&](auto &policy) {
                return policy.update(sample, m_weights, now);
            },
            pool.sizing);
    }
}

// Divides the VMs of all pools whose size follows demand. Each pool gets its minimum, and the remaining VMs are divided in
// proportion to the expected demand, because the wait in a peak depends on the ratio of demand to size. If the buffer has a
// greater weight than waiting, no pool gets more VMs than its demand needs, and the surplus goes to the pools without demand,
// which serve as the reserve.
void pool_balancer::distributeVms(std::span<const pool_sample> samples, timestamp now)
{
    double distributable = 0;
    double demand = 0;
    int poolsWithoutDemand = 0;
    for (const pool_sample &sample : samples) {
        const std::optional<double> &expected = m_pools.find(sample.pool)->second.estimate.expectedDemand;
        if (expected) {
            distributable += totalVms(sample) - minVms(sample);
            demand += *expected;
            poolsWithoutDemand += *expected > 0 ? 0 : 1;
        }
    }
    distributable = std::max(0.0, distributable);
    double undistributed = distributable;
    for (const pool_sample &sample : samples) {
        pool_balance &pool = m_pools.find(sample.pool)->second;
        if (pool.estimate.expectedDemand && demand > 0) {
            const double share = shareAboveMinimum(sample, *pool.estimate.expectedDemand, distributable / demand);
            pool.excess = totalVms(sample) - minVms(sample) - share;
            undistributed -= share;
        } else {
            pool.excess = 0;
        }
    }
    for (const pool_sample &sample : samples) {
        pool_balance &pool = m_pools.find(sample.pool)->second;
        if (pool.estimate.expectedDemand && *pool.estimate.expectedDemand <= 0 && demand > 0) {
            pool.excess -= undistributed / poolsWithoutDemand;
        }
        const double deadBandVms = std::max(1.0, pool.estimate.deadBandVms);
        trackSince(pool.shortageSince, pool.excess <= -deadBandVms, now);
        trackSince(pool.surplusSince, pool.excess >= deadBandVms, now);
    }
}

double pool_balancer::shareAboveMinimum(const pool_sample &sample, double expected, double vmsPerSlot) const
{
    const double share = expected * vmsPerSlot;
    if (m_weights.buffer <= m_weights.waiting) {
        return share;
    }
    const double needed = expected / (sample.slotsPerVm * targetUtilization(m_weights)) + sample.largestDomain - minVms(sample);
    return std::min(share, std::max(0.0, needed));
}

} // namespace daisypass
