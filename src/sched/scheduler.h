#pragma once

// The job scheduler: places tasks on executors, extends the leases of their runs, tracks each run to its end, and orders moves and
// maintenance of VMs.
//
//     scheduler instance(bounds, termTimes);
//     instance.restore(job, row, now);                // for every stored job, before the first event
//     instance.handle(event, now);
//     instance.plan(now);
//     for (const action &next : instance.takeActions()) { ... carry it out ... }
//     if (std::optional<commit_batch> batch = instance.takeBatch(now)) { ... store it, then handle(batch_committed) ... }
//
// A scheduler object serves one term of the leadership lease and is destroyed at its end. It has no socket or thread, and no clock but the
// one that it is given to measure its passes over all jobs, executors or VMs, whose pace follows from the time that they take.
//
// Invariants:
// - A start order is sent only after the row that names the run and its executor is stored.
// - A task has at most one run that can be alive. It is placed again only after the previous run has ended, was refused, or can't
//   be alive any more because its lease has expired even on the slowest clock or because its executor restarted.
// - Leases are extended only up to a time that the next lease holder can compute from the last stored renewal (lease_rules.h).
// - The end of a run is acknowledged only after the rows of the jobs that it changes are stored.

#include "sched/advice_calls.h"
#include "sched/arrival_rate.h"
#include "sched/crash_suspects.h"
#include "sched/crash_watch.h"
#include "sched/duration_model.h"
#include "sched/entry_versions.h"
#include "sched/events.h"
#include "sched/executor_record.h"
#include "sched/fleet_orders.h"
#include "sched/fleet_planner.h"
#include "sched/interference.h"
#include "sched/job_account.h"
#include "sched/job_rate.h"
#include "sched/job_record.h"
#include "sched/job_rows.h"
#include "sched/late_starts.h"
#include "sched/lease_rules.h"
#include "sched/model.h"
#include "sched/order_ledger.h"
#include "sched/pass_pacer.h"
#include "sched/run_pace.h"
#include "sched/store_queue.h"
#include "sched/tenant_holds.h"
#include "sched/tenant_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisypass::sched {

/** Counts since the scheduler was created. */
struct scheduler_counts
{
    std::int64_t placed = 0;
    /** Choices, also of attempts to place a gang, of another executor than without the known interference between images. */
    std::int64_t placementsKeptApart = 0;
    std::int64_t started = 0;
    std::int64_t refusedStarts = 0;
    std::int64_t adviceCalls = 0;
    /** Calls for advice without an answer in time. */
    std::int64_t adviceOverdue = 0;
    std::int64_t doneRuns = 0;
    std::int64_t failedRuns = 0;
    std::int64_t otherEnds = 0;
    std::int64_t lostRuns = 0;
    std::int64_t stops = 0;
    /** Ends whose acknowledgement was deferred as a late start might begin another run, and those that were left out of it. */
    std::int64_t deferredEnds = 0;
    std::int64_t endsNotDeferred = 0;
    std::int64_t completedJobs = 0;
    std::int64_t failedJobs = 0;
    std::int64_t cancelledJobs = 0;
    /** Jobs that were ended because the store can't take their state. */
    std::int64_t jobsSetAside = 0;
    std::int64_t polls = 0;
    std::int64_t moves = 0;
    std::int64_t maintenanceOrders = 0;
    /** Placement passes, and the waiting jobs and executors that they looked at, each counted once for each look. */
    std::int64_t placementPasses = 0;
    std::int64_t jobsConsidered = 0;
    std::int64_t executorsConsidered = 0;
    /** Runs that sweeps have checked, and VMs that fleet plans have looked at. */
    std::int64_t runsChecked = 0;
    std::int64_t vmsPlanned = 0;
    /** Jobs that tenants sent beyond the number a second that they are entitled to. */
    std::int64_t jobsOverRate = 0;
};

