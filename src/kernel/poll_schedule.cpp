#include "kernel/poll_schedule.h"

#include <algorithm>

namespace daisypass {
namespace {

// Keeps readers that started together from polling together.
constexpr int jitterDivisor = 20;
constexpr int mostDoublings = 30;

// From `least` to `most`, both included.
duration pick(duration least, duration most, std::uint64_t random)
{
    return least + duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>((most - least).count() + 1)));
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
    m_due = startedAt + pick(m_timing.interval - jitter, m_timing.interval + jitter, random);
}

void poll_schedule::failed(timestamp now, std::uint64_t random)
{
    // Full jitter: without it all readers would meet again at the same moments after an outage that they saw begin together.
    const duration bound = std::min(m_timing.maxBackoff, m_timing.minBackoff * (std::int64_t{2} << std::min(m_failures, mostDoublings)));
    ++m_failures;
    m_due = now + pick(m_timing.minBackoff, std::max(bound, m_timing.minBackoff), random);
}

} // namespace daisypass
