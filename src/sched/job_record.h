#pragma once

// The scheduler's record of a job, with the phase of each task. job_state.h has the rows that persist it.
//
//     job_record job(spec);
//     job.openDueOccurrences(unixMs);
//     if (task_record *task = job.find(id)) { ... }

#include "sched/job_account.h"
#include "sched/model.h"
#include "sched/task_record.h"
#include "sched/task_table.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass::sched {

/** Permission of the advice service to run a step on one executor. */
struct advice_ticket
{
    std::string ticket;
    time_ms validUntil = 0;
};

/** How long a run took that did its whole task. */
struct run_duration
{
    std::string executor;
    time_ms durationMs = 0;
};

/** The durations that a step keeps of its done tasks, to compare running ones with. */
inline constexpr std::size_t maxDurationsPerStep = 128;

struct step_record
{
    task_table tasks;
    /** Durations of done tasks, the latest ones if there are more than maxDurationsPerStep. Not stored. */
    std::vector<run_duration> doneDurations;
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

    /** Keeps the duration of the task's run, if it is known. */
    void keepDuration(const task_record &task);

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

/** Largest number of tasks that a job may have in its steps. */
inline constexpr std::size_t maxTasksPerJob = 50'000;
/** Occurrences that are due are opened while fewer tasks than this wait in steps whose turn has come. A placement pass needs no more. */
inline constexpr std::size_t occurrenceWindowTasks = 512;
/** The most occurrences of a job that are open at a time. */
std::size_t maxOpenOccurrences(const job_spec &spec);

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
    /** What the job is charged for in the account of the lease holder's memory. */
    job_size charged;
    /** Number of the batch that stores the job's latest change. */
    std::int64_t batch = 0;

    bool ended() const
    {
        return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
    }

    /** Creates the occurrences that are due at this time, as far as occurrenceWindowTasks and maxOpenOccurrences allow. */
    void openDueOccurrences(time_ms unixMs);
    /** Creates all occurrences up to this number that aren't finished: a former lease holder had them open. */
    void openOccurrencesUpTo(int last);
    /** Total number of occurrences; 1 for a job that isn't repeated. */
    int occurrenceCount() const;
    /** True if all steps that must be done before this one are finished. */
    bool isStepReady(const occurrence_record &occurrence, int step) const;
    /** The step of the task; null if the id is out of range. */
    const step_spec *stepOf(const task_id &id) const;
    /** The task's own record; null if the occurrence isn't open or the id is out of range. */
    task_record *find(const task_id &id);
    /** The same to read only: a task without a record of its own gets none. */
    const task_record *find(const task_id &id) const;
    /** Calls `visit(id, task)` for every task that occupies an executor. `visit` must not finish tasks. */
    template<typename Visit>
    void forEachOccupying(Visit visit);
    /** The same for the tasks in this phase that have been placed at least once. */
    template<typename Visit>
    void forEachPlacedIn(task_phase wanted, Visit visit);
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
    /** Drops what an ended job without runs doesn't need any more. */
    void trim();

private:
    void openNextOccurrence(int number);
    /** Whether the occurrence is open and has the task. */
    bool isOpen(const task_id &id) const;
    /** Number of tasks of the occurrence that wait, in steps whose turn has come. */
    std::size_t readyTasksOf(const occurrence_record &occurrence) const;
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
            for (std::pair<const std::size_t, task_record> &task : occurrence.second.steps[step].tasks.records()) {
                if (wanted(task.second)) {
                    visit(task_id{spec.id, occurrence.first, static_cast<int>(step), static_cast<int>(task.first)}, task.second);
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
void job_record::forEachPlacedIn(task_phase wanted, Visit visit)
{
    forEachTask(
        [wanted](const task_record &task) {
            return task.phase == wanted;
        },
        visit);
}

} // namespace daisypass::sched
