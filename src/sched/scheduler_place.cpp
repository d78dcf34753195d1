// Placement: selects an executor for each waiting task.
//
// Bursts of a queue can demand several times the capacity of its pool, so the order of the jobs matters. Within a priority, long-running
// steps come first, then jobs that can still meet their objective: those that have started, then the others, each group by remaining
// work, so that many small jobs don't wait behind a large one. Jobs that can no longer meet their objective follow.

#include "sched/placement_candidates.h"
#include "sched/scheduler.h"
#include "sched/share_round.h"
#include "sched/suspect_trials.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <span>
#include <utility>

namespace daisypass::sched {
namespace {

// Penalties of a placement; the executor with the lowest sum is chosen.
constexpr double farFromDataWeight = 1e9;
constexpr double maintenanceDueWeight = 1e8;
constexpr double failedHereWeight = 1e10;
constexpr double slowExecutorWeight = 1e7;
// For a known lengthening of a tail latency by a factor of e. Below the other penalties and above any difference in free capacity.
constexpr double interferenceWeight = 1e6;
// Limit of that sum, so that it stays below the other penalties. That of a slow executor is above slowExecutorWeight, as its slowness is above 1.
constexpr double maxInterference = 10.0;
// Minimum remaining validity of a ticket, so that it is still valid when the start order arrives.
constexpr time_ms minTicketValidityMs = 300;
// A task that has waited this long for its next run is logged.
constexpr time_ms longWaitMs = 2'000;

advice_outcome outcomeOf(order_status answer)
{
    switch (answer) {
    case order_status::Ok:
        return advice_outcome::Answered;
    case order_status::Unreachable:
    case order_status::Unknown:
        return advice_outcome::Lost;
    default:
        return advice_outcome::Refused;
    }
}

} // namespace

struct scheduler::ready_step
{
    job_record *job = nullptr;
    occurrence_record *occurrence = nullptr;
    int step = 0;
    // The sort order.
    int priority = 0;
    bool longRunning = false;
    bool overRate = false;
    bool late = false;
    /** No task of the job has started. */
    bool notStarted = true;
    double work = 0;

    bool operator<(const ready_step &other) const
    {
        return std::tie(priority, other.longRunning, overRate, late, notStarted, work, job->acceptedAt, job->spec.id, occurrence->number, step)
            < std::tie(other.priority,
                       longRunning,
                       other.overRate,
                       other.late,
                       other.notStarted,
                       other.work,
                       other.job->acceptedAt,
                       other.job->spec.id,
                       other.occurrence->number,
                       other.step);
    }
};

// One pass over the waiting tasks of all pools.
struct scheduler::placement_pass
{
    scheduler &owner;
    time_ms now;
    std::map<std::string, placement_candidates> candidatesByPool{};
    std::map<std::string, std::vector<ready_step>> readyByPool{};
    std::map<std::string, std::vector<waiting_suspect>> suspectsByPool{};
    /** The pools for whose ready tasks the previous pass found no executor. */
    std::set<std::string> scarcePools{};
    /** In the previous pass, steps had to wait until others had their answers from the advice service. */
    bool adviceWaited = false;
    std::map<queue_key, bool> expectsCrashes{};
    /** The executors on which this pass has placed suspects that others may join. */
    std::vector<executor_record *> startedTogether{};
    /** The suspects for which an executor remains kept that has other starts to survive. */
    std::set<task_id> waitForKept{};
    /** While it is set, only tasks of the tenant whose turn it is are placed, as far as the turn goes. */
    const share_round *shareLimit = nullptr;
    /** The steps that wait for their tenants' caps. */
    std::set<const step_record *> heldByCap{};

    // The pool's executors that take new runs. They are collected when the first job of the pool needs them.
    const placement_candidates &candidatesOf(const std::string &pool)
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
    void collectReady()
    {
        owner.m_counts.jobsConsidered += static_cast<std::int64_t>(owner.m_backlog.size());
        std::erase_if(owner.m_backlog, [this](job_record *job) {
            const bool ready = !job->ended() && collectReady(*job);
            job->inBacklog = ready;
            return !ready;
        });
    }

