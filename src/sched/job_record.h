#pragma once

// A job as the scheduler keeps it: the phase of each task, and the row that lasts.
//
//     job_record job(spec);
//     job.openDueOccurrences(unixMs);
//     std::string row = writeState(job);
//     readState(row, job);                       // after a takeover
//
// The row names for each task that may run somewhere its run number and executor, so that whoever reads it knows where a
// run can be. It is stored before the run's start order is sent.

#include "sched/model.h"
#include "sched/run_pace.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass::sched {

enum class task_phase {
    Waiting,
    /** Assigned to an executor; the row is not stored yet. */
    Placing,
    /** The start order is on its way. */
    Starting,
    /** The run may or may not be on its executor. */
    Unconfirmed,
    Running,
    /** A stop order was or will be sent. */
    Stopping,
    Done,
};

struct task_record
{
    task_phase phase = task_phase::Waiting;
    /** Number of the latest run; 0 before the first. */
    int run = 0;
    /** Numbers of the runs that ended as failed. An end is listed again after a takeover and must count once. */
    std::vector<int> failedRuns;
    /** Where the latest run is; empty while waiting or done. */
    std::string executor;
    std::string checkpoint;
    /** Executor of the latest failed run, which the next run avoids. */
    std::string avoidedExecutor;

    // Not stored.
    /** Batch that stores the placement. */
    std::int64_t batch = 0;
    /** When the executor was known to have the run, or to refuse it after a stop. */
    time_ms confirmedAt = 0;
    time_ms orderedAt = 0;
    /** Birth of the life that has listed or confirmed the run; 0 if none has. */
    std::int64_t reporterStartedUnixMs = 0;
    time_ms stopSentAt = 0;
    /** The stop only makes sure that the run, which no list shows, isn't there; it is still wanted. */
    bool stopConfirmsAbsence = false;
    /** When a stop was acknowledged; 0 if none was. */
    time_ms stopAckedAt = 0;
    /** Not placed before this time. */
    time_ms notBefore = 0;
    int percent = 0;
    /** The percent at confirmedAt; above 0 if this holder hasn't seen the run's beginning. */
    int confirmedPercent = 0;
    /** The run went on from a checkpoint, so its progress says nothing of its speed. */
    bool resumed = false;
    /** The task has been given up as a straggler once; a second time its work is the reason, not its executor. */
    bool straggled = false;
    /** Duration and executor of the run that did the whole task; 0 if it wasn't one run. */
    time_ms runDurationMs = 0;
    std::string completedOn;
    /** When percent last rose. */
    time_ms progressAt = 0;
    /** Set when the run was placed by an earlier holder of the lease. */
    bool inherited = false;
    /** Long-running tasks: when the task was last not at work, or since when it isn't. */
    time_ms availabilityChangedAt = 0;
    bool available = false;
    int pacedPercent = 100;

    int failures() const
    {
        return static_cast<int>(failedRuns.size());
    }

    /** Its progress by a list of this time; without a percent for a run that went on from a checkpoint. */
    run_pace paceAt(time_ms listedAt) const;

    /** False if the failure of this run was counted before. */
    bool countFailure(int failedRun);

    bool occupies() const
    {
        return phase != task_phase::Waiting && phase != task_phase::Done;
    }
};

/** Permission to run a step on one executor. */
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

    // Not stored: what the advice service said of the step, by executor.
    std::map<std::string, advice_ticket> tickets;
    std::set<std::string> advisedAgainst;
    bool adviceAsked = false;
    time_ms adviceRetryAt = 0;

    bool finished() const
    {
        return done == static_cast<int>(tasks.size());
    }
};

struct occurrence_record
{
    int number = 0;
    time_ms dueUnixMs = 0;
    std::vector<step_record> steps;

    bool finished() const;
};

enum class job_phase { Pending, Running, Completed, Failed, Cancelled };

std::string_view nameOf(job_phase phase);

struct job_record
{
    explicit job_record(job_spec jobSpec);

    job_spec spec;
    job_phase phase = job_phase::Pending;
    std::map<int, occurrence_record> occurrences;
    /** Occurrences below this number are done and dropped. */
    int firstOpen = 0;
    /** On this process's clock. */
    time_ms acceptedAt = 0;
    time_ms endedAt = 0;
    /** When the deletion of its submission was last asked for; 0 if it wasn't. */
    time_ms deletionRequestedAt = 0;
    /** The row must be stored again. */
    bool dirty = false;
    /** The scheduler looks at the job when it places tasks. */
    bool inBacklog = false;
    /** Longest chain of estimates over all steps. */
    std::int64_t criticalPathMs = 0;
    /** Batch that stores the job's latest change. */
    std::int64_t batch = 0;

    bool ended() const
    {
        return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
    }

    /** Creates the occurrences that are due at this time. */
    void openDueOccurrences(time_ms unixMs);
    /** Number of occurrences over the job's life. */
    int occurrenceCount() const;
    bool stepIsOpen(const occurrence_record &occurrence, int step) const;
    task_record *find(const task_id &id);
    /** Calls `visit` for every task that occupies an executor. */
    void eachOccupied(const std::function<void(const task_id &, task_record &)> &visit);
    bool anyOccupied() const;
    /** Drops finished occurrences and says whether all are done. */
    bool dropFinished();
    /** Core-milliseconds that waiting tasks still need, by the estimates. */
    double waitingWork() const;
    /** Longest chain of estimates over the steps that aren't finished. */
    std::int64_t remainingCriticalPathMs() const;
    bool hasLongRunning() const;
};

std::string writeState(const job_record &job);
/** The phase in a row, for answers to callers; empty if the row can't be read. */
std::string phaseIn(std::string_view row);
/** False if the row can't be read; the job is then unchanged. */
bool readState(std::string_view row, job_record &job);

} // namespace daisypass::sched
