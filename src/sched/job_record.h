#pragma once

// The scheduler's record of a job, with the phase of each task. job_state.h has the rows that persist it.
//
//     job_record job(spec);
//     job.openDueOccurrences(unixMs);
//     if (task_record *task = job.find(id)) { ... }

#include "sched/model.h"
#include "sched/run_pace.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass::sched {

enum class task_phase {
    Waiting,
    /** Assigned to an executor; the row is not stored yet. */
    Placing,
    /** The start order was sent and not answered yet. */
    Starting,
    /** It is unknown whether the executor has the run: its start had no answer, or an earlier lease holder placed it. */
    Unconfirmed,
    Running,
    /** A stop order was sent, or will be. */
    Stopping,
    Done,
};

/** Why a waiting task wasn't placed by the last placement pass. */
enum class wait_cause {
    None,
    /** The pass didn't come to the task: an earlier task with the same demand found no executor. */
    NotConsidered,
    /** No executor that may run it has enough free capacity. */
    NoExecutor,
    /** Executors crash for other reasons, so a suspect isn't started. */
    OthersCrash,
    /** The task is about to be given up. */
    Judgement,
    /** As many executors as allowed are kept for suspects, or none is suitable. */
    NoneToKeep,
    /** The executor that is kept for the task hasn't survived its other starts. */
    KeptBusy,
    /** The task has failed, and it isn't known how often it may. */
    AttemptsUnknown,
    /** The cap of the job's tenant leaves no room for it. */
    TenantCap,
};

std::string_view nameOf(wait_cause cause);

struct task_record
{
    task_phase phase = task_phase::Waiting;
    /** Number of the latest run; 0 before the first. */
    int run = 0;
    /** Numbers of the failed runs. An executor lists an end again after a takeover, and the failure must count once. */
    std::vector<int> failedRuns;
    /**
     * Numbers of the runs under which their executor crashed: with other suspects, and as the only one. Empty again once an executor has
     * survived a start of the task.
     */
    std::vector<int> suspectRuns;
    std::vector<int> crashRuns;
    /** Executor of the latest run; empty while waiting or done. */
    std::string executor;
    std::string checkpoint;
    /** Executor of the latest run that failed, stalled or was a straggler; the next run is placed elsewhere if possible. */
    std::string avoidedExecutor;

    // Not stored.
    /** The executor that is kept for the next run of a suspect; see executor_record::probation. */
    std::string probationExecutor;
    /** Number of the batch that stores the placement. */
    std::int64_t batch = 0;
    /** When the executor confirmed the run, or the run became Unconfirmed. Only lists requested later show that the run is missing. */
    time_ms confirmedAt = 0;
    time_ms startSentAt = 0;
    /** Start time of the executor incarnation that has listed or confirmed the run; 0 if none has or the time is unknown. */
    std::int64_t reporterStartedUnixMs = 0;
    time_ms stopSentAt = 0;
    /** The stop only ensures that a run that the executor doesn't list isn't there; the task is still to be run. */
    bool stopConfirmsAbsence = false;
    /** When the executor acknowledged a stop of the run; 0 if it hasn't. */
    time_ms stopAckedAt = 0;
    /** The task isn't placed before this time. */
    time_ms notBefore = 0;
    /** When its latest run ended or was lost; 0 if none was in this term. */
    time_ms waitingSince = 0;
    /** See also step_record::waitCauseOf. */
    wait_cause waitCause = wait_cause::None;
    /** The wait for the next run was logged as long. */
    bool waitLogged = false;
    /** Progress of the run as last listed, in percent. */
    int percent = 0;
    /** `percent` at confirmedAt; above 0 if this lease holder hasn't observed the start of the run. */
    int confirmedPercent = 0;
    /** The run was resumed from a checkpoint, so its progress doesn't show its speed. */
    bool resumed = false;
    /** A run was stopped as a straggler before. A second slow run is due to the task's work, not to the executor. */
    bool straggled = false;
    /** Duration of the run that did the whole task; 0 if it isn't known to be a single run. */
    time_ms runDurationMs = 0;
    /** Executor of that run. */
    std::string completedOn;
    /** When `percent` last rose. */
    time_ms progressAt = 0;
    /** Number of the latest list of its executor that shows the run; see executor_record::listNumber. */
    std::int64_t listNumber = 0;
    /** The run was placed by an earlier lease holder, and not confirmed since. */
    bool inherited = false;
    /** When `available` last changed; set for long-running tasks. */
    time_ms availabilityChangedAt = 0;
    /** The run is listed at 100 percent, which for a long-running task means that it serves. */
    bool available = false;
    /** Share of its usual speed, in percent, to which the latest throttle order limits the run of a best-effort task; 100 without one. */
    int throttlePercent = 100;
    /** An earlier lease holder may have limited the run, and this one hasn't sent a throttle order. */
    bool throttleUnknown = false;

