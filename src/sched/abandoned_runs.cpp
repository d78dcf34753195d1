#include "sched/abandoned_runs.h"

namespace daisypass::sched {

void abandoned_runs::add(const run_id &run, const resources &demand, time_ms startSentAt)
{
    const bool added = m_runs.try_emplace(run, state{demand, startSentAt}).second;
    if (added) {
        m_demand += demand;
    }
}

void abandoned_runs::stopSent(const run_id &run, time_ms now)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end()) {
        found->second.stopSentAt = now;
        found->second.stopUnanswered = false;
    }
}

void abandoned_runs::stopUnanswered(const run_id &run)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end()) {
        found->second.stopUnanswered = true;
    }
}

std::vector<run_id> abandoned_runs::takeDueStops(time_ms now)
{
    std::vector<run_id> due;
    for (std::pair<const run_id, state> &run : m_runs) {
        const time_ms retryMs = run.second.stopUnanswered ? unansweredStopRetryMs : stopRetryMs;
        const bool sentRecently = run.second.stopSentAt != 0 && now - run.second.stopSentAt < retryMs;
        if (run.second.confirmedAt == 0 && !sentRecently) {
            run.second.stopSentAt = now;
            run.second.stopUnanswered = false;
            due.push_back(run.first);
        }
    }
    return due;
}

std::vector<run_id> abandoned_runs::runs() const
{
    std::vector<run_id> all;
    all.reserve(m_runs.size());
    for (const std::pair<const run_id, state> &run : m_runs) {
        all.push_back(run.first);
    }
    return all;
}

void abandoned_runs::stopConfirmed(const run_id &run, time_ms now)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end() && found->second.confirmedAt == 0) {
        found->second.confirmedAt = now;
    }
}

void abandoned_runs::ended(const run_id &run)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end()) {
        m_demand -= found->second.demand;
        m_runs.erase(found);
    }
}

void abandoned_runs::applyList(const std::set<run_id> &listed, time_ms askedAt)
{
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const bool stopped = run->second.confirmedAt != 0 && askedAt > run->second.confirmedAt;
        const bool cannotStart = askedAt > run->second.startSentAt + maxOrderDelayMs;
        if (!listed.contains(run->first) && (stopped || cannotStart)) {
            m_demand -= run->second.demand;
            run = m_runs.erase(run);
        } else {
            ++run;
        }
    }
}

void abandoned_runs::executorRestarted()
{
    for (std::pair<const run_id, state> &run : m_runs) {
        run.second.stopSentAt = 0;
        run.second.confirmedAt = 0;
    }
}

} // namespace daisypass::sched
