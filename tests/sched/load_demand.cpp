#include "load_demand.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

// Share of steps whose tasks take much longer than the others', by longFactor.
constexpr double longShare = 0.03;
constexpr double longFactor = 7.0;
constexpr int longRunningJobsPerQueue = 2;
constexpr int maxTasksPerStep = 32;
constexpr time_ms minTaskMs = 20;
// Milli-core milliseconds per core second.
constexpr double workUnit = 1e6;

} // namespace

load_demand::load_demand(load_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

double load_demand::drawLognormal(double mean, double spread)
{
    std::lognormal_distribution<double> distribution(-spread * spread / 2, spread);
    return mean * distribution(m_random);
}

bool load_demand::drawWithProbability(double share)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    return uniform(m_random) < share;
}

double load_demand::rateAt(std::size_t queue, time_ms when) const
{
    const std::size_t count = m_settings.queues.size();
    const std::size_t peakQueue = static_cast<std::size_t>((when - loadStartMs) / m_settings.peakMs) % count;
    return m_settings.queues[queue].jobsPerSecond * (peakQueue == queue ? m_settings.peakFactor : m_settings.offPeakFactor);
}

std::optional<time_ms> load_demand::nextCandidateArrival(std::size_t queue, time_ms from)
{
    // Thinning: candidates arrive at the peak rate, and acceptsCandidate() keeps the share that the current rate calls for.
    const double maxRate = m_settings.queues[queue].jobsPerSecond * m_settings.peakFactor;
    std::exponential_distribution<double> gap(maxRate / 1'000.0);
    const time_ms when = from + std::max<time_ms>(1, static_cast<time_ms>(gap(m_random)));
    return when > loadStartMs + m_settings.lengthMs ? std::nullopt : std::optional<time_ms>(when);
}

bool load_demand::acceptsCandidate(std::size_t queue, time_ms when)
{
    const double maxRate = m_settings.queues[queue].jobsPerSecond * m_settings.peakFactor;
    std::uniform_real_distribution<double> uniform(0, 1);
    return uniform(m_random) * maxRate < rateAt(queue, when);
}

const simulated_job &load_demand::submit(std::size_t queueIndex, time_ms now)
{
    const load_queue &queue = m_settings.queues[queueIndex];
    simulated_job job;
    job.spec.id = "j" + std::to_string(m_jobs.size() + 1);
    job.spec.queue = {"host", "/" + queue.name() + "/"};
    job.queue = queue.name();
    job.spec.pool = queue.pool;
    job.spec.acceptedUnixMs = now;
    job.submittedAt = now;
    job.alwaysFails = drawWithProbability(queue.alwaysFailingShare);
    const int steps = std::max(1, static_cast<int>(std::lround(drawLognormal(queue.stepsMean, 0.4))));
    const bool checkpointing = drawWithProbability(queue.checkpointingShare);
    double chainMs = 0;
    for (int number = 0; number < steps; ++number) {
        step_spec step = drawStep(queue, number, checkpointing);
        chainMs += drawTasks(queue, job, step, number);
        job.spec.steps.push_back(std::move(step));
    }
    job.meanWork = queue.stepsMean * queue.tasksMean * queue.taskCpuMean * queue.taskMsMean / workUnit;
    job.value = queue.value;
    job.objectiveMs = static_cast<time_ms>(loadObjectiveStretch * chainMs + static_cast<double>(loadObjectiveTargetMs));
    // Drawn outside the window too, so that the window doesn't change the jobs.
    const bool crashing = queue.crashingShare > 0 && drawWithProbability(queue.crashingShare);
    if (crashing && now - loadStartMs >= queue.crashingFrom && now - loadStartMs < queue.crashingUntil) {
        job.crashingTask = task_id{job.spec.id, 0, 0, 0}.text();
    }
    const std::string id = job.spec.id;
    return m_jobs.emplace(id, std::move(job)).first->second;
}

step_spec load_demand::drawStep(const load_queue &queue, int number, bool checkpointing)
{
    step_spec step;
    step.taskCount = std::clamp(static_cast<int>(std::lround(drawLognormal(queue.tasksMean, 0.6))), 1, maxTasksPerStep);
    step.demand = {static_cast<std::int64_t>(drawLognormal(queue.taskCpuMean, 0.45)), 3'000, 0};
    step.checkpointing = checkpointing;
    if (number > 0) {
        step.after = {number - 1};
    }
    return step;
}

double load_demand::drawTasks(const load_queue &queue, simulated_job &job, step_spec &step, int number)
{
    const double typicalMs = drawLognormal(queue.taskMsMean, 0.5);
    const double meanMs = std::min(queue.taskMsMax, typicalMs * (drawWithProbability(longShare) ? longFactor : 1.0));
    step.estimateMs = static_cast<std::int64_t>(drawLognormal(meanMs, queue.estimateSpread));
    double longestMs = 0;
    for (int i = 0; i < step.taskCount; ++i) {
        const double durationMs = drawLognormal(meanMs, queue.taskSpread);
        job.taskMs[task_id{job.spec.id, 0, number, i}.text()] = std::max<time_ms>(minTaskMs, static_cast<time_ms>(durationMs));
        longestMs = std::max(longestMs, durationMs);
        job.work += durationMs * static_cast<double>(step.demand.cpu) / workUnit;
    }
    return longestMs;
}

resources longRunningDemand()
{
    return {2'700, 8'700, 0};
}

std::vector<job_spec> longRunningJobs(const load_queue &queue)
{
    std::vector<job_spec> jobs;
    for (int i = 0; queue.longRunningTasks > 0 && i < longRunningJobsPerQueue; ++i) {
        job_spec spec;
        spec.id = "long-" + queue.name() + std::to_string(i);
        spec.queue = {"host", "/" + queue.name() + "/"};
        spec.pool = queue.pool;
        step_spec step;
        step.taskCount = queue.longRunningTasks;
        step.demand = longRunningDemand();
        step.estimateMs = 900;
        step.longRunning = true;
        step.maxTasksPerExecutor = 1;
        step.allowedUnavailable = 1;
        spec.steps.push_back(step);
        jobs.push_back(std::move(spec));
    }
    return jobs;
}

} // namespace daisypass::sched