/** How tenants stand: in the last placement pass, and for those that are held back at the last cleanup. */
struct tenant_gauges
{
    /** Largest ratio of what a tenant uses of a pool to its fair share there, among the pools that are short of room. */
    double topUseOverShare = 0;
    /** Ready tasks that wait for their tenant's cap. */
    std::int64_t tasksWaitingForCap = 0;
    /** Tenants that were held back lately, by their cap and by their share. */
    std::int64_t heldByCap = 0;
    std::int64_t heldByShare = 0;
};

/** How long one pass over all work took. */
struct pass_time
{
    /** "placement", "sweep" or "fleet". */
    std::string_view pass;
    std::int64_t us = 0;
};

/** Key of the row in the scheduler's table that has the fleet orders. */
inline constexpr const char *fleetOrdersRowKey = "~orders";

/** Key of the row with the starts without an answer for which ends are deferred. */
inline constexpr const char *lateStartsRowKey = "~late-starts";

/** Returns the time in microseconds on any monotonic clock. */
using processing_clock = std::function<std::int64_t()>;

class scheduler
{
public:
    /** Without a clock, passes count as if they took no time. */
    scheduler(bounds limits, const term_times &term, processing_clock clock = {});
    ~scheduler();

    /**
     * Adds a stored job with its state row; an empty row means that the job has not started. A divided state has further rows, by their keys.
     * False if a row is malformed: the job is left to a later lease holder, as it isn't known which of its tasks have run.
     */
    bool restore(const job_spec &job, const std::string &row, time_ms now, const std::map<std::string, std::string> &taskRows = {});
    /** Adds the stored progress of a maintenance wave. */
    void restoreWave(std::string_view key, std::string_view row);
    /** Adds the fleet orders that earlier lease holders may have sent; false if the row is malformed. */
    bool restoreFleetOrders(std::string_view row, time_ms now);

    /** Adds the start orders of earlier lease holders that may still be carried out. */
    void restoreLateStarts(std::string_view row, time_ms now);

    void handle(const event &what, time_ms now);
    /** Places waiting tasks and sends polls that are due. Called after each group of events. */
    void plan(time_ms now);
    /** When `plan` should be called next for a placement that was delayed to batch events; empty if there is none. */
    std::optional<time_ms> nextPlanAt() const;
    std::vector<action> takeActions();

    /** The passes since the last call. */
    std::vector<pass_time> takePassTimes()
    {
        return std::exchange(m_passTimes, {});
    }
    /** Number of jobs with starts or an end that wait until their row is stored. */
    std::size_t jobsWaitingForStore() const
    {
        return m_storeQueue.startsAndEnds() + m_jobsInBatch.size();
    }
    bool hasUnstoredChanges() const;
    /** The next changes to store; empty if there are none. At most one batch may be outstanding. */
    std::optional<commit_batch> takeBatch(time_ms now);

    /** The calls for advice that are under way, and how many may be. */
    const advice_calls &adviceCalls() const
    {
        return m_adviceCalls;
    }
    /** Number of queues whose callers' estimates are wrong and corrected. */
    std::size_t correctedQueues() const
    {
        return m_durations.correctedQueues();
    }
    const job_account &jobAccount() const
    {
        return m_jobAccount;
    }
    const interference_model &interference() const
    {
        return m_interference;
    }
    const scheduler_counts &counts() const
    {
        return m_counts;
    }
    const tenant_gauges &tenantGauges() const
    {
        return m_tenantGauges;
    }
    const tenant_ledger &tenants() const
    {
        return m_tenants;
    }

