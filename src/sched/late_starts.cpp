#include "sched/late_starts.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace daisypass::sched {

void late_starts::add(const run_id &run, time_ms sentAt)
{
    m_until[run] = sentAt + maxOrderDelayMs;
}

bool late_starts::carriedOut(const run_id &run)
{
    return m_until.erase(run) > 0;
}

std::optional<time_ms> late_starts::mayComeUntil(const task_id &task, int exceptRun) const
{
    std::optional<time_ms> latest;
    const auto end = m_until.upper_bound({task, std::numeric_limits<int>::max()});
    for (auto start = m_until.lower_bound({task, 0}); start != end; ++start) {
        if (start->first.second != exceptRun) {
            latest = std::max(latest.value_or(start->second), start->second);
        }
    }
    return latest;
}

void late_starts::expire(time_ms now)
{
    std::erase_if(m_until, [now](const std::pair<const run_id, time_ms> &start) {
        return start.second < now;
    });
}

} // namespace daisypass::sched
