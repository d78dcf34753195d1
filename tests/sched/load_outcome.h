#pragma once

// The result of a simulated day, computed from the times at which its jobs ended.

#include "load_demand.h"
#include "sched/scheduler.h"

#include <map>
#include <set>
#include <string>

namespace daisypass::sched {

/** Counts of jobs leave out those that always fail or crash executors. */
struct load_outcome
{
    int jobs = 0;
    int inObjective = 0;
    int late = 0;
    int failed = 0;
    int unfinished = 0;
    /** The tenth of the jobs with the most work, and how many of them met their objective. */
    int largestJobs = 0;
    int largestInObjective = 0;
    /** Share of the possible value that was earned: over the day, and the mean of the two worst arrival windows of 2 s. */
    double earnedShare = 0;
    double worstWindowsShare = 0;
    int moves = 0;
    double vmSecondsInPools = 0;
    /** Starts that violated a guarantee: while another run of the task was active, or beyond the executor's capacity. */
    int duplicateRuns = 0;
    int capacityViolations = 0;
    /** Jobs with a task that crashes executors, those of them that were given up, and the executors that crashed. */
    int crashingJobs = 0;
    int givenUp = 0;
    int crashes = 0;
    /** The most starts of one task after three executors have crashed under it. */
    int startsAfterThreeCrashes = 0;
    scheduler_counts counts;
    /** The longest time that an event waited for the scheduler's processor. */
    time_ms longestWaitMs = 0;
};

/** The jobs that completed, with the time, and those that failed, by id. */
struct ended_jobs
{
    std::map<std::string, time_ms> completedAt{};
    std::set<std::string> failed{};
};

/** Counts the jobs by how they ended and sums up the value that they earned; jobs that always fail are left out. */
void evaluateJobs(const std::map<std::string, simulated_job> &jobs, const ended_jobs &ended, load_outcome &outcome);

} // namespace daisypass::sched
