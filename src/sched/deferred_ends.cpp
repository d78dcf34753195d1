#include "sched/deferred_ends.h"

#include <algorithm>
#include <utility>

namespace daisypass::sched {

void deferred_ends::defer(std::int64_t number, const run_id &run, time_ms until)
{
    m_ends[number] = {run, until, false};
}

void deferred_ends::begun(const run_id &run)
{
    for (std::pair<const std::int64_t, deferred_end> &end : m_ends) {
        const bool another = end.second.run.first == run.first && end.second.run.second != run.second;
        end.second.awaitsLeaseEnd = end.second.awaitsLeaseEnd || another;
    }
}

void deferred_ends::expire(time_ms now)
{
    std::erase_if(m_ends, [now](const std::pair<const std::int64_t, deferred_end> &end) {
        return !end.second.awaitsLeaseEnd && end.second.until < now;
    });
}

bool deferred_ends::awaitsLeaseEnd() const
{
    return std::any_of(m_ends.begin(), m_ends.end(), [](const std::pair<const std::int64_t, deferred_end> &end) {
        return end.second.awaitsLeaseEnd;
    });
}

void deferred_ends::addTasksTo(std::set<task_id> &tasks) const
{
    for (const std::pair<const std::int64_t, deferred_end> &end : m_ends) {
        tasks.insert(end.second.run.first);
    }
}

std::int64_t deferred_ends::acknowledgeable(std::int64_t processed) const
{
    return m_ends.empty() ? processed : std::min(processed, m_ends.begin()->first - 1);
}

} // namespace daisypass::sched
