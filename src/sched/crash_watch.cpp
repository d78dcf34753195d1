#include "sched/crash_watch.h"

#include <algorithm>
#include <iterator>

namespace daisypass::sched {
namespace {

// Crashes of so many jobs of a queue within this time are no coincidence.
constexpr std::ptrdiff_t crashingJobsExpected = 3;
constexpr time_ms crashMemoryMs = 10'000;

} // namespace

void crash_watch::crashed(const queue_key &queue, const std::string &job, time_ms now)
{
    m_crashes[queue][job] = now;
}

void crash_watch::retract(const queue_key &queue, const std::string &job)
{
    const auto crashes = m_crashes.find(queue);
    if (crashes != m_crashes.end()) {
        crashes->second.erase(job);
    }
}

bool crash_watch::expectsCrashes(const queue_key &queue, time_ms now) const
{
    const auto crashes = m_crashes.find(queue);
    if (crashes == m_crashes.end()) {
        return false;
    }
    const std::ptrdiff_t recent = std::count_if(crashes->second.begin(), crashes->second.end(), [now](const std::pair<const std::string, time_ms> &job) {
        return now - job.second < crashMemoryMs;
    });
    return recent >= crashingJobsExpected;
}

void crash_watch::forgetOld(time_ms now)
{
    for (auto queue = m_crashes.begin(); queue != m_crashes.end();) {
        std::erase_if(queue->second, [now](const std::pair<const std::string, time_ms> &job) {
            return now - job.second >= crashMemoryMs;
        });
        queue = queue->second.empty() ? m_crashes.erase(queue) : std::next(queue);
    }
}

} // namespace daisypass::sched
