#pragma once

// Places the tasks of jobs on executors, keeps their leases, and follows each run to its end.
//
//     scheduler brain(bounds, termTimes);
//     brain.restore(job, row);                     // for every stored job, before the first event
//     brain.handle(event, now);
//     for (const action &next : brain.takeActions()) { ... }
//     if (std::optional<commit_batch> batch = brain.takeBatch(now)) { ... store it, then handle(batch_committed) ... }
//
// One scheduler exists for one term of the lease and is thrown away with it. It has no clock, socket or thread.
//
// Invariants:
// - A start order is sent only after the row that names the run and its executor is stored.
// - A task has at most one run that can be alive. It is placed again only after the former run has ended, or was refused,
//   or can't be alive any more because its lease is over on the slowest clock or its executor restarted.
// - Leases are extended only as far as this term's successor can know from the last stored renewal (lease_rules.h).
// - An end is acknowledged only after the rows of the jobs that it changes are stored.

#include "sched/arrival_rate.h"
#include "sched/entry_versions.h"
#include "sched/events.h"
#include "sched/executor_record.h"
#include "sched/fleet_orders.h"
#include "sched/fleet_planner.h"
#include "sched/job_record.h"
#include "sched/lease_rules.h"
#include "sched/model.h"
#include "sched/order_ledger.h"
#include "sched/run_pace.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisypass::sched {

/** Counts since the scheduler was made. */
struct scheduler_counts
{
    std::int64_t placed = 0;
    std::int64_t started = 0;
    std::int64_t refusedStarts = 0;
    std::int64_t doneRuns = 0;
    std::int64_t failedRuns = 0;
    std::int64_t otherEnds = 0;
    std::int64_t lostRuns = 0;
    std::int64_t stops = 0;
    std::int64_t completedJobs = 0;
    std::int64_t failedJobs = 0;
    std::int64_t cancelledJobs = 0;
    std::int64_t holds = 0;
    std::int64_t moves = 0;
    std::int64_t upkeeps = 0;
};

/** Rows of the scheduler's table that belong to no job. */
inline constexpr const char *wavesRowKey = "~waves";
inline constexpr const char *fleetOrdersRowKey = "~orders";

class scheduler
{
public:
    scheduler(bounds limits, const term_times &term);
    ~scheduler();

    /** Adds a stored job with its state row; an empty row means that nothing has happened to it. False if the row can't be read. */
    bool restore(const job_spec &job, const std::string &row, time_ms now);
    /** Adds the stored progress of a wave. */
    void restoreWave(std::string_view row);
    /** Adds the fleet orders that an earlier holder may have sent; false if the row can't be read. */
    bool restoreFleetOrders(std::string_view row, time_ms now);

    void handle(const event &what, time_ms now);
    /** Places waiting tasks and looks at executors; call after a group of events. */
    void plan(time_ms now);
    /** When `plan` has something to do that it put off, so that events close together share one pass. */
    std::optional<time_ms> nextPlanAt() const;
    std::vector<action> takeActions();

    bool hasUnstoredChanges() const;
    /** Changes to store; empty if there are none. Only one batch may be outstanding. */
    std::optional<commit_batch> takeBatch(time_ms now);

    const scheduler_counts &counts() const
    {
        return m_counts;
    }

    /** Accepted jobs of each queue without set times of which no task has started. */
    std::map<queue_key, std::int64_t> waitingJobs() const;
    std::size_t jobCount() const
    {
        return m_jobs.size();
    }
    /** An up VM has an executor that no entry has announced. */
    bool hasUnregisteredExecutor() const;
    /** Executors of which the version of the registry's row is kept. */
    std::size_t entryVersionCount() const
    {
        return m_entryVersions.size();
    }
    const std::map<std::string, executor_record> &executors() const
    {
        return m_executors;
    }

private:
    struct ready_step;
    struct placement_pass;
    friend struct placement_pass;
    struct drain_pass;
    friend struct drain_pass;