    /** Number of accepted jobs in each queue of which no executor has confirmed a start; repeating jobs are not counted. */
    std::map<queue_key, std::int64_t> waitingJobs() const;
    std::size_t jobCount() const
    {
        return m_jobs.size();
    }
    /** Whether some VM that is up names an executor whose registry entry has not been read. */
    bool hasUnregisteredExecutor() const;
    /** Number of executors for which the version of the registry's row is kept. */
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
    void on(const submission_barred &what, time_ms now);
    void on(const submissions_deleted &what, time_ms now);
    void on(const lease_renewed &what, time_ms now);
    void on(const batch_committed &what, time_ms now);
    void on(const tick &what, time_ms now);
    void finishJob(job_record &job, job_phase phase, time_ms now);
    /** Adds the rows of waves that have changed, as far as there is room. */
    void takeWaveRows(row_changes &changes);
    /** Adds the job's changed rows; false if the batch is full and some of them must wait. */
    bool takeRows(job_record &job, std::int64_t batch, row_changes &changes, time_ms now);
    /** Ends a job whose state can't be stored. */
    void setAside(job_record &job, time_ms now, std::string_view cause);
    void markDirty(job_record &job, row_wait waits = row_wait::Acknowledgement);
    /** Whether one more job may get placements, which hold capacity until the job's row is stored. */
    bool mayQueuePlacements(const job_record &job) const;
    void addToBacklog(job_record &job);
    /** Charges the job's memory to the account of jobs, in place of what it was charged before. */
    void charge(job_record &job, const job_size &size, time_ms now);
    /** Drops what the ended jobs whose state is stored don't need any more. */
    void trimEndedJobs(time_ms now);
    /** Whether the ended job's state is stored and none of its runs may go on. */
    bool isSettled(const job_record &job) const;
    void deleteOldSubmissions(time_ms now);
    const queue_config *queueOf(const job_record &job) const;
    /** The terms of the job's queue, or those kept with the job if the configuration doesn't have the queue; null if none are known. */
    const queue_terms *termsOf(const job_record &job) const;
    /** The same for the objective of the job's queue. */
    const queue_objective *objectiveOf(const job_record &job) const;
    /** Keeps the terms and the objective of the job's queue with the job if it has none, and decides what had to wait for the terms. */
    void keepTerms(job_record &job, time_ms now);
    /** Whether the task may have another run, as far as its failures are concerned. */
    bool mayRetry(const job_record &job, const task_record &task) const;
    const std::string &poolOf(const job_record &job) const;

