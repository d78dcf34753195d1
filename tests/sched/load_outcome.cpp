#include "load_outcome.h"

#include <algorithm>
#include <limits>
#include <span>
#include <vector>

namespace daisypass::sched {
namespace {

// A job that misses its objective and completes within this multiple of it is late and earns lateValueShare of its value. After that
// it earns nothing.
constexpr double lateFactor = 3.0;
constexpr double lateValueShare = 0.07;
// A job's value grows with its work, from a fixed share of the mean job's value up to a multiple of it.
constexpr double fixedValueShare = 0.3;
constexpr double maxValueFactor = 4.0;
constexpr time_ms windowMs = 2'000;
constexpr int largestJobsDivisor = 10;
// LOST in the platform's rules: 3 s of the wait and the 4 s before them are calm, and it counts from 6 s after the task's last run.
constexpr time_ms calmMs = 7'000;
constexpr time_ms roomCountsAfterMs = 6'000;

struct value_sum
{
    double earned = 0;
    double possible = 0;

    value_sum &operator+=(const value_sum &other)
    {
        earned += other.earned;
        possible += other.possible;
        return *this;
    }
};

double responseMs(const simulated_job &job, const ended_jobs &ended)
{
    const auto done = ended.completedAt.find(job.spec.id);
    return done == ended.completedAt.end() ? std::numeric_limits<double>::infinity() : static_cast<double>(done->second - job.submittedAt);
}

bool isInObjective(const simulated_job &job, double elapsedMs)
{
    return elapsedMs <= static_cast<double>(job.objectiveMs);
}

bool isWithinLateLimit(const simulated_job &job, double elapsedMs)
{
    return elapsedMs <= lateFactor * static_cast<double>(job.objectiveMs);
}

std::vector<const simulated_job *> sortByWork(const std::map<std::string, simulated_job> &jobs)
{
    std::vector<const simulated_job *> sorted;
    for (const std::pair<const std::string, simulated_job> &job : jobs) {
        if (!job.second.alwaysFails && job.second.crashingTask.empty()) {
            sorted.push_back(&job.second);
        }
    }
    std::sort(sorted.begin(), sorted.end(), [](const simulated_job *a, const simulated_job *b) {
        return a->work > b->work;
    });
    return sorted;
}

value_sum valueOf(const simulated_job &job, const ended_jobs &ended)
{
    const double value = job.value * std::min(maxValueFactor, fixedValueShare + (1 - fixedValueShare) * job.work / job.meanWork);
    const double elapsedMs = responseMs(job, ended);
    if (isInObjective(job, elapsedMs)) {
        return {value, value};
    }
    return {isWithinLateLimit(job, elapsedMs) ? lateValueShare * value : 0, value};
}

void evaluateValue(std::span<const simulated_job *const> jobs, const ended_jobs &ended, load_outcome &outcome)
{
    std::map<time_ms, value_sum> windows;
    std::map<std::string, value_sum> queues;
    value_sum day;
    for (const simulated_job *job : jobs) {
        const value_sum value = valueOf(*job, ended);
        windows[job->submittedAt / windowMs] += value;
        queues[job->queue] += value;
        day += value;
    }
    outcome.earnedShare = day.earned / std::max(day.possible, 1e-9);
    for (const std::pair<const std::string, value_sum> &queue : queues) {
        outcome.earnedShareByQueue[queue.first] = queue.second.earned / queue.second.possible;
    }
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const std::pair<const time_ms, value_sum> &window : windows) {
        shares.push_back(window.second.earned / window.second.possible);
    }
    std::sort(shares.begin(), shares.end());
    outcome.worstWindowsShare = shares.size() < 2 ? 0 : (shares[0] + shares[1]) / 2;
}

void countUnfinishedInTime(const std::map<std::string, simulated_job> &all,
                           std::span<const simulated_job *const> counted,
                           const ended_jobs &ended,
                           load_outcome &outcome)
{
    time_ms lastArrival = 0;
    for (const std::pair<const std::string, simulated_job> &job : all) {
        lastArrival = std::max(lastArrival, job.second.submittedAt);
    }
    for (const simulated_job *job : counted) {
        const auto done = ended.completedAt.find(job->spec.id);
        const bool inTime = done != ended.completedAt.end() && done->second <= lastArrival + loadFinishMs;
        const bool due = job->submittedAt + job->objectiveMs <= lastArrival + loadFinishMs;
        outcome.unfinishedInTime += inTime || !due || ended.failed.contains(job->spec.id) ? 0 : 1;
    }
}

void countEnds(std::span<const simulated_job *const> jobs, const ended_jobs &ended, load_outcome &outcome)
{
    outcome.jobs = static_cast<int>(jobs.size());
    outcome.largestJobs = outcome.jobs / largestJobsDivisor;
    int rank = 0;
    for (const simulated_job *job : jobs) {
        const bool amongLargest = rank++ < outcome.largestJobs;
        if (!ended.completedAt.contains(job->spec.id)) {
            ++(ended.failed.contains(job->spec.id) ? outcome.failed : outcome.unfinished);
            continue;
        }
        const double elapsedMs = responseMs(*job, ended);
        const bool inTime = isInObjective(*job, elapsedMs);
        outcome.inObjective += inTime ? 1 : 0;
        outcome.largestInObjective += inTime && amongLargest ? 1 : 0;
        outcome.late += !inTime && isWithinLateLimit(*job, elapsedMs) ? 1 : 0;
    }
}

} // namespace

