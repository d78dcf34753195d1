#pragma once

// What a modelled day came to, and how it is counted from the jobs' ends.

#include "load_demand.h"
#include "sched/scheduler.h"

#include <map>
#include <set>
#include <string>

namespace daisypass::sched {

struct load_outcome
{
    int jobs = 0;
    int inObjective = 0;
    int late = 0;
    int failed = 0;
    int unfinished = 0;
    /** Of the tenth of jobs with the most work. */
    int largest = 0;
    int largestInObjective = 0;
    /** Worth earned of the worth owed: over the day, and over the two worst windows of 2 s. */
    double earnedShare = 0;
    double worstWindowsShare = 0;
    int moves = 0;
    double vmSecondsInPools = 0;
    /** Broken promises seen by the executors: two runs of a task at once, or more than a capacity. */
    int doubleRuns = 0;
    int overfull = 0;
    scheduler_counts counts;
};

/** The jobs that ended, by their ids. */
struct ended_jobs
{
    std::map<std::string, time_ms> completedAt{};
    std::set<std::string> failed{};
};

/** Counts the jobs by their ends and sums up what they earned; hopeless jobs don't count. */
void judge(const std::map<std::string, modelled_job> &jobs, const ended_jobs &ended, load_outcome &outcome);

} // namespace daisypass::sched