    // Executors.
    void on(const executor_entry_changed &what, time_ms now);
    void on(const executor_entry_removed &what, time_ms now);
    void on(const poll_answered &what, time_ms now);
    void on(const start_answered &what, time_ms now);
    void on(const stop_answered &what, time_ms now);
    void on(const advice_answered &what, time_ms now);
    executor_record &executorFor(const std::string &id, time_ms now);
    /** Replaces the executor's entry and updates the index by VM. */
    void setEntry(executor_record &executor, const executor_entry &entry);
    void removeFromVm(const executor_record &executor);
    /** Whether the entry comes from an executor of the deployment, or is needed to extend the leases of restored runs. */
    bool mayUse(const executor_entry &entry) const;
    /** Keeps the entry of a service that isn't configured until a configuration names it. */
    void keepUnused(const executor_entry_changed &what, time_ms now);
    /** Uses the entries that were read before a configuration that names their services. */
    void useKeptEntries(time_ms now);
    void unlist(executor_record &executor, time_ms now);
    /** Checks those executors of the VM that are known to have started before its latest one. */
    void endEarlierExecutorsOf(const std::string &vm, time_ms now);
    /** Marks the executor dead if it has long been silent, and otherwise asks it whether it is alive. */
    void checkReplacement(executor_record &executor, const executor_record &successor, time_ms now);
    /** Marks the executor dead if the failed poll or its silence confirms that it was replaced. */
    void confirmReplacement(executor_record &executor, const poll_answered &what, time_ms now);
    void endReplaced(executor_record &executor, time_ms now);
    /** Drops the claim that the executor was replaced if the answered poll was sent after the claim was read. */
    void refuteReplacement(executor_record &executor, time_ms pollSentAt);
    /** Marks the VM's previous executor dead if the later list shows that it can't be running any more. */
    void markReplacedDead(const vm_entry &before, const vm_entry &after, time_ms askedAt, time_ms now);
    /** Revives the VM's executor if it was marked dead before the list that names it was requested. */
    void reviveIfListed(const vm_entry &vm, time_ms askedAt, time_ms now);
    void removeFromListed(executor_record &executor);
    void markUnresponsive(executor_record &executor, time_ms now, std::string_view cause);
    void markResponsive(executor_record &executor, time_ms now);
    /** Marks the executor dead and its runs lost, except runs whose start orders have no answer. `evidence` is added to the log line. */
    void markDead(executor_record &executor, time_ms now, std::string_view cause, const log_fields &evidence = {});
    /** The runs on the executor whose start orders were sent. */
    std::vector<run_start> startsOn(const executor_record &executor) const;
    /** Counts the crash of the executor's incarnation against the runs that can be the reason, unless it ended as planned. */
    void recordCrash(executor_record &executor, time_ms now);
    /** Whether an executor has crashed under each of them alone, in queues whose tasks crash executors. */
    bool wereAllSole(const std::vector<task_id> &suspects, time_ms now) const;
    /** Takes back what was counted against single tasks just now: executors have crashed for another reason. */
    void recordUnexplainedCrash(time_ms now);
    /** Gives up the tasks under which executors have crashed, if nothing else has explained the crashes meanwhile. */
    void giveUpCrashingTasks(time_ms now);
    /** Why the suspect must not be started now: it is about to be given up, or others crash. None if it may be. */
    wait_cause reasonToHoldBack(const task_id &id, const task_record &task, time_ms now);
    /** Whether executors have crashed lately for reasons other than their runs. */
    bool othersCrash(time_ms now) const;
    /** Whether the executor is known to have survived all starts of its runs. */
    bool hasSurvivedItsStarts(const executor_record &executor) const;
    /** Ends the probation of the suspects whose starts the executor has survived, and of those that don't need it any more. */
    void settleProbation(executor_record &executor);
    void settleProbation(executor_record &executor, const task_id &id);
    void endProbation(executor_record &executor, const task_id &id);
    /** The task's record; null if its job is not known any more. */
    task_record *taskOf(const task_id &id) const;
    /** Makes the executor's next poll due at once; it will return without waiting for a run to end. */
    void requestPoll(executor_record &executor);
    /** Takes back that the executor was marked dead, because it is alive. */
    void revive(executor_record &executor, time_ms now);
    /** Handles a restart of the executor under the same id. */
    void handleRestart(executor_record &executor, const order_target &incarnation, time_ms now);
    void stopUnansweredStarts(executor_record &executor, const order_target &incarnation, time_ms now);
    /** Sends a stop of the run to the incarnation that is known. */
    void sendStop(const task_id &id, int run, const executor_record &executor);
    /** Whether a later lease holder has used a higher fencing token; false if only a later incarnation has got one from this holder. */
    static bool isFenced(order_status status, const executor_record *executor, const order_target &sentTo);
    /** Sends the stops of abandoned runs that are due. */
    void sendDueStops(executor_record &executor, const order_target &incarnation, time_ms now);
    void resetListedState(executor_record &executor);
    /** Handles the answer to an order that reached a different executor. */
    void handleWrongExecutor(executor_record &executor, const order_target &sentTo, time_ms now);
    /** Records the incarnation that answered; true if the executor has restarted since the last known one. */
    bool adoptIncarnation(executor_record &executor, const order_target &incarnation, time_ms now);
    void indexExecutors();
    void sendPolls(time_ms now);
    void markAllPollsDue();
    void sendPoll(executor_record &executor, time_ms now);
    /** The longest lease that may be granted now; 0 if none may be granted. */
    time_ms grantableLeaseMs(time_ms now) const;
    bool runsLatencyAndBestEffortTasks(const executor_record &executor) const;
    /** The same for an executor that is kept for suspects. */
    std::int64_t trialPollWaitMs(const executor_record &executor, time_ms now) const;
    /** How long the executor may delay its answer to the next poll while no run ends. */
    std::int64_t pollWaitMs(const executor_record &executor, time_ms now) const;
    void expireUnresponsive(time_ms now);
    /** For how long an executor may extend its runs after an order that grants a lease, by this process's clock. */
    time_ms longestLeaseMs() const;

