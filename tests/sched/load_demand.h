#pragma once

// The jobs of a modelled day: when they arrive and what they consist of, drawn from the day's seed.

#include "load_settings.h"
#include "sched/model.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace daisypass::sched {

/** When the first job can arrive. */
constexpr time_ms loadStartMs = 10'000;
/** Objective of a job: its longest chain of tasks, stretched, and a fixed time. */
constexpr double loadObjectiveStretch = 1.6;
constexpr time_ms loadObjectiveTargetMs = 600;

struct modelled_job
{
    job_spec spec;
    time_ms submittedAt = 0;
    time_ms objectiveMs = 0;
    double work = 0;
    double meanWork = 1;
    double worth = 1;
    bool hopeless = false;
    std::map<std::string, time_ms> taskMs{};
};

class load_demand
{
public:
    explicit load_demand(load_settings settings);

    /** The next time at which a job of the queue may arrive; none after the day's end. */
    std::optional<time_ms> nextCandidate(std::size_t queue, time_ms from);
    /** Draws whether a job arrives at a candidate's time. */
    bool arrives(std::size_t queue, time_ms when);
    /** Draws a job of the queue and keeps it. */
    const modelled_job &submit(std::size_t queue, time_ms now);

    const std::map<std::string, modelled_job> &jobs() const
    {
        return m_jobs;
    }

private:
    double draw(double mean, double spread);
    bool drawBelow(double share);
    step_spec drawStep(const load_queue &queue, int number, bool checkpointing);
    /** Draws the step's estimate and its tasks' durations, adds them to the job, and returns the longest duration. */
    double drawTasks(const load_queue &queue, modelled_job &job, step_spec &step, int number);
    double rateAt(std::size_t queue, time_ms when) const;

    load_settings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, modelled_job> m_jobs;
};

/** What every task of a long-running job needs. */
resources longRunningDemand();
std::vector<job_spec> longRunningJobs(const load_queue &queue);

} // namespace daisypass::sched
