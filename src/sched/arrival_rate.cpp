#include "sched/arrival_rate.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// So many jobs give the rate to about a third; at the rates of a turn they come within a few tenths of a second.
constexpr std::size_t jobsCounted = 10;
// Older jobs say nothing of the present rate.
constexpr time_ms longestWindowMs = 3'000;
// Jobs that come together, as after an outage, are spread over this time.
constexpr time_ms shortestWindowMs = 300;

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
    if (m_latest.size() > jobsCounted) {
        m_latest.pop_front();
    }
}

// The oldest job counted begins the window and is not part of its work, so that the estimate has no bias.
resources arrival_rate::at(time_ms now) const
{
    const auto first = std::find_if(m_latest.begin(), m_latest.end(), [now](const arrival &one) {
        return now - one.at <= longestWindowMs;
    });
    if (first == m_latest.end()) {
        return {};
    }
    resource_time sum;
    for (auto one = std::next(first); one != m_latest.end(); ++one) {
        sum.cpu += one->work.cpu;
        sum.memoryMb += one->work.memoryMb;
    }
    const double window = static_cast<double>(std::max(shortestWindowMs, now - first->at));
    return {static_cast<std::int64_t>(sum.cpu / window), static_cast<std::int64_t>(sum.memoryMb / window), 0};
}

} // namespace daisypass::sched
