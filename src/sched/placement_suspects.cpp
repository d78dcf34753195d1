// Trials: places the tasks that may crash executors so that each crash says which of them is the cause.

#include "sched/placement_pass.h"

#include <algorithm>
#include <utility>

namespace daisypass::sched {

// While tasks of the queue crash executors, a step starts with one task alone, and the others follow when that has survived its start.
bool scheduler::placement_pass::isHeldForTrial(job_record &job, occurrence_record &occurrence, int number)
{
    const step_record &step = occurrence.steps[static_cast<std::size_t>(number)];
    const step_spec &spec = job.spec.steps[static_cast<std::size_t>(number)];
    if (step.proven || step.done > 0 || spec.gang || !crashesExpected(job.spec.queue)) {
        return false;
    }
    const std::map<std::size_t, task_record> &records = step.tasks.records();
    const bool tried = std::any_of(records.begin(), records.end(), [](const std::pair<const std::size_t, task_record> &task) {
        return task.second.occupies() || task.second.isSuspect();
    });
    std::size_t first = 0;
    while (first < step.tasks.size() && (step.tasks[first].phase != task_phase::Waiting || step.tasks[first].notBefore > now)) {
        ++first;
    }
    if (!tried && first < step.tasks.size()) {
        addSuspect(job, {job.spec.id, occurrence.number, number, static_cast<int>(first)}, suspicion::Untried, job.acceptedAt);
    }
    return true;
}

bool scheduler::placement_pass::crashesExpected(const queue_key &queue)
{
    const auto known = expectsCrashes.find(queue);
    if (known != expectsCrashes.end()) {
        return known->second;
    }
    return expectsCrashes.emplace(queue, owner.m_crashWatch.expectsCrashes(queue, now)).first->second;
}

// The suspects that may be started now. A suspect has held an executor before, so it doesn't wait behind tasks that haven't.
void scheduler::placement_pass::collectSuspects()
{
    for (auto id = owner.m_suspects.begin(); id != owner.m_suspects.end();) {
        const auto job = owner.m_jobs.find(id->job);
        task_record *task = job == owner.m_jobs.end() || job->second->ended() ? nullptr : job->second->find(*id);
        if (task == nullptr || !task->isSuspect()) {
            id = owner.m_suspects.erase(id);
            continue;
        }
        if (task->phase == task_phase::Waiting && task->notBefore <= now && mayBeTried(*job->second, *id)) {
            addSuspect(*job->second, *id, suspicionOf(*task), task->waitingSince);
        }
        ++id;
    }
}

// Suspects that have crashed an executor alone are tried together where crashes are expected: one more crash then judges all of them.
void scheduler::placement_pass::addSuspect(const job_record &job, const task_id &id, suspicion kind, time_ms waitingSince)
{
    const bool longRunning = job.spec.steps[static_cast<std::size_t>(id.step)].longRunning;
    const bool mayShare = kind == suspicion::Sole && !longRunning && crashesExpected(job.spec.queue);
    suspectsByPool[owner.poolOf(job)].push_back({id, kind, longRunning, mayShare, waitingSince});
}

// Members of a gang start together, so they aren't tried one by one.
bool scheduler::placement_pass::mayBeTried(const job_record &job, const task_id &id)
{
    return !job.spec.steps[static_cast<std::size_t>(id.step)].gang && job.isStepReady(job.occurrences.at(id.occurrence), id.step);
}

suspicion scheduler::placement_pass::suspicionOf(const task_record &task)
{
    if (!task.isSuspect()) {
        return suspicion::Untried;
    }
    return task.crashRuns.empty() ? suspicion::Shared : suspicion::Sole;
}

void scheduler::placement_pass::placeSuspects()
{
    for (std::pair<const std::string, std::vector<waiting_suspect>> &item : suspectsByPool) {
        const placement_candidates &candidates = candidatesOf(item.first);
        sortForTrials(item.second);
        trial_quota quota = quotaOf(item.first);
        for (const waiting_suspect &suspect : item.second) {
            placeSuspect(suspect, candidates, quota);
        }
    }
}

// An executor that has fallen silent during a trial counts until it is known what has become of it: most of them have crashed.
trial_quota scheduler::placement_pass::quotaOf(const std::string &pool) const
{
    std::vector<suspicion> kept;
    std::size_t executors = 0;
    const auto listed = owner.m_poolExecutors.find(pool);
    if (listed != owner.m_poolExecutors.end()) {
        for (const executor_record *executor : listed->second) {
            executors += executor->dead ? 0 : 1;
            if (!executor->dead && !executor->probation.empty()) {
                const task_record *task = owner.taskOf(*executor->probation.begin());
                kept.push_back(task == nullptr ? suspicion::Untried : suspicionOf(*task));
            }
        }
    }
    trial_quota quota(executors, scarcePools.contains(pool));
    for (suspicion kind : kept) {
        quota.add(kind);
    }
    return quota;
}

// An executor stays kept only for a suspect that this pass would have started on it but for its other starts, so that it doesn't stand
// idle while the suspect waits for another reason.
void scheduler::placement_pass::releaseUnneeded()
{
    for (std::pair<const std::string, executor_record> &item : owner.m_executors) {
        const std::set<task_id> suspects = item.second.probation;
        for (const task_id &id : suspects) {
            const task_record *task = owner.taskOf(id);
            const bool waits = task != nullptr && task->phase == task_phase::Waiting && task->probationExecutor == item.first;
            if (waits && !waitForKept.contains(id)) {
                owner.endProbation(item.second, id);
            }
        }
    }
}

// Starts the suspect on the executor that is kept for it, once that has survived its other starts. Keeps one if there is none yet.
void scheduler::placement_pass::placeSuspect(const waiting_suspect &suspect, const placement_candidates &candidates, trial_quota &quota)
{
    const task_id &id = suspect.task;
    ready_step ready;
    ready.job = owner.m_jobs.at(id.job).get();
    ready.occurrence = &ready.job->occurrences.at(id.occurrence);
    ready.step = id.step;
    const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(id.step)];
    task_record &task = *ready.job->find(id);
    if (!owner.mayRetry(*ready.job, task)) {
        task.waitCause = wait_cause::AttemptsUnknown;
        return;
    }
    task.waitCause = owner.reasonToHoldBack(id, task, now);
    if (task.waitCause != wait_cause::None) {
        return;
    }
    if (owner.m_tenants.isInUse() && !owner.m_tenants.mayAdd(ready.job->tenant, stepSpec.demand)) {
        task.waitCause = wait_cause::TenantCap;
        owner.holdByCap(*ready.job, now);
        ++owner.m_tenantGauges.tasksWaitingForCap;
        return;
    }
    if (!owner.mayQueuePlacements(*ready.job)) {
        owner.m_placementsHeldBack = true;
        waitForKept.insert(id);
        return;
    }
    if (requiresAdvice(*ready.job)) {
        tryOn(ready, stepSpec, task, suspect, candidatesWithTicket(ready, candidates), quota);
    } else {
        tryOn(ready, stepSpec, task, suspect, candidates, quota);
    }
}

