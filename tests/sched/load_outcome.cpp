#include "load_outcome.h"

#include <algorithm>
#include <limits>
#include <span>
#include <vector>

namespace daisypass::sched {
namespace {

// A job that ends within this multiple of its objective is late; after that it's worth nothing.
constexpr double lateFactor = 3.0;
constexpr double lateWorth = 0.07;
// A job's worth grows with its work, from a fixed share up to a limit.
constexpr double fixedShare = 0.3;
constexpr double mostFactor = 4.0;
constexpr time_ms windowMs = 2'000;
constexpr int largestPart = 10;

struct worth_sum
{
    double earned = 0;
    double owed = 0;

    worth_sum &operator+=(const worth_sum &other)
    {
        earned += other.earned;
        owed += other.owed;
        return *this;
    }
};

double tookMs(const modelled_job &job, const ended_jobs &ended)
{
    const auto done = ended.completedAt.find(job.spec.id);
    return done == ended.completedAt.end() ? std::numeric_limits<double>::infinity() : static_cast<double>(done->second - job.submittedAt);
}

bool isInObjective(const modelled_job &job, double took)
{
    return took <= static_cast<double>(job.objectiveMs);
}

bool isInTimeOrLate(const modelled_job &job, double took)
{
    return took <= lateFactor * static_cast<double>(job.objectiveMs);
}

std::vector<const modelled_job *> byWork(const std::map<std::string, modelled_job> &jobs)
{
    std::vector<const modelled_job *> sorted;
    for (const std::pair<const std::string, modelled_job> &job : jobs) {
        if (!job.second.hopeless) {
            sorted.push_back(&job.second);
        }
    }
    std::sort(sorted.begin(), sorted.end(), [](const modelled_job *a, const modelled_job *b) {
        return a->work > b->work;
    });
    return sorted;
}

worth_sum worthOf(const modelled_job &job, const ended_jobs &ended)
{
    const double worth = job.worth * std::min(mostFactor, fixedShare + (1 - fixedShare) * job.work / job.meanWork);
    const double took = tookMs(job, ended);
    if (isInObjective(job, took)) {
        return {worth, worth};
    }
    return {isInTimeOrLate(job, took) ? lateWorth * worth : 0, worth};
}

void judgeWorth(std::span<const modelled_job *const> jobs, const ended_jobs &ended, load_outcome &outcome)
{
    std::map<time_ms, worth_sum> windows;
    worth_sum day;
    for (const modelled_job *job : jobs) {
        const worth_sum worth = worthOf(*job, ended);
        windows[job->submittedAt / windowMs] += worth;
        day += worth;
    }
    outcome.earnedShare = day.earned / std::max(day.owed, 1e-9);
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const std::pair<const time_ms, worth_sum> &window : windows) {
        shares.push_back(window.second.earned / window.second.owed);
    }
    std::sort(shares.begin(), shares.end());
    outcome.worstWindowsShare = shares.size() < 2 ? 0 : (shares[0] + shares[1]) / 2;
}

void countEnds(std::span<const modelled_job *const> jobs, const ended_jobs &ended, load_outcome &outcome)
{
    outcome.jobs = static_cast<int>(jobs.size());
    outcome.largest = outcome.jobs / largestPart;
    int rank = 0;
    for (const modelled_job *job : jobs) {
        const bool amongLargest = rank++ < outcome.largest;
        if (!ended.completedAt.contains(job->spec.id)) {
            ++(ended.failed.contains(job->spec.id) ? outcome.failed : outcome.unfinished);
            continue;
        }
        const double took = tookMs(*job, ended);
        const bool inTime = isInObjective(*job, took);
        outcome.inObjective += inTime ? 1 : 0;
        outcome.largestInObjective += inTime && amongLargest ? 1 : 0;
        outcome.late += !inTime && isInTimeOrLate(*job, took) ? 1 : 0;
    }
}

} // namespace

void judge(const std::map<std::string, modelled_job> &jobs, const ended_jobs &ended, load_outcome &outcome)
{
    const std::vector<const modelled_job *> sorted = byWork(jobs);
    judgeWorth(sorted, ended, outcome);
    countEnds(sorted, ended, outcome);
}

} // namespace daisypass::sched