    int failures() const
    {
        return static_cast<int>(failedRuns.size());
    }

    /** The run's progress as of a list of this time. The percent is 0 for a run that was resumed from a checkpoint. */
    run_pace paceAt(time_ms listedAt) const;

    /** Whether the task can be the reason why executors crashed. */
    bool isSuspect() const
    {
        return !suspectRuns.empty() || !crashRuns.empty();
    }

    /** Counts the failure of a run; false if it was counted before. */
    bool countFailure(int failedRun);

    /** True if a run of the task uses capacity on an executor, or may. */
    bool occupies() const
    {
        return phase != task_phase::Waiting && phase != task_phase::Done;
    }
};

/** Permission of the advice service to run a step on one executor. */
struct advice_ticket
{
    std::string ticket;
    time_ms validUntil = 0;
};

struct step_record
{
    std::vector<task_record> tasks;
    int done = 0;
    int waiting = 0;
    /** The last placement pass didn't come to the tasks from this index on. Not stored. */
    std::size_t notConsideredFrom = std::numeric_limits<std::size_t>::max();
    /** Why it didn't. Not stored. */
    wait_cause notConsideredCause = wait_cause::NotConsidered;
    /** A task of the step uses more than the tenant's cap, which was logged. Not stored. */
    bool aboveCapLogged = false;

    /** An executor has survived the start of one of its tasks in this term. Not stored. */
    bool proven = false;
    // Not stored: the advice service's answers for the step.
    /** Tickets by executor. */
    std::map<std::string, advice_ticket> tickets;
    /** Executors that got no ticket. */
    std::set<std::string> advisedAgainst;
    /** The number of the call whose answer is awaited; 0 if there is none. */
    std::int64_t adviceCall = 0;
    time_ms adviceRetryAt = 0;

    bool finished() const
    {
        return done == static_cast<int>(tasks.size());
    }

    void leaveOutFrom(std::size_t index, wait_cause cause = wait_cause::NotConsidered)
    {
        notConsideredFrom = index;
        notConsideredCause = cause;
    }

    /** Why the last placement pass didn't place the waiting task. Suspects are placed apart from the step's other tasks. */
    wait_cause waitCauseOf(std::size_t index) const
    {
        const task_record &task = tasks[index];
        return index >= notConsideredFrom && !task.isSuspect() ? notConsideredCause : task.waitCause;
    }
};

struct occurrence_record
{
    int number = 0;
    time_ms dueUnixMs = 0;
    std::vector<step_record> steps;

    bool finished() const;
};

/** Largest number of tasks that a job may have in its steps, and in its open occurrences. */
inline constexpr std::size_t maxTasksPerJob = 50'000;

enum class job_phase { Pending, Running, Completed, Failed, Cancelled };

std::string_view nameOf(job_phase phase);
/** The phase with this name; empty if there is none. */
std::optional<job_phase> parsePhase(std::string_view name);

struct job_record
{
    explicit job_record(job_spec jobSpec);

