// Tasks that crash the executors that start them.
//
// When an executor has crashed, each run whose start it isn't known to have survived is a suspect. A suspect is started again on an executor
// that has survived all of its starts and that gets no other run before it has survived this one. If that executor crashes too, the suspect is
// the only one. A second crash of that kind ends the job.
//
// Executors also crash for other reasons, many at a time. A crash that none of the executor's runs can explain shows that, so the crashes
// around it count for nobody alone. A suspect under which some have crashed meanwhile is not started again before that is over; then one
// further crash ends the job.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A task is given up when this many executors have crashed while it was the only suspect. One could be a coincidence.
constexpr std::size_t crashesUntilGivenUp = 2;
// A suspect under which so many executors have crashed, alone or with others, is started only while no executors crash for other reasons.
constexpr std::size_t crashesUntilQuietStart = 3;
// A crash counts against a single task only if this long before it no executor has crashed for another reason.
constexpr time_ms unexplainedCrashMs = 5'000;
// Executors that crash together are noticed within this time of each other.
constexpr time_ms crashesNoticedMs = 1'500;

void addRun(std::vector<int> &runs, int run)
{
    if (std::find(runs.begin(), runs.end(), run) == runs.end()) {
        runs.push_back(run);
    }
}

std::size_t crashesUnder(const task_record &task)
{
    return task.suspectRuns.size() + task.crashRuns.size();
}

bool crashesExecutors(const task_record &task)
{
    const bool crashedInQuiet = !task.crashRuns.empty() && crashesUnder(task) > crashesUntilQuietStart;
    return task.crashRuns.size() >= crashesUntilGivenUp || crashedInQuiet;
}

} // namespace

std::vector<run_start> scheduler::startsOn(const executor_record &executor) const
{
    std::vector<run_start> starts;
    for (const task_id &id : executor.runs) {
        const task_record &task = *m_jobs.at(id.job)->find(id);
        const bool confirmed = task.phase == task_phase::Running || (task.phase == task_phase::Stopping && task.reporterStartedUnixMs != 0);
        if (task.phase != task_phase::Placing) {
            starts.push_back({id, confirmed ? task.confirmedAt : task.startSentAt});
        }
    }
    return starts;
}

bool scheduler::hasSurvivedItsStarts(const executor_record &executor) const
{
    const std::vector<run_start> starts = startsOn(executor);
    return starts.size() == executor.runs.size() && crashSuspects(starts, executor.clockAt).empty();
}

bool scheduler::othersCrash(time_ms now) const
{
    return m_unexplainedCrashAt && now - *m_unexplainedCrashAt < unexplainedCrashMs;
}

// Suspects that are tried together: an executor has crashed under each of them alone, and their queues' tasks crash executors.
bool scheduler::wereAllSole(const std::vector<task_id> &suspects, time_ms now) const
{
    return !suspects.empty() && std::all_of(suspects.begin(), suspects.end(), [this, now](const task_id &id) {
        const task_record *task = taskOf(id);
        return task != nullptr && !task->crashRuns.empty() && m_crashWatch.expectsCrashes(m_jobs.at(id.job)->spec.queue, now);
    });
}

// An executor that drains or whose VM is reserved for an order has ended as planned. One that was marked dead before was counted then.
void scheduler::recordCrash(executor_record &executor, time_ms now)
{
    if (executor.dead || executor.entry.draining || executor.reserved || executor.runs.empty()) {
        return;
    }
    const std::vector<task_id> suspects = crashSuspects(startsOn(executor), executor.clockAt);
    const bool noOtherReason = !othersCrash(now) && (suspects.size() == 1 || wereAllSole(suspects, now));
    std::string names;
    for (const task_id &suspect : suspects) {
        names += (names.empty() ? "" : " ") + suspect.text();
        job_record &job = *m_jobs.at(suspect.job);
        task_record &task = *job.find(suspect);
        // A task that was started together with others can have come too late to run before the crash.
        const bool counts = noOtherReason && (suspects.size() == 1 || task.phase == task_phase::Running);
        addRun(counts ? task.crashRuns : task.suspectRuns, task.run);
        m_suspects.insert(suspect);
        markDirty(job, row_wait::StartOrEnd);
        if (counts) {
            m_recentCrashes.push_back({suspect, task.run, now});
            m_crashWatch.crashed(job.spec.queue, job.spec.id, now);
        }
    }
    logEvent("executor_crashed",
             {{"executor", executor.entry.id},
              {"runs", std::to_string(executor.runs.size())},
              {"suspects", names},
              {"heard_ms_ago", std::to_string(now - executor.clockAt)}});
    if (suspects.empty()) {
        recordUnexplainedCrash(now);
    }
}