    // Acknowledgements of ends.
    void acknowledgeStored();
    /** Keeps a start order without an answer, which may still be carried out. */
    void addUnansweredStart(executor_record &executor, const run_id &run, time_ms now);
    /** Defers the acknowledgement of a done run's end while a start order without an answer may begin another run of the task. */
    void deferIfStartMayCome(executor_record &executor, const listed_end &end, const step_spec &step, time_ms now);
    bool mayDeferOn(const executor_record &executor) const;
    /** A run has begun. If its start had no answer, and another run of the task was done, that run's end stays unacknowledged. */
    void applyLateStart(const run_id &run);
    /** The row with the starts for which ends are deferred. */
    std::string writeLateStarts(time_ms now);
    /** Ends the deferral of ends for which no start can come any more. */
    void settleDeferredEnds(time_ms now);

    // Runs.
    void occupy(const task_id &id, const step_spec &step, executor_record &executor);
    void release(const task_id &id, const step_spec &step, task_record &task, time_ms now);
    void applyPoll(executor_record &executor, const poll_answered &what, time_ms now);
    void applyEnd(executor_record &executor, const listed_end &end, time_ms now);
    /** Gives the executor no new runs for a while if runs of several jobs have failed there. */
    void backOffIfFailing(executor_record &executor, const std::string &failedJob, time_ms now);
    /** Gives up the task's current run, because another run has done the task, and sends a stop for it. */
    void abandonRun(const task_id &id, const task_record &task, const step_spec &step, time_ms now);
    void endRun(job_record &job, const task_id &id, task_record &task, run_end how, const std::string &checkpoint, time_ms now);
    void completeTask(job_record &job, const task_id &id, time_ms now);
    void failTask(job_record &job, const task_id &id, task_record &task, time_ms now);
    void failIfOutOfAttempts(job_record &job, const task_id &id, const task_record &task, time_ms now);
    /** Returns the task to its waiting state because its run can't be alive any more and has no known end. */
    void markRunLost(job_record &job, const task_id &id, task_record &task, time_ms now, std::string_view cause);
    /** Handles the runs that the executor's latest list doesn't show. */
    void resolveUnlistedRuns(executor_record &executor, const poll_answered &what, time_ms now);
    void requestStop(const task_id &id, task_record &task, time_ms now, std::string_view cause);
    /** Sends a stop for a run that the executor doesn't list, so that a delayed start order is refused. */
    void stopUnlistedRun(const task_id &id, task_record &task, time_ms now, std::string_view cause);
    static bool startedDespiteStop(const job_record &job, const task_record &task, time_ms listAskedAt);
    static bool mayResendStop(const job_record &job, const task_record &task, const executor_record &executor);
    void resendStops(time_ms now);
    void watchProgress(time_ms now);
    void throttleBestEffort(executor_record &executor, const std::vector<listed_run> &runs, time_ms now);
    /** Learns from an executor's list which images lengthen the tail latency of others. */
    void observeInterference(const executor_record &executor, const std::vector<listed_run> &runs, time_ms now);
    void reviewInterference(time_ms now);
    void collectPaceEvidence(const executor_record &executor, pace_evidence &evidence) const;
    /** Durations, measured or projected, of the step's tasks on other executors. */
    std::vector<double> siblingDurations(const step_record &step, const std::string &executor) const;
    void updateSlowness(executor_record &executor, const step_spec &step, task_record &task, time_ms now);
    /** Takes the duration of a task that is done as a sample for its queue, and for the other tasks of its step. */
    void learnDuration(job_record &job, const task_id &id, const task_record &task, const executor_record &executor);
    void emitStarts(job_record &job, std::int64_t batch, time_ms now);

