#include "sched/arrival_rate.h"

#include "base/saturating_cast.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// Number of jobs in the window. Ten jobs give the rate with an error of about a third, and in a burst of demand they arrive within
// a few tenths of a second.
constexpr std::size_t windowJobs = 10;
// Older jobs don't reflect the present rate.
constexpr time_ms maxWindowMs = 3'000;
// Jobs that arrive at the same time, as after an outage, count as if they had arrived over this time.
constexpr time_ms minWindowMs = 300;

} // namespace

resource_time workOf(const job_spec &job)
{
    resource_time work;
    for (const step_spec &step : job.steps) {
        if (step.longRunning) {
            continue;
        }
        const double taskMs = static_cast<double>(step.taskCount) * static_cast<double>(step.estimateMs);
        const resources demand = step.countedDemand();
        work.cpu += taskMs * static_cast<double>(demand.cpu);
        work.memoryMb += taskMs * static_cast<double>(demand.memoryMb);
    }
    return work;
}

void arrival_rate::add(const resource_time &work, time_ms now)
{
    m_latest.push_back({now, work});
    if (m_latest.size() > windowJobs) {
        m_latest.pop_front();
    }
}

// The arrival of the oldest job starts the window, and its work isn't counted, so that the estimate is unbiased.
resources arrival_rate::at(time_ms now) const
{
    const auto first = std::find_if(m_latest.begin(), m_latest.end(), [now](const arrival &one) {
        return now - one.at <= maxWindowMs;
    });
    if (first == m_latest.end()) {
        return {};
    }
    resource_time sum;
    for (auto one = std::next(first); one != m_latest.end(); ++one) {
        sum.cpu += one->work.cpu;
        sum.memoryMb += one->work.memoryMb;
    }
    const double window = static_cast<double>(std::max(minWindowMs, now - first->at));
    return {saturatingCast<std::int64_t>(sum.cpu / window), saturatingCast<std::int64_t>(sum.memoryMb / window), 0};
}

} // namespace daisypass::sched
