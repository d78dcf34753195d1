#pragma once

// Runs on one executor that are no longer needed but may still be there, or may still start there: a start order without an answer can
// be carried out seconds later.
//
//     abandoned_runs runs;
//     runs.add({task, run}, demand, startSentAt);
//     for (const run_id &due : runs.takeDueStops(now)) { ... send a stop ... }
//     runs.stopUnanswered({task, run});
//     runs.stopConfirmed({task, run}, now);
//     runs.applyList(listed, askedAt);
//
// Each uses capacity until a list shows that it is gone: one requested after the executor confirmed a stop, which then refuses a late
// start, or after the time within which late orders are carried out.

#include "sched/model.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace daisypass::sched {

/** An order without an answer is carried out within this time or not at all. */
inline constexpr time_ms maxOrderDelayMs = 12'000;

/** A stop is repeated after this time unless it is confirmed. */
inline constexpr time_ms stopRetryMs = 1'300;
/** A stop that is known to have had no answer is repeated after this time: the start may be carried out meanwhile. */
inline constexpr time_ms unansweredStopRetryMs = 100;

/** A task's run, by its number. */
using run_id = std::pair<task_id, int>;

class abandoned_runs
{
public:
    /** `startSentAt` is when the start order was sent, or a later time if that isn't known. */
    void add(const run_id &run, const resources &demand, time_ms startSentAt);
    /** Records that a stop has just been sent, so that the next one is due after the retry interval. */
    void stopSent(const run_id &run, time_ms now);
    /** The latest stop of the run had no answer. */
    void stopUnanswered(const run_id &run);
    /** The runs whose stop must be sent now; each is due again after the retry interval until it is confirmed. */
    std::vector<run_id> takeDueStops(time_ms now);
    /** The executor has confirmed a stop of the run. */
    void stopConfirmed(const run_id &run, time_ms now);
    /** The executor has listed the run's end. */
    void ended(const run_id &run);
    /** Applies a list of the executor's runs that was requested at `askedAt`. */
    void applyList(const std::set<run_id> &listed, time_ms askedAt);
    /** A new incarnation runs under the executor's id. It doesn't know the stops that the former one confirmed. */
    void executorRestarted();

    bool contains(const run_id &run) const
    {
        return m_runs.contains(run);
    }
    bool empty() const
    {
        return m_runs.empty();
    }
    std::vector<run_id> runs() const;
    /** Capacity that the runs use or may use. */
    const resources &demand() const
    {
        return m_demand;
    }

private:
    struct state
    {
        resources demand;
        time_ms startSentAt = 0;
        /** When the latest stop was sent; 0 before the first. */
        time_ms stopSentAt = 0;
        /** That stop had no answer. */
        bool stopUnanswered = false;
        /** When the executor confirmed a stop; 0 if it hasn't. */
        time_ms confirmedAt = 0;
    };

    std::map<run_id, state> m_runs;
    resources m_demand;
};

} // namespace daisypass::sched