    bool collectReady(job_record &job)
    {
        const std::string &pool = owner.poolOf(job);
        if (candidatesOf(pool).empty()) {
            // The pool has no usable executor, and the job stays in the backlog.
            return true;
        }
        return collectReady(job, pool);
    }

    bool collectReady(job_record &job, const std::string &pool)
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
                    entry.late = isLate(job, objective);
                    entry.notStarted = job.phase == job_phase::Pending;
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

    // While tasks of the queue crash executors, a step starts with one task alone, and the others follow when that has survived its start.
    bool isHeldForTrial(job_record &job, occurrence_record &occurrence, int number)
    {
        const step_record &step = occurrence.steps[static_cast<std::size_t>(number)];
        const step_spec &spec = job.spec.steps[static_cast<std::size_t>(number)];
        if (step.proven || step.done > 0 || spec.gang || !crashesExpected(job.spec.queue)) {
            return false;
        }
        const bool tried = std::any_of(step.tasks.begin(), step.tasks.end(), [](const task_record &task) {
            return task.occupies() || task.isSuspect();
        });
        const auto first = std::find_if(step.tasks.begin(), step.tasks.end(), [this](const task_record &task) {
            return task.phase == task_phase::Waiting && task.notBefore <= now;
        });
        if (!tried && first != step.tasks.end()) {
            const int index = static_cast<int>(first - step.tasks.begin());
            addSuspect(job, {job.spec.id, occurrence.number, number, index}, suspicion::Untried, job.acceptedAt);
        }
        return true;
    }

    bool crashesExpected(const queue_key &queue)
    {
        const auto known = expectsCrashes.find(queue);
        if (known != expectsCrashes.end()) {
            return known->second;
        }
        return expectsCrashes.emplace(queue, owner.m_crashWatch.expectsCrashes(queue, now)).first->second;
    }

    bool isLate(job_record &job, const queue_objective *objective) const
    {
        if (objective == nullptr) {
            return false;
        }
        const double latestMs = objective->stretch * static_cast<double>(job.criticalPathMs) + static_cast<double>(objective->targetDurationMs);
        return static_cast<double>(now - job.acceptedAt) + static_cast<double>(job.remainingCriticalPathMs()) > latestMs;
    }

    // The suspects that may be started now. A suspect has held an executor before, so it doesn't wait behind tasks that haven't.
    void collectSuspects()
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
    void addSuspect(const job_record &job, const task_id &id, suspicion kind, time_ms waitingSince)
    {
        const bool longRunning = job.spec.steps[static_cast<std::size_t>(id.step)].longRunning;
        const bool mayShare = kind == suspicion::Sole && !longRunning && crashesExpected(job.spec.queue);
        suspectsByPool[owner.poolOf(job)].push_back({id, kind, longRunning, mayShare, waitingSince});
    }

    // Members of a gang start together, so they aren't tried one by one.
    static bool mayBeTried(const job_record &job, const task_id &id)
    {
        return !job.spec.steps[static_cast<std::size_t>(id.step)].gang && job.isStepReady(job.occurrences.at(id.occurrence), id.step);
    }

    static suspicion suspicionOf(const task_record &task)
    {
        if (!task.isSuspect()) {
            return suspicion::Untried;
        }
        return task.crashRuns.empty() ? suspicion::Shared : suspicion::Sole;
    }

    void placeSuspects()
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
    trial_quota quotaOf(const std::string &pool) const
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
    void releaseUnneeded()
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

    void placeAll()
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

    void placeInOrder(std::span<ready_step> steps, placement_candidates &candidates, std::vector<resources> &refused)
    {
        for (ready_step &ready : steps) {
            placeStep(ready, candidates, refused);
        }
    }

    // Long-running steps come first in each priority. The others are placed in groups that share the pool by the tenants' weights; jobs
    // that a tenant has sent beyond its rate are a group of their own, after the others of the priority.
    void placeByShares(const std::string &pool, std::vector<ready_step> &steps, placement_candidates &candidates, std::vector<resources> &refused)
    {
        for (auto first = steps.begin(); first != steps.end();) {
            const auto last = std::find_if(first, steps.end(), [&first](const ready_step &other) {
                return other.priority != first->priority || other.longRunning != first->longRunning || other.overRate != first->overRate;
            });
            const std::span<ready_step> group(first, last);
            if (first->longRunning) {
                placeInOrder(group, candidates, refused);
            } else {
                placeGroup(pool, group, candidates, refused);
            }
            first = last;
        }
    }