    // Tenants.
    void configureTenants();
    void addToTenant(job_record &job);
    /** Counts the placed task for the job's tenant. */
    void chargeTenant(const job_record &job, const task_id &id);
    /** Counts all tasks that occupy executors. */
    void chargeAllRuns();
    /** Counts the runs that aren't the current one of their task but may not have ended. */
    void countUncertainRuns();
    void addUncertainRun(const task_id &id);
    /** Finds the jobs among the new ones that their tenants have sent beyond their rate. */
    void rateNewJobs();
    void holdByCap(job_record &job, time_ms now);
    void holdByShare(std::size_t tenant, const std::string &pool, double use, double share, time_ms now);
    void logEndedHolds(time_ms now);
    /** How many of the step's waiting tasks the caps allow to start, as far as `room`, which they are taken off, goes. */
    int admittedByCap(const job_record &job, int step, int waiting, std::vector<resources> &room) const;

    // Placement.
    void place(time_ms now);
    void handleOverdueAdvice(time_ms now);
    /** Logs each task whose next run has had to wait for long, with the reason. */
    void logLongWaits(time_ms now);

    // Fleet.
    void on(const vms_listed &what, time_ms now);
    void on(const wave_requested &what, time_ms now);
    void on(const move_answered &what, time_ms now);
    void on(const maintenance_answered &what, time_ms now);
    void planFleet(time_ms now);
    void resendUnansweredMoves(time_ms now);
    fleet_view viewOfFleet(time_ms now) const;
    void carryOut(const fleet_decision &decision, time_ms now);
    void sendFleetOrders(time_ms now);
    void addFleetOrder(const fleet_order &order, time_ms now);
    executor_incarnation currentOccupant(const vm_entry &vm) const;
    /** Reserves the VM's executor for maintenance, so that it gets no new runs. */
    void reserveForMaintenance(const std::string &vm, const executor_incarnation &occupant, time_ms now);
    void updateReservation(const std::string &executor, time_ms now);
    /** Polls the executor after an order for its VM was settled: the order has ended it unless it answers. */
    void pollAfterFleetOrder(const std::string &executor);
    /** Stops long-running tasks on reserved executors, whose VMs have a pending move or maintenance. */
    void drainReservedExecutors(time_ms now);
    bool isConfirmedAvailable(const task_record &task) const;

    /** Makes the pass and records the time that it took. */
    template<typename Pass>
    void makePass(std::string_view name, pass_pacer &pacer, time_ms now, Pass pass);
    void sweep(time_ms now, std::int64_t unixMs);
    void logEvent(std::string event, log_fields fields);

    bounds m_bounds;
    term_times m_term;
    /** When the last stored renewal of this term's lease was sent. */
    time_ms m_renewedAt;
    std::int64_t m_unixMs = 0;
    configuration_view m_configuration;
    std::map<queue_key, queue_config> m_queues;
    std::map<std::string, pool_config> m_pools;
    /** The pools that the configuration names, itself or in a queue. */
    std::set<std::string> m_namedPools;
    std::unordered_map<std::string, std::unique_ptr<job_record>> m_jobs;
    /** Jobs that have not ended. */
    std::set<std::string> m_activeJobs;
    /** Tasks to which a stop was sent that may have no answer yet. */
    std::set<task_id> m_unansweredStops;
    /** Ended jobs with runs that have not ended. */
    std::set<std::string> m_stoppingJobs;
    /** Ended jobs in the order in which they ended, for the clean-up. */
    std::vector<std::string> m_endedJobs;
    /** Ended jobs that still have all that an open job has. */
    std::vector<std::string> m_untrimmedJobs;
    job_account m_jobAccount;
    store_queue m_storeQueue;
    /** The rows of jobs whose state is divided. */
    std::unordered_map<std::string, job_rows> m_jobRows;
    /** State rows to delete, of jobs whose submissions are deleted. */
    std::vector<std::string> m_rowsToDelete;
    struct barred_submission
    {
        time_ms since = 0;
        /** When the deletion of its row was last requested; 0 if it wasn't. */
        time_ms deletionRequestedAt = 0;
    };

