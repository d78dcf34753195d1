#pragma once

// The result of a simulated day, computed from the times at which its jobs ended.

#include "load_demand.h"
#include "sched/scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace daisypass::sched {

/** Jobs have to be finished this long after the last arrival. */
constexpr time_ms loadFinishMs = 14'000;

/** The longest waits of tasks whose run was lost in a crash of its executor, from the crash until the task's next start. */
struct longest_waits
{
    time_ms anyMs = 0;
    /** The wait at a time at which no executor had crashed for 7 s. */
    time_ms calmMs = 0;
    /**
     * Time on end, from 6 s after the crash, in which the task's pool had room for it twice over. For tasks that aren't long-running, less
     * than half of the pool was in use as well, and nothing of the job was running.
     */
    time_ms withRoomMs = 0;
};

/** Counts of jobs leave out those that always fail or crash executors. */
struct load_outcome
{
    int jobs = 0;
    int inObjective = 0;
    int late = 0;
    int failed = 0;
    int unfinished = 0;
    /** Jobs that neither completed nor failed until `loadFinishMs` after the last arrival, though their objective was over by then. */
    int unfinishedInTime = 0;
    /** The tenth of the jobs with the most work, and how many of them met their objective. */
    int largestJobs = 0;
    int largestInObjective = 0;
    /** Share of the possible value that was earned: over the day, and the mean of the two worst arrival windows of 2 s. */
    double earnedShare = 0;
    double worstWindowsShare = 0;
    /** The earned share over the day of each queue, by its name. */
    std::map<std::string, double> earnedShareByQueue{};
    int moves = 0;
    double vmSecondsInPools = 0;
    /** Starts that violated a guarantee: while another run of the task was active, or beyond the executor's capacity. */
    int duplicateRuns = 0;
    int capacityViolations = 0;
    /** Jobs with a task that crashes executors, those of them that were given up, and the executors that crashed. */
    int crashingJobs = 0;
    int givenUp = 0;
    int crashes = 0;
    double crashesPerCrashingJob = 0;
    /** The most starts of one task after three executors have crashed under it. */
    int startsAfterThreeCrashes = 0;
    /** Waits of long-running tasks, and of tasks of the counted jobs. */
    longest_waits longRunningWaits;
    longest_waits otherWaits;
    scheduler_counts counts;
    /** The longest time that an event waited for the scheduler's processor. */
    time_ms longestWaitMs = 0;
};

/** A run that was lost in a crash of its executor, and whose task waits for its next start. */
struct lost_run
{
    task_id task;
    std::string pool;
    resources demand;
    bool longRunning = false;
    time_ms lostAt = 0;
    /** When there was no room for the task last. */
    time_ms noRoomAt = 0;
};

/** Measures the waits for the next starts of the tasks whose runs were lost in crashes. */
class lost_run_waits
{
public:
    /** Keeps the longest waits in `outcome`, which must outlive this. */
    explicit lost_run_waits(load_outcome &outcome);

    /** Called before the runs of the executor are added. */
    void executorCrashed(time_ms now);
    void runLost(const lost_run &run);
    /** Ends the wait of the task with this id's text, if it waits. */
    void started(const std::string &task, time_ms now);
    void jobEnded(const std::string &job, time_ms now);
    /** Measures the waits up to now; `hasRoom(run)` returns whether there is room for the task. */
    void measure(time_ms now, const std::function<bool(const lost_run &)> &hasRoom);
    /** Ends all waits. */
    void settle(time_ms now);

private:
    void note(const lost_run &run, time_ms now);

    load_outcome &m_outcome;
    std::map<std::string, lost_run> m_waiting;
    time_ms m_lastCrashAt = 0;
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