    // Where the pool is short of room, tenants below their share go first, the one that uses least for its weight before the others, each
    // up to its share. What they leave is placed in the usual order.
    void placeGroup(const std::string &pool, std::span<ready_step> group, placement_candidates &candidates, std::vector<resources> &refused)
    {
        share_round round(owner.m_tenants, pool, sharedRoomOf(pool, candidates));
        for (const ready_step &ready : group) {
            const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
            const int waiting = ready.occurrence->steps[static_cast<std::size_t>(ready.step)].waiting;
            round.add(ready.job->tenant, times(stepSpec.countedDemand(), waiting));
        }
        round.divide();
        if (!round.isShort() && !scarcePools.contains(pool)) {
            placeInOrder(group, candidates, refused);
            return;
        }
        shareLimit = &round;
        for (std::optional<std::size_t> next = round.next(); next; next = round.next()) {
            placeStep(group[*next], candidates, refused);
            round.placed(*next);
        }
        shareLimit = nullptr;
        noteShares(pool, round);
        for (std::size_t index : round.left()) {
            placeStep(group[index], candidates, refused);
        }
    }

    // What the pool's executors have free, and what tasks use of them that are subject to shares.
    resources sharedRoomOf(const std::string &pool, const placement_candidates &candidates) const
    {
        resources room = owner.m_tenants.sharedUse(pool);
        for (const executor_record *executor : candidates.executors()) {
            room += executor->freeCapacity();
        }
        return room;
    }

    bool isAtShareLimit(const job_record &job) const
    {
        return shareLimit != nullptr && !shareLimit->mayStart(job.tenant);
    }

    void noteShares(const std::string &pool, const share_round &round)
    {
        for (const share_round::standing &one : round.standings()) {
            if (one.share > 0) {
                owner.m_tenantGauges.topUseOverShare = std::max(owner.m_tenantGauges.topUseOverShare, one.use / one.share);
            }
            if (one.isHeld()) {
                owner.holdByShare(one.tenant, pool, one.use, one.share, now);
            }
        }
    }

