#pragma once

// The jobs of a simulated day: their arrival times, steps and task durations, drawn from the day's seed.
//
//     load_demand demand(settings);
//     if (std::optional<time_ms> when = demand.nextCandidateArrival(queue, now); when && demand.acceptsCandidate(queue, *when)) {
//         const simulated_job &job = demand.submit(queue, *when);
//     }

#include "load_settings.h"
#include "sched/model.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace daisypass::sched {

/** Earliest arrival of a job. */
constexpr time_ms loadStartMs = 10'000;
/** A job's objective is the length of its longest chain of tasks times the stretch, plus the target time. */
constexpr double loadObjectiveStretch = 1.6;
constexpr time_ms loadObjectiveTargetMs = 600;

struct simulated_job
{
    job_spec spec;
    std::string queue;
    time_ms submittedAt = 0;
    time_ms objectiveMs = 0;
    /** Core seconds of all tasks, and the mean of the queue's jobs. */
    double work = 0;
    double meanWork = 1;
    double value = 1;
    bool alwaysFails = false;
    /** The text of the id of the task that crashes every executor that starts it; empty for none. */
    std::string crashingTask;
    /** Duration of an uninterrupted run of each task, by the text of the task's id. */
    std::map<std::string, time_ms> taskMs{};
};

class load_demand
{
public:
    explicit load_demand(load_settings settings);

    /** Draws the next candidate of a Poisson process at the queue's peak rate; none after the day's end. */
    std::optional<time_ms> nextCandidateArrival(std::size_t queue, time_ms from);
    /** Thins the candidates to the queue's current rate: draws whether a job arrives at a candidate's time. */
    bool acceptsCandidate(std::size_t queue, time_ms when);
    /** Draws a job of the queue and adds it to jobs(). */
    const simulated_job &submit(std::size_t queue, time_ms now);

    const std::map<std::string, simulated_job> &jobs() const
    {
        return m_jobs;
    }

private:
    double drawLognormal(double mean, double spread);
    bool drawWithProbability(double share);
    step_spec drawStep(const load_queue &queue, int number, bool checkpointing);
    /** Draws the step's estimate and its tasks' durations, adds them to the job, and returns the longest duration. */
    double drawTasks(const load_queue &queue, simulated_job &job, step_spec &step, int number);
    double rateAt(std::size_t queue, time_ms when) const;

    load_settings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, simulated_job> m_jobs;
};

/** Resources of each task of a long-running job. */
resources longRunningDemand();
std::vector<job_spec> longRunningJobs(const load_queue &queue);

} // namespace daisypass::sched
