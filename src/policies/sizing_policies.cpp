#include "base/saturating_cast.h"
#include "kernel/policy_registry.h"
#include "kernel/pool_balancer.h"

#include <algorithm>
#include <cmath>

namespace daisypass {
namespace {

// Time constants of the two demand averages. A peak of some seconds changes the shorter one by only a few percent.
constexpr double levelSeconds = 600;
constexpr double slowLevelSeconds = 1'800;
// A pool's size must differ from its share for this long before a VM is moved.
constexpr duration holdTime = std::chrono::seconds(300);
// Forecast horizon: long enough for a drain with long work and a reboot.
constexpr double forecastSeconds = 2'700;
// Weight of the latest week in the learned weekly profile.
constexpr double weekWeight = 0.5;
// An estimate proposes no change until it has observed demand for this long.
constexpr double warmUpSeconds = 600;
constexpr double bucketSeconds = 1'800;
constexpr double weekSeconds = 7 * 86'400;

double seconds(duration time)
{
    return static_cast<double>(time.count()) / 1e6;
}

int bucketOf(timestamp now, int bucketCount)
{
    const double inWeek = std::fmod(seconds(now), weekSeconds);
    return std::min(bucketCount - 1, saturatingCast<int>(inWeek / bucketSeconds));
}

// Dead band in VMs; it widens with the weight of moves relative to the weights of waiting and buffer.
double deadBand(const measure_weights &weights)
{
    const double others = std::max(1e-9, (weights.buffer + weights.waiting) / 2);
    return std::clamp(weights.moves / others, 1.0, 3.0);
}

[[maybe_unused]] const bool fixedRegistered = registerPolicy<sizing_policy>("none", fixed_sizing{});
[[maybe_unused]] const bool followRegistered = registerPolicy<sizing_policy>("follow-demand", follow_demand_sizing{});
[[maybe_unused]] const bool hysteresisRegistered = registerPolicy<sizing_policy>("hysteresis", hysteresis_sizing{});

} // namespace

double targetUtilization(const measure_weights &weights)
{
    // With equal weights, sustained work fills about two thirds of the slots. A square root balances the two costs, because
    // waiting is roughly inversely proportional to the slack, while the buffer grows linearly with it.
    constexpr double equalWeightsShare = 0.65;
    const double totalWeight = std::max(1e-9, weights.buffer + weights.waiting);
    return std::clamp(equalWeightsShare * std::sqrt(2 * weights.buffer / totalWeight), 0.4, equalWeightsShare);
}

size_estimate fixed_sizing::update(const pool_sample &, const measure_weights &, timestamp)
{
    return {};
}

size_estimate follow_demand_sizing::update(const pool_sample &sample, const measure_weights &, timestamp)
{
    return {.expectedDemand = sample.offeredLoad};
}

double hysteresis_sizing::forecast(timestamp now) const
{
    // A mean over T seconds lags behind a steady rise by T seconds, so the difference of two means gives the rise per second.
    // Only a rise is extrapolated: releasing VMs early would save little and cost two moves if the forecast was wrong.
    const double rise = std::max(0.0, (m_shortMean - m_longMean) / (slowLevelSeconds - levelSeconds));
    // A short peak looks like a steep rise for some minutes, so the extrapolation is limited to half of the level.
    double highest = m_shortMean + std::min(rise * (levelSeconds + forecastSeconds), m_shortMean / 2);
    for (double ahead = 0; ahead <= forecastSeconds; ahead += bucketSeconds / 2) {
        const week_bucket &bucket = m_weeklyProfile[bucketOf(now + duration(saturatingCast<std::int64_t>(ahead * 1e6)), bucketsPerWeek)];
        highest = bucket.known ? std::max(highest, bucket.mean) : highest;
    }
    return highest;
}

void hysteresis_sizing::recordDemand(double offered, duration elapsed, timestamp now)
{
    const double step = seconds(elapsed);
    m_shortMean += (offered - m_shortMean) * (1 - std::exp(-step / levelSeconds));
    m_longMean += (offered - m_longMean) * (1 - std::exp(-step / slowLevelSeconds));
    const int bucket = bucketOf(now, bucketsPerWeek);
    if (bucket != m_bucket) {
        // A bucket that was observed only in part would bias the profile.
        if (m_bucket >= 0 && m_bucketSeconds > bucketSeconds / 2) {
            week_bucket &ended = m_weeklyProfile[m_bucket];
            const double mean = m_bucketSum / m_bucketSeconds;
            ended.mean = ended.known ? ended.mean + (mean - ended.mean) * weekWeight : mean;
            ended.known = true;
        }
        m_bucket = bucket;
        m_bucketSum = 0;
        m_bucketSeconds = 0;
    }
    m_bucketSum += offered * step;
    m_bucketSeconds += step;
}

size_estimate hysteresis_sizing::update(const pool_sample &sample, const measure_weights &weights, timestamp now)
{
    if (!m_lastUpdate) {
        m_firstUpdate = now;
        m_shortMean = sample.offeredLoad;
        m_longMean = sample.offeredLoad;
    } else {
        recordDemand(sample.offeredLoad, now - *m_lastUpdate, now);
    }
    m_lastUpdate = now;
    if (seconds(now - *m_firstUpdate) < warmUpSeconds) {
        return {};
    }
    return {.expectedDemand = forecast(now), .deadBandVms = deadBand(weights), .stabilizationTime = holdTime};
}

} // namespace daisypass
