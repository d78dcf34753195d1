#pragma once

// The start orders without an answer, by task. Each may still be carried out: later, and by its executor's next incarnation too.
//
//     late_starts starts;
//     starts.add({task, run}, now);
//     if (std::optional<time_ms> until = starts.mayComeUntil(task, doneRun)) { ... another run of the task may begin until then ... }
//     starts.carriedOut({task, run});
//     starts.expire(now);
//
//     std::string row = starts.writeRow(tasks, now);           // write it to the store
//     for (const late_start &start : readLateStarts(row)) { ... }    // after a takeover

#include "sched/abandoned_runs.h"
#include "sched/model.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass::sched {

/** A start order of an earlier lease holder that had no answer. */
struct late_start
{
    run_id run;
    std::string executor;
    /** Time until which it may be carried out, from when its row was written. */
    time_ms remainingMs = 0;
};

/** The starts in a row of late_starts::writeRow; entries that can't be read are left out. */
std::vector<late_start> readLateStarts(std::string_view row);

class late_starts
{
public:
    /** The start of the run has had no answer, and was sent at `sentAt` or before. */
    void add(const run_id &run, const std::string &executor, time_ms sentAt);
    /** The run has begun, so its start can't come any more; false if its start isn't one without an answer. */
    bool carriedOut(const run_id &run);
    /** Until when a run of the task other than this one may begin; empty if none may. */
    std::optional<time_ms> mayComeUntil(const task_id &task, int exceptRun) const;
    /** Removes the starts that can't be carried out any more. */
    void expire(time_ms now);
    /** The starts of these tasks as a row. */
    std::string writeRow(const std::set<task_id> &tasks, time_ms now) const;

private:
    struct pending_start
    {
        std::string executor;
        /** Until when it may be carried out. */
        time_ms until = 0;
    };

    std::map<run_id, pending_start> m_starts;
};

} // namespace daisypass::sched
