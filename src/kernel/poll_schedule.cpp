#include "kernel/poll_schedule.h"

#include <algorithm>

namespace daisypass {
namespace {

// Jitter keeps readers that started at the same time from polling in step.
constexpr int jitterDivisor = 20;
constexpr int maxDoublings = 30;

// Maps `random` to a duration from `lower` to `upper`, both inclusive.
duration uniformBetween(duration lower, duration upper, std::uint64_t random)
{
    return lower + duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>((upper - lower).count() + 1)));
}

} // namespace

poll_schedule::poll_schedule(poll_timing timing)
    : m_timing(timing)
{
}

void poll_schedule::succeeded(timestamp startedAt, std::uint64_t random)
{
    m_failures = 0;
    const duration jitter = m_timing.interval / jitterDivisor;
    m_due = startedAt + uniformBetween(m_timing.interval - jitter, m_timing.interval + jitter, random);
}

void poll_schedule::failed(timestamp now, std::uint64_t random)
{
    // Full jitter. All readers see an outage begin at the same time and would otherwise retry at the same times after it.
    const duration bound = std::min(m_timing.maxBackoff, m_timing.minBackoff * (std::int64_t{2} << std::min(m_failures, maxDoublings)));
    ++m_failures;
    m_due = now + uniformBetween(m_timing.minBackoff, std::max(bound, m_timing.minBackoff), random);
}

} // namespace daisypass
