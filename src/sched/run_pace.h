#pragma once

// Tells runs that are slow because of their executor from runs that have more work than estimated.
//
//     pace_evidence evidence{estimateMs, siblingsMs, executorSlowdown, executorIsSlow};
//     if (isStraggler(pace, evidence)) { ... stop the run and place the task elsewhere ... }
//
// The failure it answers: an executor that answers and works at a fraction of its speed. The work that such a stop throws away
// is lost for good, so a long task on a sound executor must not be taken for a straggler: estimates alone are no evidence.

#include "sched/model.h"

#include <optional>
#include <span>
#include <vector>

namespace daisypass::sched {

/** The progress of one run since it started, or since it was first seen. */
struct run_pace
{
    /** From then to the latest progress. */
    double ranMs = 0;
    /** Share of the task's work that the run has done, in hundredths. */
    int percent = 0;
    /** From the latest progress to the latest list. */
    double sinceProgressMs = 0;
    /** The percent when it was first seen. */
    int initialPercent = 0;

    /** Duration of the whole run if it goes on as it did; nothing before it has made enough progress to tell. */
    std::optional<double> totalMs() const;
    /** What is left of it. */
    std::optional<double> remainingMs() const;
};

struct pace_evidence
{
    double estimateMs = 0;
    /** Durations, expected or measured, of the step's tasks on other executors. */
    std::vector<double> siblingsMs;
    /** Time that the executor's present runs take against their estimates (median), and of how many jobs they are. */
    double executorSlowdown = 1.0;
    int executorJobs = 0;
    /** The runs that ended there were slow. */
    bool executorIsSlow = false;
};

/** The run would be over sooner if it began anew on another executor, and the executor is the reason. */
bool isStraggler(const run_pace &pace, const pace_evidence &evidence);

/** 0 for no values. */
double medianOf(std::span<const double> values);

} // namespace daisypass::sched
