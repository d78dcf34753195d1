#include "sched/duration_model.h"

#include "base/saturating_cast.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

// The weight of earlier steps at each new one: about the last hundred count.
constexpr double decay = 0.99;
// Fewer steps say too little about a queue.
constexpr double minWeight = 20;
// Mean error of the estimates, as the logarithm of duration over estimate, from which they count as wrong: a factor of 2.1 either way.
constexpr double wrongError = 0.75;
// Variance that is added to that of the estimates, so that few different ones don't give a steep slope.
constexpr double minVariance = 0.01;
// An estimate counts at most as this many standard deviations from the queue's mean.
constexpr double maxDeviations = 3;
// About 30 years, so that times can be added to it.
constexpr double maxExpectedMs = 1e12;
constexpr std::size_t maxQueues = 1'000;

} // namespace

bool duration_model::sums::estimatesAreWrong() const
{
    const double squaredError = (yy - 2 * xy + xx) / std::max(1.0, weight);
    return weight >= minWeight && squaredError >= wrongError * wrongError;
}

void duration_model::add(const queue_key &queue, std::int64_t estimateMs, std::int64_t durationMs)
{
    if (estimateMs <= 0 || durationMs <= 0 || (m_queues.size() >= maxQueues && !m_queues.contains(queue))) {
        return;
    }
    const double x = std::log(static_cast<double>(estimateMs));
    const double y = std::log(static_cast<double>(durationMs));
    sums &known = m_queues[queue];
    known.weight = known.weight * decay + 1;
    known.x = known.x * decay + x;
    known.y = known.y * decay + y;
    known.xx = known.xx * decay + x * x;
    known.xy = known.xy * decay + x * y;
    known.yy = known.yy * decay + y * y;
}

// A regression of the durations on the estimates: the less the estimates say, the nearer is the result to the queue's usual duration.
std::int64_t duration_model::expectedMs(const queue_key &queue, std::int64_t estimateMs) const
{
    const auto found = m_queues.find(queue);
    if (estimateMs <= 0 || found == m_queues.end() || !found->second.estimatesAreWrong()) {
        return estimateMs;
    }
    const sums &known = found->second;
    const double meanX = known.x / known.weight;
    const double meanY = known.y / known.weight;
    const double varianceX = std::max(0.0, known.xx / known.weight - meanX * meanX) + minVariance;
    const double varianceY = std::max(0.0, known.yy / known.weight - meanY * meanY);
    const double covariance = known.xy / known.weight - meanX * meanY;
    const double slope = std::clamp(covariance / varianceX, 0.0, 1.0);
    const double limit = maxDeviations * std::sqrt(varianceX);
    const double deviation = std::clamp(std::log(static_cast<double>(estimateMs)) - meanX, -limit, limit);
    // The mean of durations whose logarithms scatter is above the exponential of their mean.
    const double scatter = std::max(0.0, varianceY - slope * covariance);
    return saturatingCast<std::int64_t>(std::clamp(std::round(std::exp(meanY + slope * deviation + scatter / 2)), 1.0, maxExpectedMs));
}

bool duration_model::corrects(const queue_key &queue) const
{
    const auto found = m_queues.find(queue);
    return found != m_queues.end() && found->second.estimatesAreWrong();
}

std::size_t duration_model::correctedQueues() const
{
    return static_cast<std::size_t>(std::count_if(m_queues.begin(), m_queues.end(), [](const std::pair<const queue_key, sums> &queue) {
        return queue.second.estimatesAreWrong();
    }));
}

} // namespace daisypass::sched
