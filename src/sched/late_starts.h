#pragma once

// The start orders without an answer, by task. Each may still be carried out: later, and by its executor's next incarnation too.
//
//     late_starts starts;
//     starts.add({task, run}, now);
//     if (std::optional<time_ms> until = starts.mayComeUntil(task, doneRun)) { ... another run of the task may begin until then ... }
//     starts.carriedOut({task, run});
//     starts.expire(now);

#include "sched/abandoned_runs.h"
#include "sched/model.h"

#include <map>
#include <optional>

namespace daisypass::sched {

class late_starts
{
public:
    /** The start of the run has had no answer, and was sent at `sentAt` or before. */
    void add(const run_id &run, time_ms sentAt);
    /** The run has begun, so its start can't come any more; false if its start isn't one without an answer. */
    bool carriedOut(const run_id &run);
    /** Until when a run of the task other than this one may begin; empty if none may. */
    std::optional<time_ms> mayComeUntil(const task_id &task, int exceptRun) const;
    /** Removes the starts that can't be carried out any more. */
    void expire(time_ms now);

private:
    /** Until when each may be carried out. */
    std::map<run_id, time_ms> m_until;
};

} // namespace daisypass::sched