void scheduler::placement_pass::tryOn(
    ready_step &ready, const step_spec &stepSpec, task_record &task, const waiting_suspect &suspect, const placement_candidates &candidates, trial_quota &quota)
{
    std::map<std::string, int> here = tasksByExecutor(ready, stepSpec);
    task.waitCause = wait_cause::NoneToKeep;
    const auto kept = owner.m_executors.find(task.probationExecutor);
    executor_record *executor = kept == owner.m_executors.end() ? keepForSuspect(suspect, task, stepSpec, candidates, here, quota) : &kept->second;
    if (executor == nullptr) {
        return;
    }
    if (!candidates.contains(*executor) || !allowed(stepSpec, stepSpec.countedDemand(), *executor, here)) {
        owner.endProbation(*executor, suspect.task);
        return;
    }
    const bool joins = std::find(startedTogether.begin(), startedTogether.end(), executor) != startedTogether.end();
    if (!joins && !owner.hasSurvivedItsStarts(*executor)) {
        task.waitCause = wait_cause::KeptBusy;
        waitForKept.insert(suspect.task);
        return;
    }
    assign(ready, stepSpec, suspect.task.index, task.run + 1, *executor);
    owner.requestPoll(*executor);
    if (!joins && suspect.mayShare) {
        startedTogether.push_back(executor);
    }
}

executor_record *scheduler::placement_pass::joinTrial(const waiting_suspect &suspect,
                                                      const step_spec &stepSpec,
                                                      const placement_candidates &candidates,
                                                      const std::map<std::string, int> &here)
{
    if (!suspect.mayShare) {
        return nullptr;
    }
    for (executor_record *executor : startedTogether) {
        const bool hasPlace = candidates.contains(*executor) && executor->probation.size() < maxSuspectsPerTrial;
        if (hasPlace && allowed(stepSpec, stepSpec.countedDemand(), *executor, here)) {
            return executor;
        }
    }
    return nullptr;
}

executor_record *scheduler::placement_pass::keepForSuspect(const waiting_suspect &suspect,
                                                           task_record &task,
                                                           const step_spec &stepSpec,
                                                           const placement_candidates &candidates,
                                                           const std::map<std::string, int> &here,
                                                           trial_quota &quota)
{
    executor_record *kept = joinTrial(suspect, stepSpec, candidates, here);
    if (kept == nullptr && quota.has(suspect.kind)) {
        kept = findForTrial(task, stepSpec, candidates, here);
        owner.m_capacityShort = owner.m_capacityShort || kept == nullptr;
        if (kept != nullptr) {
            quota.take(suspect.kind);
        }
    }
    if (kept == nullptr) {
        return nullptr;
    }
    kept->probation.insert(suspect.task);
    task.probationExecutor = kept->entry.id;
    owner.requestPoll(*kept);
    return kept;
}

// Prefers the executor with the fewest long-running tasks, and among those the one with the most free cpu: a crash takes the fewest
// runs along.
executor_record *scheduler::placement_pass::findForTrial(const task_record &task,
                                                         const step_spec &stepSpec,
                                                         const placement_candidates &candidates,
                                                         const std::map<std::string, int> &here)
{
    const resources demand = stepSpec.countedDemand();
    executor_record *best = nullptr;
    std::tuple<int, double, std::int64_t> bestRank;
    for (auto candidate = candidates.firstWith(demand.cpu); candidate != candidates.end(); ++candidate) {
        executor_record &executor = *candidate->executor;
        ++owner.m_counts.executorsConsidered;
        if (!executor.probation.empty() || !allowed(stepSpec, demand, executor, here)) {
            continue;
        }
        const std::tuple<int, double, std::int64_t> rank{executor.longRunningRuns, penaltyOf(stepSpec, task, executor), -candidate->freeCpu};
        if (best == nullptr || rank < bestRank) {
            best = &executor;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace daisypass::sched
