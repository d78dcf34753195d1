#pragma once

// The scheduler's record of one task: its phase, its runs, and what is known of the current one.

#include "sched/model.h"
#include "sched/run_pace.h"

#include <cstdint>
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

} // namespace daisypass::sched
