#pragma once

// Detects stragglers: runs that are slow because of their executor, not because they have more work than estimated.
//
//     pace_evidence evidence{estimateMs, siblingsMs, executorSlowdown, executorJobs, executorIsSlow};
//     if (isStraggler(pace, evidence)) { ... stop the run and place the task elsewhere ... }
//
// An executor may respond normally and yet work at a fraction of its speed. Stopping a run discards its work, so a long task on a
// healthy executor must not be taken for a straggler: a run that exceeds its estimate is not enough evidence.

#include "sched/model.h"

#include <optional>
#include <span>
#include <vector>

namespace daisypass::sched {

/** The progress of one run since it was first observed: at its start, or later if an earlier lease holder started it. */
struct run_pace
{
    /** Time from the first observation to the latest progress. */
    double ranMs = 0;
    /** Share of the task's work that the run has done, in hundredths. */
    int percent = 0;
    /** Time from the latest progress to the executor's latest list of runs. */
    double sinceProgressMs = 0;
    /** `percent` at the first observation. */
    int initialPercent = 0;

    /** Projected duration of the whole run at its present speed; nothing before it has made enough progress. */
    std::optional<double> totalMs() const;
    /** Projected time to the end of the run; nothing before it has made enough progress. */
    std::optional<double> remainingMs() const;
};

struct pace_evidence
{
    double estimateMs = 0;
    /** Durations, projected or measured, of the same step's tasks on other executors. */
    std::vector<double> siblingsMs;
    /** Median ratio of projected duration to estimate over the executor's present runs. */
    double executorSlowdown = 1.0;
    /** Number of jobs that these runs belong to. */
    int executorJobs = 0;
    /** True if runs that ended on the executor were slow. */
    bool executorIsSlow = false;
};

/**
 * True if the run would end much sooner when restarted on another executor, and its executor is the cause. That is shown by tasks of the
 * same step on other executors, whose durations are the measure, or without enough of them by other slow runs on the executor.
 */
bool isStraggler(const run_pace &pace, const pace_evidence &evidence);

/** The median, or the upper of the two middle values; 0 for no values. */
double medianOf(std::span<const double> values);

} // namespace daisypass::sched