    // Jobs.
    void on(const configuration_changed &what, time_ms now);
    void on(const job_submitted &what, time_ms now);
    void on(const job_cancelled &what, time_ms now);
    void on(const submissions_deleted &what, time_ms now);
    void on(const lease_renewed &what, time_ms now);
    void on(const batch_committed &what, time_ms now);
    void on(const tick &what, time_ms now);
    void finishJob(job_record &job, job_phase phase, time_ms now);
    void markDirty(job_record &job);
    void addToBacklog(job_record &job);
    void dropOldJobs(time_ms now);
    const queue_config *queueOf(const job_record &job) const;
    const std::string &poolOf(const job_record &job) const;

    // Executors.
    void on(const executor_entry_changed &what, time_ms now);
    void on(const executor_entry_removed &what, time_ms now);
    void on(const poll_answered &what, time_ms now);
    void on(const start_answered &what, time_ms now);
    void on(const stop_answered &what, time_ms now);
    void on(const advice_answered &what, time_ms now);
    executor_record &executorFor(const std::string &id, time_ms now);
    /** Replaces the executor's entry and its place in the index by VM. */
    void setEntry(executor_record &executor, const executor_entry &entry);
    void removeFromVm(const executor_record &executor);
    void settleSuccession(const std::string &vm, time_ms now);
    /** Gives up the executor that was on the VM if the later list shows that it is over. */
    void giveUpReplaced(const vm_entry &before, const vm_entry &after, time_ms askedAt, time_ms now);
    /** Takes back that the VM's executor is over if the list was asked for after that. */
    void reviveNamed(const vm_entry &vm, time_ms askedAt, time_ms now);
    void unlist(executor_record &executor);
    void markSilent(executor_record &executor, time_ms now, std::string_view cause);
    void markAnswering(executor_record &executor, time_ms now);
    /** `evidence` is added to the log line. */
    void markDead(executor_record &executor, time_ms now, std::string_view cause, const log_fields &evidence = {});
    /** The executor's next hold is sent at once and doesn't wait for an end. */
    void askSoon(executor_record &executor);
    /** The executor, which was given up, is alive after all. */
    void revive(executor_record &executor, time_ms now);
    /** The executor has started again under its id. */
    void beginNextLife(executor_record &executor, const order_target &life, time_ms now);
    void stopUnansweredStarts(executor_record &executor, const order_target &life, time_ms now);
    void forgetLists(executor_record &executor);
    /** Another executor answered an order. */
    void onWrongExecutor(executor_record &executor, const order_target &sentTo, time_ms now);
    /** Notes the birth of the life that speaks; true if it is a later one than was known, which ends the earlier one. */
    bool adoptLife(executor_record &executor, const order_target &life, time_ms now);
    void indexExecutors();
    void sendHolds(time_ms now);
    void sweepHolds();
    void sendHold(executor_record &executor, time_ms now);
    /** How long a lease that is granted now may last; 0 if none may be granted. */
    time_ms grantMs(time_ms now) const;
    bool sharesWithFillers(const executor_record &executor) const;
    /** How long the next list may wait for an end. */
    std::int64_t listWaitMs(const executor_record &executor, time_ms now) const;
    void acknowledgeStored();
    void expireSilent(time_ms now);

    // Runs.
    void occupy(const task_id &id, const step_spec &step, executor_record &executor);
    void release(const task_id &id, const step_spec &step, task_record &task, time_ms now);
    void applyListed(executor_record &executor, const poll_answered &what, time_ms now);
    void applyEnd(executor_record &executor, const listed_end &end, time_ms now);
    void endRun(job_record &job, const task_id &id, task_record &task, run_end how, const std::string &checkpoint, time_ms now);
    void completeTask(job_record &job, const task_id &id, task_record &task, time_ms now);
    void failTask(job_record &job, const task_id &id, task_record &task, time_ms now);
    void failIfOutOfAttempts(job_record &job, const task_id &id, const task_record &task, time_ms now);
    /** The run isn't anywhere any more and has not ended as done or failed. */
    void loseRun(job_record &job, const task_id &id, task_record &task, time_ms now, std::string_view cause);
    void settleMissing(executor_record &executor, const poll_answered &what, const std::set<task_id> &listed, time_ms now);
    void requestStop(const task_id &id, task_record &task, time_ms now, std::string_view cause);
    /** Stops a run that a list doesn't show, so that it can't come any more. */
    void stopMissing(const task_id &id, task_record &task, time_ms now, std::string_view cause);
    static bool isStoppedInVain(const job_record &job, const task_record &task, time_ms listAskedAt);
    static bool mayRepeatStop(const job_record &job, const task_record &task, const executor_record &executor);
    void resendStops(time_ms now);
    void watchProgress(time_ms now);
    void paceFillers(executor_record &executor, const std::vector<listed_run> &runs, time_ms now);
    void judgePace(const executor_record &executor, pace_evidence &evidence) const;
    /** How long the step's tasks on other executors take. */
    std::vector<double> siblingDurations(const step_record &step, const std::string &executor) const;
    void learnSpeed(executor_record &executor, const step_spec &step, task_record &task, time_ms now);
    void emitStarts(job_record &job, std::int64_t batch, time_ms now);

