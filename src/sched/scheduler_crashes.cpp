// Tasks that crash the executors that start them.
//
// When an executor has crashed, each run whose start it isn't known to have survived is a suspect. A suspect is started again on an executor
// that has survived all of its starts and that gets no other run before it has survived this one. If that executor crashes too, the suspect is
// the only one, and an unrelated crash is unlikely to fall into this short time. A second crash of that kind ends the job.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A task is given up when this many executors have crashed while it was the only suspect. One could be a coincidence.
constexpr std::size_t crashesUntilGivenUp = 2;

void addRun(std::vector<int> &runs, int run)
{
    if (std::find(runs.begin(), runs.end(), run) == runs.end()) {
        runs.push_back(run);
    }
}

} // namespace

std::vector<run_start> scheduler::startsOn(const executor_record &executor) const
{
    std::vector<run_start> starts;
    for (const task_id &id : executor.runs) {
        const task_record &task = *m_jobs.at(id.job)->find(id);
        // The time of an unconfirmed run is that of its order's last change, not of its start.
        const bool confirmed = task.phase == task_phase::Running || (task.phase == task_phase::Stopping && task.reporterStartedUnixMs != 0);
        if (task.phase != task_phase::Placing) {
            starts.push_back({id, confirmed ? task.confirmedAt : 0});
        }
    }
    return starts;
}

bool scheduler::hasSurvivedItsStarts(const executor_record &executor) const
{
    const std::vector<run_start> starts = startsOn(executor);
    return starts.size() == executor.runs.size() && crashSuspects(starts, executor.clockAt).empty();
}

// An executor that drains or whose VM is reserved for an order has ended as planned. One that was marked dead before was counted then.
std::vector<task_id> scheduler::recordCrash(executor_record &executor, time_ms now)
{
    std::vector<task_id> crashing;
    if (executor.dead || executor.entry.draining || executor.reserved || executor.runs.empty()) {
        return crashing;
    }
    const std::vector<task_id> suspects = crashSuspects(startsOn(executor), executor.clockAt);
    std::string names;
    for (const task_id &suspect : suspects) {
        names += (names.empty() ? "" : " ") + suspect.text();
        job_record &job = *m_jobs.at(suspect.job);
        task_record &task = *job.find(suspect);
        addRun(suspects.size() == 1 ? task.crashRuns : task.suspectRuns, task.run);
        markDirty(job, row_wait::StartOrEnd);
        if (task.crashRuns.size() >= crashesUntilGivenUp) {
            crashing.push_back(suspect);
        }
    }
    logEvent("executor_crashed",
             {{"executor", executor.entry.id},
              {"runs", std::to_string(executor.runs.size())},
              {"suspects", names},
              {"heard_ms_ago", std::to_string(now - executor.clockAt)}});
    return crashing;
}

void scheduler::giveUpCrashing(const std::vector<task_id> &tasks, time_ms now)
{
    for (const task_id &id : tasks) {
        job_record &job = *m_jobs.at(id.job);
        if (job.ended()) {
            continue;
        }
        ++m_counts.failedJobs;
        logEvent("job_failed", {{"request", id.job}, {"task", id.text()}, {"cause", "crashes_executors"}});
        finishJob(job, job_phase::Failed, now);
    }
}

void scheduler::settleProbation(executor_record &executor)
{
    if (!executor.probation) {
        return;
    }
    const task_id id = *executor.probation;
    const auto job = m_jobs.find(id.job);
    task_record *task = job == m_jobs.end() ? nullptr : job->second->find(id);
    const bool waits = task != nullptr && task->phase == task_phase::Waiting && task->probationExecutor == executor.entry.id;
    if (waits && !job->second->ended() && executor.isResponsive()) {
        // The executor may have survived its other starts, for which the suspect waits.
        m_placementPending = true;
        return;
    }
    const bool here = task != nullptr && task->occupies() && task->executor == executor.entry.id;
    if (!here) {
        endProbation(executor);
        return;
    }
    if (task->phase == task_phase::Running && hasSurvived({id, task->confirmedAt}, executor.clockAt)) {
        logEvent("suspect_cleared", {{"task", id.text()}, {"run", std::to_string(task->run)}, {"executor", executor.entry.id}});
        task->suspectRuns.clear();
        task->crashRuns.clear();
        markDirty(*job->second);
        endProbation(executor);
    }
}

void scheduler::endProbation(executor_record &executor)
{
    const auto job = m_jobs.find(executor.probation->job);
    task_record *task = job == m_jobs.end() ? nullptr : job->second->find(*executor.probation);
    if (task != nullptr && task->probationExecutor == executor.entry.id) {
        task->probationExecutor.clear();
    }
    executor.probation.reset();
    m_placementPending = true;
}

} // namespace daisypass::sched
