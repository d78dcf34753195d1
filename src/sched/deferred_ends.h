#pragma once

// The ends of done runs on one executor whose acknowledgement is deferred, because a start order without an answer may still begin another
// run of the task.
//
//     deferred_ends ends;
//     ends.defer(number, {task, run}, mayComeUntil);
//     order.acknowledged = ends.acknowledgeable(processedEnds);
//     ends.expire(now);
//
// A done run counts for the rule that no task runs twice once its end is acknowledged. If another run begins while the end is deferred, the
// end is acknowledged only after the leases of the executor have ended, which void it.

#include "sched/abandoned_runs.h"
#include "sched/model.h"

#include <cstdint>
#include <map>
#include <set>

namespace daisypass::sched {

class deferred_ends
{
public:
    /** Defers the end with this number, of this done run, until this time. */
    void defer(std::int64_t number, const run_id &run, time_ms until);
    /** This run has begun. If another run of its task has a deferred end, that end stays deferred until the executor's leases have ended. */
    void begun(const run_id &run);
    /** Removes the ends whose time has passed. */
    void expire(time_ms now);
    /** Removes all ends: the executor's leases have ended, or too many ends would wait behind them. */
    void clear()
    {
        m_ends.clear();
    }

    bool empty() const
    {
        return m_ends.empty();
    }
    /** Whether an end stays deferred until the executor's leases have ended. */
    bool awaitsLeaseEnd() const;
    /** Adds the tasks of these ends. */
    void addTasksTo(std::set<task_id> &tasks) const;
    /** The number up to which ends may be acknowledged if those up to `processed` have been applied. */
    std::int64_t acknowledgeable(std::int64_t processed) const;

private:
    struct deferred_end
    {
        run_id run;
        time_ms until = 0;
        bool awaitsLeaseEnd = false;
    };

    /** By the number of the end. */
    std::map<std::int64_t, deferred_end> m_ends;
};

} // namespace daisypass::sched
