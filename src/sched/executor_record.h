#pragma once

// The scheduler's state of one executor: its registry entry, clock, runs, polls, health and backoff.
//
//     if (executor.takesNewRuns(now) && demand.fitsIn(executor.freeCapacity())) { ... place a task on it ... }

#include "sched/abandoned_runs.h"
#include "sched/deferred_ends.h"
#include "sched/events.h"
#include "sched/model.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisypass::sched {

/** Number of runs after which an executor's slowness is taken into account. */
inline constexpr int minSlownessSamples = 3;
/** An executor whose runs take more than this multiple of their estimates gets work only when the others are full. */
inline constexpr double slownessThreshold = 2.5;

/** A start order without an answer; it may still be carried out. */
struct unanswered_start
{
    task_id task;
    int run = 0;
    time_ms at = 0;
};

/** What a registry entry says of another executor of the same VM: that it has been replaced. */
struct replacement_claim
{
    std::string successor;
    std::int64_t successorStartedUnixMs = 0;
    /** When the successor's entry was read. */
    time_ms readAt = 0;
};

struct executor_record
{
    executor_entry entry;
    /** The registry has an entry for the executor, or had one within the grace period. */
    bool listed = false;
    /** When the entry was last read; 0 if it has not been read in this term. */
    time_ms entryReadAt = 0;
    /** When the start time of its current incarnation was first read. */
    time_ms incarnationFirstSeenAt = 0;
    /** When the entry was removed from the registry; 0 while it exists. */
    time_ms unlistedAt = 0;
    /** The executor has answered a poll in this term, so it refuses start orders of earlier terms. */
    bool confirmed = false;
    /** When it first answered a poll of this term. */
    time_ms confirmedAt = 0;
    /** It has listed its runs in answer to a poll that was sent after all stop orders of earlier terms had taken effect. */
    bool earlierStopsSettled = false;
    /**
     * A later incarnation or another executor has replaced it, or its VM was moved or taken down. Its runs count as lost, except those
     * whose start orders have no answer.
     */
    bool dead = false;
    /** The claim that it was replaced, until its own answer refutes it or its silence confirms it. It gets no new runs meanwhile. */
    std::optional<replacement_claim> replacement;
    /** When it was last marked dead. */
    time_ms deadSince = 0;
    /** The order ledger reserves it: a move or maintenance of its VM is planned, or may still end the executor. */
    bool reserved = false;

    /** The last known reading of the executor's clock, and this process's time when it was read. */
    std::int64_t clockMs = 0;
    time_ms clockAt = 0;

    /**
     * How often it has restarted under its id in this term. Its orders carry the term plus this number as their fencing token, so that it refuses
     * orders to a former incarnation that are carried out late, once one to the current incarnation has reached it.
     */
    int restarts = 0;

    bool pollInFlight = false;
    time_ms pollSentAt = 0;
    time_ms pollRetryAt = 0;
    /** The next poll is sent at once and returns without waiting for a run to end. */
    bool pollImmediately = true;
    /** When it last listed its runs. */
    time_ms listedAt = 0;
    /** When the poll that returned that list was sent. */
    time_ms listAskedAt = 0;
    /** Number of lists in this term. */
    std::int64_t listNumber = 0;
    /** Number of the list with which the progress of its runs was last checked. */
    std::int64_t checkedListNumber = 0;
    /** Since when the executor has not answered; 0 while it answers. */
    time_ms unresponsiveSince = 0;
    /** When an order that grants or extends leases was last sent. */
    time_ms lastLeaseGrantAt = 0;

    /** Number of the last end of this incarnation that was processed. */
    std::int64_t processedEnds = 0;
    /** The latest list contains ends, and no poll has been sent since. */
    bool endsListed = false;
    /** Jobs whose rows must be stored before processedEnds may be acknowledged. */
    std::set<std::string> unstoredJobs;

    deferred_ends deferredEnds;

    /** Recent start orders without an answer, oldest first. */
    std::deque<unanswered_start> unansweredStarts;

    /** Resources used by `runs`, the tasks that are placed here. */
    resources used;
    std::set<task_id> runs;
    /** Number of long-running tasks among them. */
    int longRunningRuns = 0;
    /** The images of those among them that may interfere with others, with the number of runs. */
    std::map<std::string, int> images;
    /** Listed runs that are neither placed here nor abandoned, and the resources that they use. */
    std::vector<task_id> untrackedRuns;
    resources untracked;
    /** Runs that are no longer placed here but may still be here. */
    abandoned_runs abandoned;

    /**
     * The suspects for which the executor is kept, or that run here and whose starts the executor isn't known to have survived. It gets no
     * other runs meanwhile, so that a crash has no other suspects and takes no further runs along.
     */
    std::set<task_id> probation;
    /** No new runs before this time. */
    time_ms backoffUntil = 0;
    /** The jobs that have failed runs here since a run was last done. One job that fails again and again is no sign of the executor's fault. */
    std::set<std::string> failedJobs;
    /** Moving average of the ratio of run durations on this executor to their estimates; 1 if they match. */
    double slowness = 1.0;
    int slownessSamples = 0;
    /** Share of their usual speed, in percent, that best-effort tasks may use here. */
    int bestEffortPercent = 100;
    time_ms bestEffortChangedAt = 0;
    /** Since when nothing runs here; 0 while something does. */
    time_ms emptySince = 0;

    /** The executor's clock extrapolated to this process's time. */
    std::int64_t clockAtTime(time_ms now) const
    {
        return clockMs + (now - clockAt);
    }

    /** Whether a run that is no longer placed here may still start here, in this incarnation or the next one. */
    bool mayStartLate() const
    {
        return !unansweredStarts.empty() || !abandoned.empty();
    }

    bool isSlow() const
    {
        return slownessSamples >= minSlownessSamples && slowness > slownessThreshold;
    }

    resources freeCapacity() const
    {
        resources remaining = entry.capacity;
        remaining -= used;
        remaining -= untracked;
        remaining -= abandoned.demand();
        return remaining;
    }

    bool hasLabel(const std::string &label) const
    {
        return label.empty() || std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
    }

    bool isResponsive() const
    {
        return confirmed && unresponsiveSince == 0 && !dead;
    }

    bool takesNewRuns(time_ms now) const
    {
        return probation.empty() && mayRunSuspect(now);
    }

    /** Whether it takes the runs of the suspects for which it is kept. */
    bool mayRunSuspect(time_ms now) const
    {
        return listed && isResponsive() && !replacement && !entry.draining && !reserved && !deferredEnds.awaitsLeaseEnd() && backoffUntil <= now;
    }
};

} // namespace daisypass::sched
