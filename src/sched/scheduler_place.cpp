// Placement: selects an executor for each waiting task.
//
// Bursts of a queue can demand several times the capacity of its pool, so the order of the jobs matters. Within a priority, long-running
// steps come first, then jobs that can still meet their objective: those that have started, then the others, each group by remaining
// work, so that many small jobs don't wait behind a large one. Jobs that can no longer meet their objective follow, in the same order. An
// oversized job counts as one of these that hasn't started: others that are late, after a takeover for example, would wait for all its tasks.

#include "sched/placement_pass.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace daisypass::sched {
namespace {

// A job is oversized while its waiting tasks would keep a pool of all the fleet's VMs busy for longer than this.
constexpr double oversizedMs = 10'000;
constexpr double thousandthsPerCore = 1'000;

// Whether this work, in core-milliseconds, is oversized, if the fleet's VMs are like the pool's first executor.
bool isOversized(double work, std::size_t fleetVms, std::span<executor_record *const> poolExecutors)
{
    if (poolExecutors.empty()) {
        return false;
    }
    const double coresPerVm = static_cast<double>(poolExecutors.front()->entry.capacity.cpu) / thousandthsPerCore;
    return work > oversizedMs * coresPerVm * static_cast<double>(std::max(fleetVms, poolExecutors.size()));
}

// A task that has waited this long for its next run is logged.
constexpr time_ms longWaitMs = 2'000;

} // namespace

// The pool's executors that take new runs. They are collected when the first job of the pool needs them.
const placement_candidates &scheduler::placement_pass::candidatesOf(const std::string &pool)
{
    const bool collected = candidatesByPool.contains(pool);
    placement_candidates &candidates = candidatesByPool[pool];
    const auto listed = owner.m_poolExecutors.find(pool);
    if (collected || listed == owner.m_poolExecutors.end()) {
        return candidates;
    }
    owner.m_counts.executorsConsidered += static_cast<std::int64_t>(listed->second.size());
    for (executor_record *executor : listed->second) {
        const bool usable = executor->mayRunSuspect(now) && executor->freeCapacity().memoryMb > 0
            && !owner.m_fleetOrders.mayEndExecutor(executor->entry.vm, executor->entry.pool, now);
        if (usable) {
            candidates.add(*executor);
        }
    }
    candidates.sort();
    return candidates;
}

// Removes jobs without a ready task from the backlog; they are added again when a task becomes ready.
void scheduler::placement_pass::collectReady()
{
    owner.m_counts.jobsConsidered += static_cast<std::int64_t>(owner.m_backlog.size());
    std::erase_if(owner.m_backlog, [this](job_record *job) {
        const bool ready = !job->ended() && collectReady(*job);
        job->inBacklog = ready;
        return !ready;
    });
}

bool scheduler::placement_pass::collectReady(job_record &job)
{
    const std::string &pool = owner.poolOf(job);
    if (candidatesOf(pool).empty()) {
        // The pool has no usable executor, and the job stays in the backlog.
        return true;
    }
    return collectReady(job, pool);
}

bool scheduler::placement_pass::collectReady(job_record &job, const std::string &pool)
{
    const queue_objective *objective = owner.objectiveOf(job);
    bool any = false;
    bool measured = false;
    ready_step entry;
    entry.job = &job;
    for (std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            if (occurrence.second.steps[step].waiting == 0 || !job.isStepReady(occurrence.second, static_cast<int>(step))) {
                continue;
            }
            any = true;
            if (isHeldForTrial(job, occurrence.second, static_cast<int>(step))) {
                continue;
            }
            if (!measured) {
                measured = true;
                entry.priority = objective == nullptr ? std::numeric_limits<int>::max() : objective->priority;
                entry.work = job.waitingWork();
                const bool oversized = isOversized(entry.work, owner.m_vms.size(), owner.m_poolExecutors[pool]);
                entry.late = oversized || isLate(job, objective);
                entry.notStarted = oversized || job.phase == job_phase::Pending;
                entry.overRate = owner.m_tenants.isInUse() && job.overRate;
            }
            entry.occurrence = &occurrence.second;
            entry.step = static_cast<int>(step);
            entry.longRunning = job.spec.steps[step].longRunning;
            readyByPool[pool].push_back(entry);
        }
    }
    return any;
}