void scheduler::recordUnexplainedCrash(time_ms now)
{
    m_unexplainedCrashAt = now;
    for (const counted_crash &crash : m_recentCrashes) {
        const auto job = m_jobs.find(crash.task.job);
        task_record *task = job == m_jobs.end() ? nullptr : job->second->find(crash.task);
        if (task != nullptr && std::erase(task->crashRuns, crash.run) > 0) {
            addRun(task->suspectRuns, crash.run);
            m_crashWatch.retract(job->second->spec.queue, job->first);
            markDirty(*job->second);
        }
    }
    m_recentCrashes.clear();
}

void scheduler::giveUpCrashingTasks(time_ms now)
{
    std::vector<task_id> judged;
    std::erase_if(m_recentCrashes, [&](const counted_crash &crash) {
        const bool settled = now - crash.at >= crashesNoticedMs;
        if (settled) {
            judged.push_back(crash.task);
        }
        return settled;
    });
    for (const task_id &id : judged) {
        const auto found = m_jobs.find(id.job);
        const task_record *task = found == m_jobs.end() || found->second->ended() ? nullptr : found->second->find(id);
        if (task == nullptr || !crashesExecutors(*task)) {
            continue;
        }
        ++m_counts.failedJobs;
        logEvent("job_failed", {{"request", id.job}, {"task", id.text()}, {"cause", "crashes_executors"}});
        finishJob(*found->second, job_phase::Failed, now);
    }
}

// A holder that has taken over hasn't seen the crashes that its predecessor counted, so it waits for crashes that are noticed now as well.
wait_cause scheduler::reasonToHoldBack(const task_id &id, const task_record &task, time_ms now)
{
    if (!crashesExecutors(task)) {
        return othersCrash(now) && crashesUnder(task) >= crashesUntilQuietStart ? wait_cause::OthersCrash : wait_cause::None;
    }
    const bool known = std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&id](const counted_crash &crash) {
        return crash.task == id;
    });
    if (!known) {
        m_recentCrashes.push_back({id, task.crashRuns.back(), now});
    }
    return wait_cause::Judgement;
}

task_record *scheduler::taskOf(const task_id &id) const
{
    const auto job = m_jobs.find(id.job);
    return job == m_jobs.end() ? nullptr : job->second->find(id);
}

void scheduler::settleProbation(executor_record &executor)
{
    const std::set<task_id> suspects = executor.probation;
    for (const task_id &id : suspects) {
        settleProbation(executor, id);
    }
}

void scheduler::settleProbation(executor_record &executor, const task_id &id)
{
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
        endProbation(executor, id);
        return;
    }
    if (task->phase == task_phase::Running && hasSurvived({id, task->confirmedAt}, executor.clockAt)) {
        if (task->isSuspect()) {
            logEvent("suspect_cleared", {{"task", id.text()}, {"run", std::to_string(task->run)}, {"executor", executor.entry.id}});
            task->suspectRuns.clear();
            task->crashRuns.clear();
            markDirty(*job->second);
        }
        job->second->occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].proven = true;
        endProbation(executor, id);
    }
}

void scheduler::endProbation(executor_record &executor, const task_id &id)
{
    task_record *task = taskOf(id);
    if (task != nullptr && task->probationExecutor == executor.entry.id) {
        task->probationExecutor.clear();
    }
    executor.probation.erase(id);
    m_placementPending = true;
}

} // namespace daisypass::sched