    /** The jobs that were cancelled before they were known, whose rows must be deleted some time. */
    std::map<std::string, barred_submission> m_barredSubmissions;
    /** The jobs whose state rows couldn't be read. */
    std::set<std::string> m_unreadableJobs;
    /** Jobs whose submissions were deleted recently, with the time of the deletion. */
    std::map<std::string, time_ms> m_deletedJobs;
    std::map<std::string, executor_record> m_executors;
    /** Listed executors by pool; rebuilt when stale. */
    std::map<std::string, std::vector<executor_record *>> m_poolExecutors;
    bool m_executorIndexStale = true;
    /** Executors by the VM that their entries name. */
    std::map<std::string, std::set<std::string>> m_executorsOfVm;
    entry_versions m_entryVersions;
    /** The latest registry entries of pools that the configuration doesn't name. */
    std::map<std::string, executor_entry_changed> m_unusedEntries;
    /** A crash of which one task is the only suspect. */
    struct counted_crash
    {
        task_id task;
        int run = 0;
        time_ms at = 0;
    };
    std::vector<counted_crash> m_recentCrashes;
    crash_watch m_crashWatch;
    /** The tasks that can be the reason why executors crashed; some may have been cleared since. */
    std::set<task_id> m_suspects;
    /** When an executor last crashed under runs of which none can be the reason. */
    std::optional<time_ms> m_unexplainedCrashAt;
    /** Executors whose next poll may be due. */
    std::set<std::string> m_pollDue;
    late_starts m_lateStarts;
    /** The row of late starts has changed. */
    bool m_lateStartsDirty = false;
    /** Executors with ends whose acknowledgement is deferred. */
    std::set<std::string> m_deferringExecutors;
    /** Executors with ends that can't be acknowledged until a job's row is stored. */
    std::set<std::string> m_executorsToAcknowledge;
    /** Jobs that may have tasks to place. */
    std::vector<job_record *> m_backlog;
    std::set<std::string> m_repeatingJobs;
    /** Rate of arriving work by pool. */
    std::map<std::string, arrival_rate> m_arrivals;
    duration_model m_durations;
    /** The last placement found no executor for a ready task. */
    bool m_capacityShort = false;
    /** The pools for whose ready tasks it found none. */
    std::set<std::string> m_poolsShortOfRoom;
    bool m_placementPending = false;
    interference_model m_interference;
    tenant_ledger m_tenants;
    tenant_gauges m_tenantGauges;
    /** The rates of jobs by tenant. */
    std::map<std::size_t, job_rate> m_jobRates;
    /** Jobs that haven't been compared with their tenant's rate yet, by their times of acceptance. */
    std::set<std::pair<std::int64_t, std::string>> m_unratedJobs;
    tenant_holds m_capHolds;
    tenant_holds m_shareHolds;
    advice_calls m_adviceCalls;
    /** The last placement left a step without a call for advice because enough calls are under way. */
    bool m_adviceWaits = false;
    /** The last placement left tasks waiting because enough placements wait for the store. */
    bool m_placementsHeldBack = false;
    std::map<std::string, vm_entry> m_vms;
    /** When the list of VMs was requested; empty if that isn't known. */
    std::optional<time_ms> m_vmsAskedAt;
    fleet_planner m_fleetPlanner;
    fleet_orders m_fleetOrders;
    order_ledger m_orderLedger;
    std::vector<action> m_actions;
    std::int64_t m_lastBatch = 0;
    std::int64_t m_lastCommittedBatch = 0;
    /** Jobs whose rows are in the outstanding batch. */
    std::vector<std::string> m_jobsInBatch;
    scheduler_counts m_counts;
    pass_pacer m_placementPacer;
    pass_pacer m_fleetPacer;
    pass_pacer m_sweepPacer;
    processing_clock m_clock;
    std::vector<pass_time> m_passTimes;
    time_ms m_lastCleanup = 0;
};

template<typename Pass>
void scheduler::makePass(std::string_view name, pass_pacer &pacer, time_ms now, Pass pass)
{
    const std::int64_t startedAtUs = m_clock ? m_clock() : 0;
    pass();
    const std::int64_t tookUs = m_clock ? m_clock() - startedAtUs : 0;
    pacer.ran(now, tookUs);
    m_passTimes.push_back({name, tookUs});
}

} // namespace daisypass::sched