bool scheduler::placement_pass::isLate(job_record &job, const queue_objective *objective) const
{
    if (objective == nullptr) {
        return false;
    }
    const double latestMs = objective->stretch * static_cast<double>(job.criticalPathMs) + static_cast<double>(objective->targetDurationMs);
    return static_cast<double>(now - job.acceptedAt) + static_cast<double>(job.remainingCriticalPathMs()) > latestMs;
}

void scheduler::placement_pass::placeAll()
{
    placeSuspects();
    releaseUnneeded();
    for (std::pair<const std::string, std::vector<ready_step>> &item : readyByPool) {
        std::sort(item.second.begin(), item.second.end());
        std::vector<resources> refused;
        placement_candidates &candidates = candidatesByPool[item.first];
        if (owner.m_tenants.isInUse()) {
            placeByShares(item.first, item.second, candidates, refused);
        } else {
            placeInOrder(item.second, candidates, refused);
        }
    }
}

void scheduler::placement_pass::placeInOrder(std::span<ready_step> steps, placement_candidates &candidates, std::vector<resources> &refused)
{
    for (ready_step &ready : steps) {
        placeStep(ready, candidates, refused);
    }
}

void scheduler::placement_pass::placeStep(ready_step &ready, placement_candidates &candidates, std::vector<resources> &refused)
{
    if (!owner.mayQueuePlacements(*ready.job)) {
        owner.m_placementsHeldBack = true;
        return;
    }
    const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
    if (isHeldByCap(ready, stepSpec)) {
        return;
    }
    const resources demand = stepSpec.countedDemand();
    const bool cannotFit = std::any_of(refused.begin(), refused.end(), [&](const resources &other) {
        return other.fitsIn(demand);
    });
    if (cannotFit) {
        ready.occurrence->steps[static_cast<std::size_t>(ready.step)].leaveOutFrom(0);
        return;
    }
    if (requiresAdvice(*ready.job)) {
        placement_candidates withTicket = candidatesWithTicket(ready, candidates);
        placeAmong(ready, stepSpec, withTicket, refused, true);
        return;
    }
    placeAmong(ready, stepSpec, candidates, refused, false);
}

// Whether the cap of the job's tenant forbids the step's next task, or all tasks of a gang. A task that waits for the cap is left out
// before executors are compared or advice is asked for, and doesn't count as short of room.
// `first` is the step's first task that the cap may hold.
bool scheduler::placement_pass::isHeldByCap(const ready_step &ready, const step_spec &stepSpec, std::size_t first)
{
    if (!owner.m_tenants.isInUse()) {
        return false;
    }
    const std::size_t tenant = ready.job->tenant;
    const resources demand = times(stepSpec.demand, stepSpec.gang ? stepSpec.taskCount : 1);
    if (owner.m_tenants.mayAdd(tenant, demand)) {
        return false;
    }
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    if (!owner.m_tenants.mayEverAdd(tenant, demand) && !record.aboveCapLogged) {
        record.aboveCapLogged = true;
        owner.logEvent("task_above_cap", {{"request", ready.job->spec.id}, {"step", std::to_string(ready.step)}, {"tenant", owner.m_tenants.nameOf(tenant)}});
    }
    record.leaveOutFrom(first, wait_cause::TenantCap);
    owner.holdByCap(*ready.job, now);
    // A step that waits for its tenant's share is visited again at the end of the round.
    if (heldByCap.insert(&record).second) {
        owner.m_tenantGauges.tasksWaitingForCap += record.waiting;
    }
    return true;
}

