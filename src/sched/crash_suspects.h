#pragma once

// Finds out which run can have crashed an executor.
//
//     std::vector<run_start> starts = ...;    // of the runs that were on the executor
//     for (const task_id &suspect : crashSuspects(starts, executor.clockAt)) { ... }
//
// A task that crashes executors does so when it is started. An executor that has answered some time after a run's start has survived
// the start, so the suspects are the runs that were started later than that.

#include "sched/model.h"

#include <span>
#include <vector>

namespace daisypass::sched {

/** An executor that has answered this long after a run's start has survived the start. */
inline constexpr time_ms startSurvivedMs = 250;

struct run_start
{
    task_id task;
    /** When the executor confirmed the start, or when the order was sent if it hasn't. */
    time_ms startedAt = 0;
};

/** Whether an executor that last answered at `heardAt` has survived the start. */
bool hasSurvived(const run_start &start, time_ms heardAt);

/** The tasks whose starts the executor is not known to have survived. */
std::vector<task_id> crashSuspects(std::span<const run_start> starts, time_ms heardAt);

} // namespace daisypass::sched