    job_spec spec;
    /** The terms of the submission, or for a job of a former version those that the configuration had; empty if neither is known. */
    std::optional<queue_terms> terms;
    /** The same for the queue's objective. */
    std::optional<queue_objective> objective;
    /** Index of the job's tenant in the tenant ledger. Not stored. */
    std::size_t tenant = 0;
    /** The tenant had sent more jobs than it is entitled to when this one was accepted. Not stored: it follows from the times of acceptance. */
    bool overRate = false;
    job_phase phase = job_phase::Pending;
    std::map<int, occurrence_record> occurrences;
    /** Occurrences below this number are finished and were dropped. */
    int firstOpen = 0;
    /** When the job was accepted, on this process's clock. */
    time_ms acceptedAt = 0;
    time_ms endedAt = 0;
    /** When the deletion of the job's submission was last requested; 0 if it wasn't. */
    time_ms deletionRequestedAt = 0;
    /** The job has changed since its row was written. */
    bool dirty = false;
    /** An executor has confirmed that a task of the job started. Until then the job counts as waiting, even if its tasks are placed. */
    bool begun = false;
    /** The job is in the backlog, whose jobs are considered for placement. */
    bool inBacklog = false;
    /** Length of the critical path through all steps, by their estimates. */
    std::int64_t criticalPathMs = 0;
    /** The estimates of the steps as the caller gave them; those in `spec` may have been replaced. */
    std::vector<std::int64_t> callerEstimatesMs;
    /** Number of the batch that stores the job's latest change. */
    std::int64_t batch = 0;

    bool ended() const
    {
        return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
    }

    /** Creates the occurrences that are due at this time, as far as the open ones leave room for more tasks. */
    void openDueOccurrences(time_ms unixMs);
    /** Creates all occurrences up to this number that aren't finished: a former lease holder had them open. */
    void openOccurrencesUpTo(int last);
    /** Total number of occurrences; 1 for a job that isn't repeated. */
    int occurrenceCount() const;
    /** True if all steps that must be done before this one are finished. */
    bool isStepReady(const occurrence_record &occurrence, int step) const;
    /** The task's record; null if the occurrence isn't open or the id is out of range. */
    task_record *find(const task_id &id);
    /** Calls `visit(id, task)` for every task that occupies an executor. */
    template<typename Visit>
    void forEachOccupying(Visit visit);
    /** The same for the tasks in this phase only. */
    template<typename Visit>
    void forEachIn(task_phase wanted, Visit visit);
    /** The same for the tasks that can be the reason why executors crashed. */
    template<typename Visit>
    void forEachSuspect(Visit visit);
    bool anyOccupying() const;
    /** Drops finished occurrences from the front; true if all occurrences are finished. */
    bool dropFinished();
    /** Estimated work of the waiting tasks in core-milliseconds. */
    double waitingWork() const;
    /** Length of the longest critical path through the unfinished steps of an occurrence, by their estimates. */
    std::int64_t remainingCriticalPathMs();
    /** Replaces the estimate of the step's tasks. */
    void setEstimate(std::size_t step, std::int64_t estimateMs);
    /** Must be called when estimates in `spec` were replaced directly. */
    void estimatesChanged();
    /** Must be called when a step has finished. */
    void stepFinished()
    {
        m_remainingPathMs.reset();
    }
    bool hasLongRunning() const;

private:
    void openNextOccurrence(int number);
    time_ms dueUnixMs(int number) const;
    template<typename Wanted, typename Visit>
    void forEachTask(Wanted wanted, Visit visit);

    /** The remaining critical path; empty if it must be calculated again. */
    std::optional<std::int64_t> m_remainingPathMs;
};

template<typename Wanted, typename Visit>
void job_record::forEachTask(Wanted wanted, Visit visit)
{
    for (std::pair<const int, occurrence_record> &occurrence : occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            std::vector<task_record> &tasks = occurrence.second.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (wanted(tasks[index])) {
                    visit(task_id{spec.id, occurrence.first, static_cast<int>(step), static_cast<int>(index)}, tasks[index]);
                }
            }
        }
    }
}

template<typename Visit>
void job_record::forEachOccupying(Visit visit)
{
    forEachTask(
        [](const task_record &task) {
            return task.occupies();
        },
        visit);
}

template<typename Visit>
void job_record::forEachSuspect(Visit visit)
{
    forEachTask(
        [](const task_record &task) {
            return task.isSuspect();
        },
        visit);
}

template<typename Visit>
void job_record::forEachIn(task_phase wanted, Visit visit)
{
    forEachTask(
        [wanted](const task_record &task) {
            return task.phase == wanted;
        },
        visit);
}

} // namespace daisypass::sched