void scheduler::placement_pass::placeAmong(
    ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, std::vector<resources> &refused, bool requiresAdvice)
{
    const resources demand = stepSpec.countedDemand();
    if (stepSpec.gang) {
        placeGang(ready, stepSpec, candidates);
        return;
    }
    const bool constrained = requiresAdvice || stepSpec.maxTasksPerExecutor > 0 || !stepSpec.requiredLabel.empty();
    std::map<std::string, int> here = tasksByExecutor(ready, stepSpec);
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    for (std::size_t index = record.tasks.firstUnfinished(); index < record.tasks.size() && record.waiting > 0; ++index) {
        const task_record &task = record.tasks[index];
        if (task.phase != task_phase::Waiting || task.notBefore > now) {
            continue;
        }
        if (!owner.mayRetry(*ready.job, task)) {
            record.tasks.record(index).waitCause = wait_cause::AttemptsUnknown;
            continue;
        }
        if (task.isSuspect()) {
            continue;
        }
        const auto kept = owner.m_executors.find(task.probationExecutor);
        if (kept != owner.m_executors.end()) {
            // The step needs no trial any more.
            owner.endProbation(kept->second, {ready.job->spec.id, ready.occurrence->number, ready.step, static_cast<int>(index)});
        }
        if (isHeldByCap(ready, stepSpec, index)) {
            return;
        }
        if (isAtShareLimit(*ready.job)) {
            return;
        }
        executor_record *chosen = choose(stepSpec, task, candidates, here);
        if (chosen == nullptr) {
            owner.m_capacityShort = true;
            owner.m_poolsShortOfRoom.insert(owner.poolOf(*ready.job));
            if (!constrained) {
                refused.push_back(demand);
            }
            record.tasks.record(index).waitCause = wait_cause::NoExecutor;
            record.leaveOutFrom(index + 1);
            return;
        }
        assign(ready, stepSpec, static_cast<int>(index), task.run + 1, *chosen);
        candidates.refresh(*chosen);
        ++here[chosen->entry.id];
    }
    record.leaveOutFrom(record.tasks.size());
}

void scheduler::placement_pass::assign(ready_step &ready, const step_spec &stepSpec, int index, int run, executor_record &executor)
{
    job_record &job = *ready.job;
    const task_id id{job.spec.id, ready.occurrence->number, ready.step, index};
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    task_record &task = record.tasks.record(static_cast<std::size_t>(index));
    task.phase = task_phase::Placing;
    task.run = run;
    task.executor = executor.entry.id;
    task.batch = 0;
    if (task.waitLogged) {
        owner.logEvent("restart_delayed",
                       {{"task", id.text()},
                        {"run", std::to_string(run)},
                        {"executor", task.executor},
                        {"waited_ms", std::to_string(now - task.waitingSince)},
                        {"cause", std::string(nameOf(record.waitCauseOf(static_cast<std::size_t>(index))))}});
    }
    task.waitCause = wait_cause::None;
    task.waitLogged = false;
    --record.waiting;
    owner.occupy(id, stepSpec, executor);
    candidatesByPool[executor.entry.pool].refresh(executor);
    if (job.phase == job_phase::Pending) {
        job.phase = job_phase::Running;
        owner.logEvent("job_started",
                       {{"request", job.spec.id},
                        {"pool", executor.entry.pool},
                        {"waited_ms", std::to_string(now - job.acceptedAt)},
                        {"accepted_ms_ago", std::to_string(owner.m_unixMs - job.spec.acceptedUnixMs)},
                        {"executor", executor.entry.id},
                        {"executor_heard_ms_ago", std::to_string(now - executor.clockAt)}});
    }
    ++owner.m_counts.placed;
    owner.markDirty(job, row_wait::StartOrEnd);
}

void scheduler::place(time_ms now)
{
    if (m_backlog.empty()) {
        return;
    }
    m_capacityShort = false;
    ++m_counts.placementPasses;
    indexExecutors();
    const bool adviceWaited = std::exchange(m_adviceWaits, false);
    placement_pass pass{*this, now};
    m_tenantGauges.topUseOverShare = 0;
    m_tenantGauges.tasksWaitingForCap = 0;
    if (m_tenants.isInUse()) {
        countUncertainRuns();
        rateNewJobs();
    }
    pass.adviceWaited = adviceWaited;
    pass.scarcePools = std::exchange(m_poolsShortOfRoom, {});
    pass.collectReady();
    pass.collectSuspects();
    pass.placeAll();
}

void scheduler::logLongWaits(time_ms now)
{
    for (job_record *job : m_backlog) {
        job->forEachPlacedIn(task_phase::Waiting, [&](const task_id &id, task_record &task) {
            if (task.waitLogged || task.waitingSince == 0 || now - task.waitingSince < longWaitMs) {
                return;
            }
            task.waitLogged = true;
            const step_record &step = job->occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
            logEvent("restart_waits",
                     {{"task", id.text()},
                      {"runs", std::to_string(task.run)},
                      {"long_running", job->spec.steps[static_cast<std::size_t>(id.step)].longRunning ? "1" : "0"},
                      {"suspect_runs", std::to_string(task.suspectRuns.size())},
                      {"crash_runs", std::to_string(task.crashRuns.size())},
                      {"kept", task.probationExecutor},
                      {"cause", std::string(nameOf(step.waitCauseOf(static_cast<std::size_t>(id.index))))}});
        });
    }
}

} // namespace daisypass::sched
