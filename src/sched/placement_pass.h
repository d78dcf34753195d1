#pragma once

// One pass of placement over the waiting tasks of all pools. It is the scheduler's own: its functions read and change the scheduler's state.
//
//     placement_pass pass{*this, now};
//     pass.collectReady();
//     pass.collectSuspects();
//     pass.placeAll();

#include "sched/placement_candidates.h"
#include "sched/scheduler.h"
#include "sched/share_round.h"
#include "sched/suspect_trials.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace daisypass::sched {

/** A step with tasks that may be placed now. Steps sort in the order in which they are placed. */
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

/** One pass over the waiting tasks of all pools. */
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

    // Collecting what is ready, and the order in which it is placed.
    const placement_candidates &candidatesOf(const std::string &pool);
    void collectReady();
    bool collectReady(job_record &job);
    bool collectReady(job_record &job, const std::string &pool);
    bool isLate(job_record &job, const queue_objective *objective) const;
    void placeAll();
    void placeInOrder(std::span<ready_step> steps, placement_candidates &candidates, std::vector<resources> &refused);
    void placeStep(ready_step &ready, placement_candidates &candidates, std::vector<resources> &refused);
    bool isHeldByCap(const ready_step &ready, const step_spec &stepSpec, std::size_t first = 0);
    void placeAmong(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, std::vector<resources> &refused, bool requiresAdvice);
    void assign(ready_step &ready, const step_spec &stepSpec, int index, int run, executor_record &executor);

    // The shares of tenants in a pool that is short of room.
    void placeByShares(const std::string &pool, std::vector<ready_step> &steps, placement_candidates &candidates, std::vector<resources> &refused);
    void placeGroup(const std::string &pool, std::span<ready_step> group, placement_candidates &candidates, std::vector<resources> &refused);
    resources sharedRoomOf(const std::string &pool, const placement_candidates &candidates) const;
    bool isAtShareLimit(const job_record &job) const;
    void noteShares(const std::string &pool, const share_round &round);

    // Advice for steps whose queue requires it.
    bool requiresAdvice(const job_record &job) const;
    placement_candidates candidatesWithTicket(ready_step &ready, const placement_candidates &candidates);
    void requestAdvice(const ready_step &ready, step_record &record, std::vector<std::string> executors);

    // Trials of tasks that may crash executors.
    bool isHeldForTrial(job_record &job, occurrence_record &occurrence, int number);
    bool crashesExpected(const queue_key &queue);
    void collectSuspects();
    void addSuspect(const job_record &job, const task_id &id, suspicion kind, time_ms waitingSince);
    static bool mayBeTried(const job_record &job, const task_id &id);
    static suspicion suspicionOf(const task_record &task);
    void placeSuspects();
    trial_quota quotaOf(const std::string &pool) const;
    void releaseUnneeded();
    void placeSuspect(const waiting_suspect &suspect, const placement_candidates &candidates, trial_quota &quota);
    void tryOn(ready_step &ready,
               const step_spec &stepSpec,
               task_record &task,
               const waiting_suspect &suspect,
               const placement_candidates &candidates,
               trial_quota &quota);
    executor_record *
    joinTrial(const waiting_suspect &suspect, const step_spec &stepSpec, const placement_candidates &candidates, const std::map<std::string, int> &here);
    executor_record *keepForSuspect(const waiting_suspect &suspect,
                                    task_record &task,
                                    const step_spec &stepSpec,
                                    const placement_candidates &candidates,
                                    const std::map<std::string, int> &here,
                                    trial_quota &quota);
    executor_record *
    findForTrial(const task_record &task, const step_spec &stepSpec, const placement_candidates &candidates, const std::map<std::string, int> &here);

    // The choice of an executor for one task.
    std::map<std::string, int> tasksByExecutor(const ready_step &ready, const step_spec &stepSpec) const;
    executor_record *choose(const step_spec &stepSpec, const task_record &task, const placement_candidates &candidates, const std::map<std::string, int> &here);
    double interferencePenalty(const step_spec &stepSpec, const executor_record &executor) const;
    bool allowed(const step_spec &stepSpec, const resources &demand, const executor_record &executor, const std::map<std::string, int> &here) const;
    double penaltyOf(const step_spec &stepSpec, const task_record &task, const executor_record &executor) const;
    bool outlastsWave(const step_spec &stepSpec, const executor_record &executor) const;

    // Steps whose tasks start together or not at all.
    void placeGang(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates);
    bool placeMembers(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, int run);
    static void shareCheckpoint(task_table &members);
};

} // namespace daisypass::sched