lost_run_waits::lost_run_waits(load_outcome &outcome)
    : m_outcome(outcome)
{
}

void lost_run_waits::executorCrashed(time_ms now)
{
    for (const std::pair<const std::string, lost_run> &waiting : m_waiting) {
        note(waiting.second, now);
    }
    m_lastCrashAt = now;
}

void lost_run_waits::runLost(const lost_run &run)
{
    m_waiting[run.task.text()] = run;
}

void lost_run_waits::started(const std::string &task, time_ms now)
{
    const auto found = m_waiting.find(task);
    if (found != m_waiting.end()) {
        note(found->second, now);
        m_waiting.erase(found);
    }
}

void lost_run_waits::jobEnded(const std::string &job, time_ms now)
{
    std::erase_if(m_waiting, [&](const std::pair<const std::string, lost_run> &waiting) {
        const bool ended = waiting.second.task.job == job;
        if (ended) {
            note(waiting.second, now);
        }
        return ended;
    });
}

void lost_run_waits::measure(time_ms now, const std::function<bool(const lost_run &)> &hasRoom)
{
    for (std::pair<const std::string, lost_run> &waiting : m_waiting) {
        lost_run &run = waiting.second;
        if (now - run.lostAt < roomCountsAfterMs || !hasRoom(run)) {
            run.noRoomAt = now;
        }
        longest_waits &longest = run.longRunning ? m_outcome.longRunningWaits : m_outcome.otherWaits;
        longest.withRoomMs = std::max(longest.withRoomMs, now - run.noRoomAt);
    }
}

void lost_run_waits::settle(time_ms now)
{
    for (const std::pair<const std::string, lost_run> &waiting : m_waiting) {
        note(waiting.second, now);
    }
    m_waiting.clear();
}

void lost_run_waits::note(const lost_run &run, time_ms now)
{
    longest_waits &longest = run.longRunning ? m_outcome.longRunningWaits : m_outcome.otherWaits;
    longest.anyMs = std::max(longest.anyMs, now - run.lostAt);
    if (now - m_lastCrashAt >= calmMs) {
        longest.calmMs = std::max(longest.calmMs, now - run.lostAt);
    }
}

void evaluateJobs(const std::map<std::string, simulated_job> &jobs, const ended_jobs &ended, load_outcome &outcome)
{
    const std::vector<const simulated_job *> sorted = sortByWork(jobs);
    evaluateValue(sorted, ended, outcome);
    countEnds(sorted, ended, outcome);
    countUnfinishedInTime(jobs, sorted, ended, outcome);
    for (const std::pair<const std::string, simulated_job> &job : jobs) {
        outcome.crashingJobs += job.second.crashingTask.empty() ? 0 : 1;
        outcome.givenUp += !job.second.crashingTask.empty() && ended.failed.contains(job.first) ? 1 : 0;
    }
    outcome.crashesPerCrashingJob = static_cast<double>(outcome.crashes) / std::max(1, outcome.crashingJobs);
}

} // namespace daisypass::sched