    void placeStep(ready_step &ready, placement_candidates &candidates, std::vector<resources> &refused)
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
    bool isHeldByCap(const ready_step &ready, const step_spec &stepSpec, std::size_t first = 0)
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
            owner.logEvent("task_above_cap",
                           {{"request", ready.job->spec.id}, {"step", std::to_string(ready.step)}, {"tenant", owner.m_tenants.nameOf(tenant)}});
        }
        record.leaveOutFrom(first, wait_cause::TenantCap);
        owner.holdByCap(*ready.job, now);
        // A step that waits for its tenant's share is visited again at the end of the round.
        if (heldByCap.insert(&record).second) {
            owner.m_tenantGauges.tasksWaitingForCap += record.waiting;
        }
        return true;
    }

    bool requiresAdvice(const job_record &job) const
    {
        const queue_terms *terms = owner.termsOf(job);
        return terms != nullptr && terms->requiresAdvice;
    }

    // Executors with a valid ticket for the step; requests more advice if there are too few.
    placement_candidates candidatesWithTicket(ready_step &ready, const placement_candidates &candidates)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
        const std::map<std::string, int> here = tasksByExecutor(ready, stepSpec);
        placement_candidates withTicket;
        int tickets = 0;
        std::vector<std::string> unknown;
        for (executor_record *executor : candidates.executors()) {
            const bool hasRoom = executor->probation.empty() && allowed(stepSpec, stepSpec.countedDemand(), *executor, here);
            const auto ticket = record.tickets.find(executor->entry.id);
            if (ticket != record.tickets.end() && ticket->second.validUntil > now + minTicketValidityMs) {
                withTicket.add(*executor);
                tickets += hasRoom ? 1 : 0;
            } else if (hasRoom && !record.advisedAgainst.contains(executor->entry.id)) {
                unknown.push_back(executor->entry.id);
            }
        }
        withTicket.sort();
        if (tickets < record.waiting && !unknown.empty()) {
            requestAdvice(ready, record, std::move(unknown));
        }
        return withTicket;
    }

    // The steps come in the order in which they are placed, so those that are nearest their turn ask first.
    void requestAdvice(const ready_step &ready, step_record &record, std::vector<std::string> executors)
    {
        if (record.adviceCall != 0 || record.adviceRetryAt > now) {
            return;
        }
        if (!owner.m_adviceCalls.mayAsk()) {
            owner.m_adviceWaits = true;
            return;
        }
        const queue_config *queue = owner.queueOf(*ready.job);
        const advice_cost cost = queue == nullptr ? advice_cost{} : queue->adviceCost;
        const std::size_t most = advice_calls::executorsPerCall(cost, adviceWaited);
        if (executors.size() > most) {
            executors.resize(most);
        }
        const task_id firstTask{ready.job->spec.id, ready.occurrence->number, ready.step, 0};
        record.adviceCall = owner.m_adviceCalls.add(firstTask, cost, executors.size(), now);
        ++owner.m_counts.adviceCalls;
        owner.m_actions.push_back(
            request_advice{firstTask.job, firstTask.occurrence, firstTask.step, std::move(executors), record.adviceCall, adviceAnswerLimitMs});
    }

    void placeAmong(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, std::vector<resources> &refused, bool requiresAdvice)
    {
        const resources demand = stepSpec.countedDemand();
        if (stepSpec.gang) {
            placeGang(ready, stepSpec, candidates);
            return;
        }
        const bool constrained = requiresAdvice || stepSpec.maxTasksPerExecutor > 0 || !stepSpec.requiredLabel.empty();
        std::map<std::string, int> here = tasksByExecutor(ready, stepSpec);
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        for (std::size_t index = 0; index < record.tasks.size() && record.waiting > 0; ++index) {
            task_record &task = record.tasks[index];
            if (task.phase != task_phase::Waiting || task.notBefore > now) {
                continue;
            }
            if (!owner.mayRetry(*ready.job, task)) {
                task.waitCause = wait_cause::AttemptsUnknown;
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
                task.waitCause = wait_cause::NoExecutor;
                record.leaveOutFrom(index + 1);
                return;
            }
            assign(ready, stepSpec, static_cast<int>(index), task.run + 1, *chosen);
            candidates.refresh(*chosen);
            ++here[chosen->entry.id];
        }
        record.leaveOutFrom(record.tasks.size());
    }

    // Starts the suspect on the executor that is kept for it, once that has survived its other starts. Keeps one if there is none yet.
    void placeSuspect(const waiting_suspect &suspect, const placement_candidates &candidates, trial_quota &quota)
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

    void tryOn(ready_step &ready,
               const step_spec &stepSpec,
               task_record &task,
               const waiting_suspect &suspect,
               const placement_candidates &candidates,
               trial_quota &quota)
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

    executor_record *
    joinTrial(const waiting_suspect &suspect, const step_spec &stepSpec, const placement_candidates &candidates, const std::map<std::string, int> &here)
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

    executor_record *keepForSuspect(const waiting_suspect &suspect,
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
    executor_record *
    findForTrial(const task_record &task, const step_spec &stepSpec, const placement_candidates &candidates, const std::map<std::string, int> &here)
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

    std::map<std::string, int> tasksByExecutor(const ready_step &ready, const step_spec &stepSpec) const
    {
        std::map<std::string, int> count;
        if (stepSpec.maxTasksPerExecutor == 0) {
            return count;
        }
        for (const task_record &task : ready.occurrence->steps[static_cast<std::size_t>(ready.step)].tasks) {
            if (task.occupies()) {
                ++count[task.executor];
            }
        }
        return count;
    }

    // Best fit: prefers the executor with the least free cpu, so that others stay empty and their VMs can be moved. The candidates are
    // ordered by it, so the first one without a penalty ends the search.
    executor_record *choose(const step_spec &stepSpec, const task_record &task, const placement_candidates &candidates, const std::map<std::string, int> &here)
    {
        executor_record *best = nullptr;
        double bestWeight = 0;
        // The choice without interference.
        const executor_record *bestPlain = nullptr;
        double bestPlainWeight = 0;
        const resources demand = stepSpec.countedDemand();
        for (auto candidate = candidates.firstWith(demand.cpu); candidate != candidates.end(); ++candidate) {
            ++owner.m_counts.executorsConsidered;
            executor_record &executor = *candidate->executor;
            if (!executor.probation.empty() || !allowed(stepSpec, demand, executor, here)) {
                continue;
            }
            const double penalty = penaltyOf(stepSpec, task, executor);
            const double interference = interferencePenalty(stepSpec, executor);
            const double plain = static_cast<double>(candidate->freeCpu) + penalty;
            if (bestPlain == nullptr || plain < bestPlainWeight) {
                bestPlain = &executor;
                bestPlainWeight = plain;
            }
            if (best == nullptr || plain + interference < bestWeight) {
                best = &executor;
                bestWeight = plain + interference;
            }
            if (penalty + interference == 0) {
                break;
            }
        }
        owner.m_counts.placementsKeptApart += bestPlain != best ? 1 : 0;
        return best;
    }

    // While tasks of the pool wait for room, tasks are packed as closely as without it: keeping images apart must not cost another task its
    // place.
    double interferencePenalty(const step_spec &stepSpec, const executor_record &executor) const
    {
        if (!mayInterfere(stepSpec) || scarcePools.contains(executor.entry.pool)) {
            return 0;
        }
        return interferenceWeight * std::min(maxInterference, owner.m_interference.harmBeside(stepSpec.image, executor.images));
    }

    bool allowed(const step_spec &stepSpec, const resources &demand, const executor_record &executor, const std::map<std::string, int> &here) const
    {
        if (!demand.fitsIn(executor.freeCapacity())) {
            return false;
        }
        if (stepSpec.maxTasksPerExecutor > 0) {
            const auto count = here.find(executor.entry.id);
            if (count != here.end() && count->second >= stepSpec.maxTasksPerExecutor) {
                return false;
            }
        }
        return executor.hasLabel(stepSpec.requiredLabel);
    }

    double penaltyOf(const step_spec &stepSpec, const task_record &task, const executor_record &executor) const
    {
        double penalty = 0;
        if (!stepSpec.dataRack.empty() && stepSpec.dataRack != executor.entry.rack) {
            penalty += farFromDataWeight;
        }
        if (outlastsWave(stepSpec, executor)) {
            penalty += maintenanceDueWeight;
        }
        if (executor.isSlow()) {
            penalty += slowExecutorWeight * executor.slowness;
        }
        if (!task.avoidedExecutor.empty() && task.avoidedExecutor == executor.entry.id) {
            penalty += failedHereWeight;
        }
        return penalty;
    }

    // Whether the task would still be running when the maintenance of the executor's VM is due.
    bool outlastsWave(const step_spec &stepSpec, const executor_record &executor) const
    {
        const std::optional<time_ms> dueAt = executor.entry.vm.empty() ? std::nullopt : owner.m_fleetPlanner.maintenanceDueAt(executor.entry.vm);
        return dueAt && (stepSpec.longRunning || stepSpec.estimateMs > *dueAt - now);
    }

    // Places all members of the gang or none. Each attempt reserves capacity member by member and releases it afterwards.
    void placeGang(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        int run = 0;
        for (const task_record &task : record.tasks) {
            if (task.phase != task_phase::Waiting || task.notBefore > now || !owner.mayRetry(*ready.job, task)) {
                return;
            }
            run = std::max(run, task.run);
        }
        if (stepSpec.sameRack) {
            std::map<std::string, placement_candidates> racks;
            for (executor_record *executor : candidates.executors()) {
                racks[executor->entry.rack].add(*executor);
            }
            for (std::pair<const std::string, placement_candidates> &rack : racks) {
                rack.second.sort();
                if (placeMembers(ready, stepSpec, rack.second, run + 1)) {
                    return;
                }
            }
        }
        placeMembers(ready, stepSpec, candidates, run + 1);
    }

    bool placeMembers(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, int run)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        std::vector<executor_record *> chosen;
        std::map<std::string, int> here;
        const resources demand = stepSpec.countedDemand();
        for (const task_record &task : record.tasks) {
            executor_record *candidate = choose(stepSpec, task, candidates, here);
            if (candidate == nullptr) {
                break;
            }
            candidate->used += demand;
            candidates.refresh(*candidate);
            ++here[candidate->entry.id];
            chosen.push_back(candidate);
        }
        for (executor_record *candidate : chosen) {
            candidate->used -= demand;
            candidates.refresh(*candidate);
        }
        if (chosen.size() != record.tasks.size()) {
            return false;
        }
        shareCheckpoint(record.tasks);
        for (std::size_t index = 0; index < chosen.size(); ++index) {
            assign(ready, stepSpec, static_cast<int>(index), run, *chosen[index]);
        }
        return true;
    }

    // The checkpoint of any member is valid for the gang, and all must start from the same one.
    static void shareCheckpoint(std::vector<task_record> &members)
    {
        const auto known = std::find_if(members.begin(), members.end(), [](const task_record &member) {
            return !member.checkpoint.empty();
        });
        if (known == members.end()) {
            return;
        }
        const std::string checkpoint = known->checkpoint;
        for (task_record &member : members) {
            member.checkpoint = checkpoint;
        }
    }

    void assign(ready_step &ready, const step_spec &stepSpec, int index, int run, executor_record &executor)
    {
        job_record &job = *ready.job;
        const task_id id{job.spec.id, ready.occurrence->number, ready.step, index};
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        task_record &task = record.tasks[static_cast<std::size_t>(index)];
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
};

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
        job->forEachIn(task_phase::Waiting, [&](const task_id &id, task_record &task) {
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

// A step whose call is overdue may ask again; the answer is still used if it comes.
void scheduler::handleOverdueAdvice(time_ms now)
{
    for (const overdue_advice &call : m_adviceCalls.takeOverdue(now)) {
        ++m_counts.adviceOverdue;
        logEvent("advice_overdue",
                 {{"request", call.step.job},
                  {"step", std::to_string(call.step.step)},
                  {"call", std::to_string(call.number)},
                  {"window", std::to_string(m_adviceCalls.window())}});
        if (taskOf(call.step) == nullptr) {
            continue;
        }
        step_record &record = m_jobs.at(call.step.job)->occurrences.at(call.step.occurrence).steps[static_cast<std::size_t>(call.step.step)];
        if (record.adviceCall == call.number) {
            record.adviceCall = 0;
        }
        m_placementPending = true;
    }
}

void scheduler::on(const advice_answered &what, time_ms now)
{
    m_adviceCalls.settle(what.call, outcomeOf(what.status), now);
    m_placementPending = true;
    const auto found = m_jobs.find(what.job);
    task_record *task = found == m_jobs.end() ? nullptr : found->second->find({what.job, what.occurrence, what.step, 0});
    if (task == nullptr) {
        return;
    }
    step_record &record = found->second->occurrences.at(what.occurrence).steps[static_cast<std::size_t>(what.step)];
    // The answer to an overdue call counts, but the step may have a later call under way.
    if (record.adviceCall == what.call) {
        record.adviceCall = 0;
    }
    if (what.status != order_status::Ok) {
        constexpr time_ms adviceRetryMs = 400;
        record.adviceRetryAt = now + adviceRetryMs;
        logEvent("advice_refused", {{"request", what.job}, {"step", std::to_string(what.step)}, {"reason", std::string(nameOf(what.status))}});
        return;
    }
    const queue_terms *terms = termsOf(*found->second);
    const std::int64_t validMs = what.validMs > 0 ? what.validMs : (terms == nullptr ? 0 : terms->adviceValidMs);
    record.advisedAgainst.insert(what.asked.begin(), what.asked.end());
    for (const std::pair<std::string, std::string> &ticket : what.tickets) {
        record.advisedAgainst.erase(ticket.first);
        record.tickets[ticket.first] = {ticket.second, now + validMs};
    }
}

} // namespace daisypass::sched
