#pragma once

// An executor as the scheduler knows it: its entry, its clock, what runs on it, and how far it can be trusted.

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

/** An executor's slowness counts after this many runs. */
inline constexpr int minSlownessSamples = 3;
/** An executor this much slower than the estimates takes work only when the others are full. */
inline constexpr double slownessThreshold = 2.5;

/** A start that got no answer; it may still be carried out. */
struct unanswered_start
{
    task_id task;
    int run = 0;
    time_ms at = 0;
};

struct executor_record
{
    executor_entry entry;
    /** The registry lists it, or did until a moment ago. */
    bool listed = false;
    /** When its entry was last read; 0 if it hasn't been in this term. */
    time_ms entryReadAt = 0;
    /** When the birth of its present life was first read. */
    time_ms incarnationSeenAt = 0;
    /** When its entry vanished; 0 while it is there. */
    time_ms unlistedAt = 0;
    /** It has answered a hold in this term, so earlier terms can't start anything on it. */
    bool confirmed = false;
    /** When it first answered. */
    time_ms confirmedAt = 0;
    /** It was asked for its runs when no stop of an earlier term could be under way any more, and has listed them. */
    bool earlierStopsSettled = false;
    /** Another incarnation or executor has taken its place; it runs nothing. */
    bool dead = false;
    /** When it was last taken as dead. */
    time_ms deadSince = 0;
    /** The ledger of orders reserves it: a move or upkeep of its VM is planned, or may yet end it. */
    bool reserved = false;

    std::int64_t clockMs = 0;
    time_ms clockAt = 0;

    bool pollInFlight = false;
    time_ms pollSentAt = 0;
    time_ms pollRetryAt = 0;
    /** Ask at once, without waiting for an end. */
    bool pollImmediately = true;
    /** When it last listed its runs. */
    time_ms listedAt = 0;
    /** When that list was asked for. */
    time_ms listAskedAt = 0;
    /** Start of the current silence; 0 while it answers. */
    time_ms unresponsiveSince = 0;
    /** When an order that extends leases was last sent. */
    time_ms lastLeaseGrantAt = 0;

    /** Number of the last end that was taken from a list of this life. */
    std::int64_t processedEnds = 0;
    /** Its latest list has ends, and no hold has been sent since. */
    bool endsListed = false;
    /** Jobs that must be stored before processedEnds may be acknowledged. */
    std::set<std::string> unstoredJobs;

    /** The latest starts without an answer, oldest first. */
    std::deque<unanswered_start> unansweredStarts;

    resources used;
    std::set<task_id> runs;
    /** Taken by listed runs that the scheduler didn't place. */
    resources foreign;

    /** No new runs before this time. */
    time_ms avoidUntil = 0;
    int failuresInRow = 0;
    /** Time that runs take here against their estimates, averaged over the latest ones; 1 when as estimated. */
    double slowness = 1.0;
    int slownessSamples = 0;
    /** Share at which tasks that fill idle capacity may work here. */
    int fillPercent = 100;
    time_ms fillChangedAt = 0;
    time_ms emptySince = 0;

    std::int64_t clockAtTime(time_ms now) const
    {
        return clockMs + (now - clockAt);
    }

    bool isSlow() const
    {
        return slownessSamples >= minSlownessSamples && slowness > slownessThreshold;
    }

    resources freeCapacity() const
    {
        resources room = entry.capacity;
        room -= used;
        room -= foreign;
        return room;
    }

    bool hasLabel(const std::string &label) const
    {
        return label.empty() || std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
    }

    bool answers() const
    {
        return confirmed && unresponsiveSince == 0 && !dead;
    }

    bool takesNewRuns(time_ms now) const
    {
        return listed && answers() && !entry.draining && !reserved && avoidUntil <= now;
    }
};

} // namespace daisypass::sched
