#include "sched/job_rate.h"

#include <algorithm>

namespace daisypass::sched {

bool job_rate::take(double jobsPerSecond, std::int64_t acceptedUnixMs)
{
    const double most = std::max(1.0, jobsPerSecond * jobBurstSeconds);
    if (!m_started) {
        m_started = true;
        m_tokens = most;
        m_latestUnixMs = acceptedUnixMs;
    }
    const double elapsedSeconds = static_cast<double>(std::max<std::int64_t>(0, acceptedUnixMs - m_latestUnixMs)) / 1'000;
    m_latestUnixMs = std::max(m_latestUnixMs, acceptedUnixMs);
    m_tokens = std::min(most, m_tokens + elapsedSeconds * jobsPerSecond);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace daisypass::sched