    // Placement.
    void place(time_ms now);

    // Fleet.
    void on(const vms_listed &what, time_ms now);
    void on(const wave_requested &what, time_ms now);
    void on(const move_answered &what, time_ms now);
    void on(const maintenance_answered &what, time_ms now);
    void planFleet(time_ms now);
    void repeatUnansweredMoves(time_ms now);
    fleet_view viewOfFleet(time_ms now) const;
    void carryOut(const fleet_decision &decision, time_ms now);
    void sendFleetOrders();
    void orderFleet(const fleet_order &order, time_ms now);
    executor_incarnation currentOccupant(const vm_entry &vm) const;
    /** The VM is emptied for its upkeep: the occupant gets no new runs. */
    void reserveForUpkeep(const std::string &vm, const executor_incarnation &occupant, time_ms now);
    void showReservation(const std::string &executor, time_ms now);
    /** The order for the executor's VM is settled; the executor is over unless it lists its runs later. */
    void awaitListOf(const std::string &executor);
    /** Ends long-running tasks on executors whose VM has a move or upkeep before it. */
    void drainReserved(time_ms now);
    bool isKnownAtWork(const task_record &task) const;

    void note(std::string event, log_fields fields);

    bounds m_bounds;
    term_times m_term;
    /** When this term's last stored renewal was sent. */
    time_ms m_renewedAt;
    std::int64_t m_unixMs = 0;
    configuration_view m_configuration;
    std::map<queue_key, queue_config> m_queues;
    std::map<std::string, pool_config> m_pools;
    std::unordered_map<std::string, std::unique_ptr<job_record>> m_jobs;
    /** Jobs that haven't ended. */
    std::set<std::string> m_open;
    /** Ended jobs with runs that haven't. */
    std::set<std::string> m_stopping;
    /** Ended jobs in the order of their ends, for the clean-up. */
    std::vector<std::string> m_ended;
    std::set<std::string> m_dirty;
    std::vector<std::string> m_deletedRows;
    /** Jobs whose submissions were deleted a moment ago, with the time. */
    std::map<std::string, time_ms> m_dropped;
    std::map<std::string, executor_record> m_executors;
    /** Listed executors by pool; made anew when stale. */
    std::map<std::string, std::vector<executor_record *>> m_poolExecutors;
    bool m_executorIndexStale = true;
    /** Executors by the VM that their entry names. */
    std::map<std::string, std::set<std::string>> m_executorsOfVm;
    entry_versions m_entryVersions;
    /** Executors whose next hold may be due. */
    std::set<std::string> m_holdDue;
    /** Executors with ends that aren't acknowledged for want of a stored row. */
    std::set<std::string> m_unacknowledged;
    /** Jobs that may have tasks to place. */
    std::vector<job_record *> m_backlog;
    std::set<std::string> m_repeating;
    /** By pool. */
    std::map<std::string, arrival_rate> m_arrivals;
    /** The last placement left a ready task without room. */
    bool m_backlogBinds = false;
    bool m_placeWanted = false;
    time_ms m_placedAt = 0;
    std::map<std::string, vm_entry> m_vms;
    fleet_planner m_fleet;
    fleet_orders m_fleetOrders;
    order_ledger m_ledger;
    std::vector<action> m_actions;
    std::int64_t m_batch = 0;
    std::int64_t m_committed = 0;
    std::vector<std::string> m_batchJobs;
    bool m_waveRowDirty = false;
    scheduler_counts m_counts;
    time_ms m_lastFleetPlan = 0;
    time_ms m_lastSweep = 0;
    time_ms m_lastClean = 0;
};

} // namespace daisypass::sched
