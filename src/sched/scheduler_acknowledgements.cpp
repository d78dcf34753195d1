// Acknowledges the ends of runs: once the rows that they change are stored, and no start order without an answer can begin another run of a
// done task.
//
// An executor that restarts under its id forgets the stops and fencing tokens of its former incarnation, and carries out a start order that
// comes late. No order of the scheduler can be sure to come before it. So the done run's end is deferred until the start can't come any more;
// if it does come, that end is never acknowledged. The job's callers don't wait for the acknowledgement.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// Ends on at most this share of the executors are deferred, and on one executor at least. Executors repeat all ends from the first one that
// isn't acknowledged, which delays the acknowledgement of the others.
constexpr double maxDeferringShare = 0.05;
// An executor repeats at most 500 ends, so later ones would go unseen behind deferred ones.
constexpr std::int64_t maxEndsBehindDeferred = 300;

} // namespace

void scheduler::acknowledgeStored()
{
    for (auto executor = m_executorsToAcknowledge.begin(); executor != m_executorsToAcknowledge.end();) {
        const auto foundExecutor = m_executors.find(*executor);
        if (foundExecutor == m_executors.end()) {
            executor = m_executorsToAcknowledge.erase(executor);
            continue;
        }
        std::set<std::string> &unstored = foundExecutor->second.unstoredJobs;
        for (auto id = unstored.begin(); id != unstored.end();) {
            const auto found = m_jobs.find(*id);
            const bool stored = found == m_jobs.end() || (!found->second->dirty && found->second->batch <= m_lastCommittedBatch);
            id = stored ? unstored.erase(id) : std::next(id);
        }
        if (unstored.empty()) {
            m_pollDue.insert(*executor);
            executor = m_executorsToAcknowledge.erase(executor);
        } else {
            ++executor;
        }
    }
}

void scheduler::addUnansweredStart(executor_record &executor, const run_id &run, time_ms now)
{
    executor.unansweredStarts.push_back({run.first, run.second, now});
    m_lateStarts.add(run, executor.entry.id, now);
}

void scheduler::restoreLateStarts(std::string_view row, time_ms now)
{
    for (const late_start &start : readLateStarts(row)) {
        addUnansweredStart(executorFor(start.executor, now), start.run, now + start.remainingMs - maxOrderDelayMs);
    }
}

std::string scheduler::writeLateStarts(time_ms now)
{
    m_lateStartsDirty = false;
    std::set<task_id> tasks;
    for (const std::string &id : m_deferringExecutors) {
        const auto executor = m_executors.find(id);
        if (executor != m_executors.end()) {
            executor->second.deferredEnds.addTasksTo(tasks);
        }
    }
    return m_lateStarts.writeRow(tasks, now);
}

bool scheduler::mayDeferOn(const executor_record &executor) const
{
    const double most = std::max(1.0, maxDeferringShare * static_cast<double>(m_executors.size()));
    return !executor.deferredEnds.empty() || static_cast<double>(m_deferringExecutors.size()) < most;
}

void scheduler::deferIfStartMayCome(executor_record &executor, const listed_end &end, const step_spec &step, time_ms now)
{
    const std::optional<time_ms> until = m_lateStarts.mayComeUntil(end.task, end.run);
    if (end.how != run_end::Done || step.longRunning || step.speculative || !until) {
        return;
    }
    if (!mayDeferOn(executor)) {
        ++m_counts.endsNotDeferred;
        return;
    }
    ++m_counts.deferredEnds;
    logEvent("acknowledgement_deferred",
             {{"task", end.task.text()},
              {"run", std::to_string(end.run)},
              {"executor", executor.entry.id},
              {"end", std::to_string(end.number)},
              {"for_ms", std::to_string(*until - now)}});
    executor.deferredEnds.defer(end.number, {end.task, end.run}, *until);
    m_deferringExecutors.insert(executor.entry.id);
    m_lateStartsDirty = true;
}

void scheduler::applyLateStart(const run_id &run)
{
    if (!m_lateStarts.carriedOut(run)) {
        return;
    }
    for (const std::string &id : m_deferringExecutors) {
        const auto executor = m_executors.find(id);
        if (executor != m_executors.end()) {
            executor->second.deferredEnds.begun(run);
        }
    }
}

void scheduler::settleDeferredEnds(time_ms now)
{
    m_lateStarts.expire(now);
    const std::size_t settled = std::erase_if(m_deferringExecutors, [&](const std::string &id) {
        const auto found = m_executors.find(id);
        if (found == m_executors.end()) {
            return true;
        }
        executor_record &executor = found->second;
        executor.deferredEnds.expire(now);
        const std::int64_t behind = executor.processedEnds - executor.deferredEnds.acknowledgeable(executor.processedEnds);
        const bool leasesEnded = executor.runs.empty() && executor.lastLeaseGrantAt + longestLeaseMs() < now;
        if (behind > maxEndsBehindDeferred || (executor.deferredEnds.awaitsLeaseEnd() && leasesEnded)) {
            logEvent("deferred_ends_acknowledged", {{"executor", id}, {"reason", leasesEnded ? "leases_ended" : "too_many_ends"}});
            executor.deferredEnds.clear();
        }
        return executor.deferredEnds.empty();
    });
    m_lateStartsDirty = m_lateStartsDirty || settled > 0;
}

} // namespace daisypass::sched
