#include "kernel/pool_balancer.h"

#include "kernel/policy_registry.h"

#include <algorithm>
#include <cmath>

namespace daisypass {
namespace {

// The VMs that a pool keeps whatever its demand: the budget, and one failure domain on top of it.
int floorOf(const pool_sample &sample)
{
    return sample.minAvailable + sample.largestDomain;
}

int sizeOf(const pool_sample &sample)
{
    return sample.servingVms + sample.arrivingVms;
}

// Remembers since when a condition has held without a break.
void track(std::optional<timestamp> &since, bool holds, timestamp now)
{
    if (!holds) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool heldFor(const std::optional<timestamp> &since, duration stabilizationTime, timestamp now)
{
    return since && now - *since >= stabilizationTime;
}

struct candidate
{
    const pool_sample *sample = nullptr;
    double amount = 0;
};

bool larger(const candidate &a, const candidate &b)
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
    divide(samples, now);
    std::vector<candidate> receivers;
    std::vector<candidate> donors;
    for (const pool_sample &sample : samples) {
        const pool_progress &pool = m_pools.find(sample.pool)->second;
        if (heldFor(pool.lackingSince, pool.estimate.stabilizationTime, now)) {
            receivers.push_back({&sample, -pool.excess});
        } else if (heldFor(pool.spareSince, pool.estimate.stabilizationTime, now) && sample.servingVms > floorOf(sample)) {
            donors.push_back({&sample, pool.excess});
        }
    }
    std::stable_sort(receivers.begin(), receivers.end(), larger);
    std::stable_sort(donors.begin(), donors.end(), larger);
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
        pool_progress &pool = m_pools[sample.pool];
        if (pool.sizingName != sample.balancing) {
            const std::optional<sizing_policy> found = findPolicy<sizing_policy>(sample.balancing);
            // The configuration check refuses unknown names; an unknown one here keeps the pool as it is.
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

// Divides the VMs of all pools that follow their demand: each gets its floor, the rest goes in proportion to the
// expected demand, because the wait in a peak depends on the ratio of demand to size. If the buffer weighs more than
// the waiting, no pool gets more than its demand needs, and what remains goes to the pools without demand: the reserve.
void pool_balancer::divide(std::span<const pool_sample> samples, timestamp now)
{
    double rest = 0;
    double demand = 0;
    int reserves = 0;
    for (const pool_sample &sample : samples) {
        const std::optional<double> &expected = m_pools.find(sample.pool)->second.estimate.expectedDemand;
        if (expected) {
            rest += sizeOf(sample) - floorOf(sample);
            demand += *expected;
            reserves += *expected > 0 ? 0 : 1;
        }
    }
    rest = std::max(0.0, rest);
    double left = rest;
    for (const pool_sample &sample : samples) {
        pool_progress &pool = m_pools.find(sample.pool)->second;
        if (pool.estimate.expectedDemand && demand > 0) {
            const double above = shareAboveFloor(sample, *pool.estimate.expectedDemand, rest / demand);
            pool.excess = sizeOf(sample) - floorOf(sample) - above;
            left -= above;
        } else {
            pool.excess = 0;
        }
    }
    for (const pool_sample &sample : samples) {
        pool_progress &pool = m_pools.find(sample.pool)->second;
        if (pool.estimate.expectedDemand && *pool.estimate.expectedDemand <= 0 && demand > 0) {
            pool.excess -= left / reserves;
        }
        const double deadBandVms = std::max(1.0, pool.estimate.deadBandVms);
        track(pool.lackingSince, pool.excess <= -deadBandVms, now);
        track(pool.spareSince, pool.excess >= deadBandVms, now);
    }
}

double pool_balancer::shareAboveFloor(const pool_sample &sample, double expected, double vmsPerSlot) const
{
    const double share = expected * vmsPerSlot;
    if (m_weights.buffer <= m_weights.waiting) {
        return share;
    }
    const double enough = expected / (sample.slotsPerVm * targetUtilization(m_weights)) + sample.largestDomain - floorOf(sample);
    return std::min(share, std::max(0.0, enough));
}

} // namespace daisypass
