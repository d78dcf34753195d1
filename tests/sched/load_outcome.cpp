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
    value_sum day;
    for (const simulated_job *job : jobs) {
        const value_sum value = valueOf(*job, ended);
        windows[job->submittedAt / windowMs] += value;
        day += value;
    }
    outcome.earnedShare = day.earned / std::max(day.possible, 1e-9);
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const std::pair<const time_ms, value_sum> &window : windows) {
        shares.push_back(window.second.earned / window.second.possible);
    }
    std::sort(shares.begin(), shares.end());
    outcome.worstWindowsShare = shares.size() < 2 ? 0 : (shares[0] + shares[1]) / 2;
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

void evaluateJobs(const std::map<std::string, simulated_job> &jobs, const ended_jobs &ended, load_outcome &outcome)
{
    const std::vector<const simulated_job *> sorted = sortByWork(jobs);
    evaluateValue(sorted, ended, outcome);
    countEnds(sorted, ended, outcome);
    for (const std::pair<const std::string, simulated_job> &job : jobs) {
        outcome.crashingJobs += job.second.crashingTask.empty() ? 0 : 1;
        outcome.givenUp += !job.second.crashingTask.empty() && ended.failed.contains(job.first) ? 1 : 0;
    }
}

} // namespace daisypass::sched
