// Progress of runs: measures the speed of executors and stops stalled runs and stragglers, so that they are placed elsewhere.

#include "sched/run_pace.h"
#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A run is stalled if it has made no progress for this time and for this share of its estimate, whichever is longer.
constexpr time_ms minStallMs = 2'500;
constexpr double stallShareOfEstimate = 1.0;
constexpr time_ms stallBackoffMs = 5'000;
// Weight of the latest run in the moving average of an executor's slowness, and upper limit of a single sample.
constexpr double slownessWeight = 0.25;
constexpr double maxSlownessSample = 8.0;

// `ratio` is a run's duration, or projected duration, relative to its estimate.
void addSlownessSample(executor_record &executor, double ratio)
{
    executor.slowness += slownessWeight * (std::min(ratio, maxSlownessSample) - executor.slowness);
    ++executor.slownessSamples;
}

bool isWatched(const task_record &task, const step_spec &stepSpec)
{
    return task.phase == task_phase::Running && !stepSpec.longRunning && !stepSpec.gang && task.throttlePercent >= 100;
}

} // namespace

void scheduler::updateSlowness(executor_record &executor, const step_spec &step, task_record &task, time_ms now)
{
    if (step.estimateMs <= 0 || task.confirmedAt == 0 || task.resumed || task.confirmedPercent > 0) {
        return;
    }
    task.runDurationMs = now - task.confirmedAt;
    task.completedOn = executor.entry.id;
    addSlownessSample(executor, static_cast<double>(task.runDurationMs) / static_cast<double>(step.estimateMs));
}

// The sample is always the same task of a step: the one that ends first would be the shortest. It tells most about the others, which do the same
// work. A slow executor, or one far from the step's data, tells nothing about the queue.
void scheduler::learnDuration(job_record &job, const task_id &id, const task_record &task, const executor_record &executor)
{
    const std::size_t step = static_cast<std::size_t>(id.step);
    const step_spec &stepSpec = job.spec.steps[step];
    const bool measured = task.runDurationMs > 0 && task.completedOn == executor.entry.id;
    const bool far = !stepSpec.dataRack.empty() && stepSpec.dataRack != executor.entry.rack;
    if (id.index != 0 || !measured || far || executor.isSlow()) {
        return;
    }
    m_durations.add(job.spec.queue, job.callerEstimatesMs[step], task.runDurationMs);
    if (m_durations.corrects(job.spec.queue)) {
        job.setEstimate(step, task.runDurationMs);
    }
}

// Compares the projected durations of all runs on the executor with their estimates.
void scheduler::collectPaceEvidence(const executor_record &executor, pace_evidence &evidence) const
{
    std::vector<double> ratios;
    std::set<std::string> jobs;
    for (const task_id &id : executor.runs) {
        job_record &job = *m_jobs.at(id.job);
        const task_record &task = *job.find(id);
        const step_spec &stepSpec = job.spec.steps[static_cast<std::size_t>(id.step)];
        const std::optional<double> total = task.paceAt(executor.listedAt).totalMs();
        if (isWatched(task, stepSpec) && stepSpec.estimateMs > 0 && total) {
            ratios.push_back(*total / static_cast<double>(stepSpec.estimateMs));
            jobs.insert(id.job);
        }
    }
    evidence.executorSlowdown = medianOf(ratios);
    evidence.executorJobs = static_cast<int>(jobs.size());
    evidence.executorIsSlow = executor.isSlow();
}

std::vector<double> scheduler::siblingDurations(const step_record &step, const std::string &executor) const
{
    std::vector<double> durations;
    for (const run_duration &done : step.doneDurations) {
        if (done.executor != executor) {
            durations.push_back(static_cast<double>(done.durationMs));
        }
    }
    for (const std::pair<const std::size_t, task_record> &task : step.tasks.records()) {
        if (task.second.phase == task_phase::Running && task.second.executor != executor) {
            const std::optional<double> total = task.second.paceAt(task.second.progressAt).totalMs();
            if (total) {
                durations.push_back(*total);
            }
        }
    }
    return durations;
}

// Detects stalled runs and stragglers on executors that still answer polls.
void scheduler::watchProgress(time_ms now)
{
    for (std::pair<const std::string, executor_record> &item : m_executors) {
        executor_record &executor = item.second;
        // Progress is known from lists only. While tasks wait for capacity, a list is checked for stalled runs alone, so it is checked again.
        if (!executor.isResponsive() || executor.checkedListNumber == executor.listNumber) {
            continue;
        }
        executor.checkedListNumber = m_capacityShort ? executor.checkedListNumber : executor.listNumber;
        // While tasks wait for capacity, no run is stopped as a straggler, so the evidence isn't needed.
        pace_evidence evidence;
        if (!m_capacityShort) {
            collectPaceEvidence(executor, evidence);
        }
        m_counts.runsChecked += static_cast<std::int64_t>(executor.runs.size());
        for (const task_id &id : executor.runs) {
            job_record &job = *m_jobs.at(id.job);
            task_record &task = *job.find(id);
            const step_spec &stepSpec = job.spec.steps[static_cast<std::size_t>(id.step)];
            if (!isWatched(task, stepSpec)) {
                continue;
            }
            const double stallLimitMs = std::max<double>(minStallMs, stallShareOfEstimate * static_cast<double>(stepSpec.estimateMs));
            if (static_cast<double>(executor.listedAt - task.progressAt) > stallLimitMs) {
                executor.backoffUntil = std::max(executor.backoffUntil, now + stallBackoffMs);
                task.avoidedExecutor = item.first;
                requestStop(id, task, now, "no_progress");
                continue;
            }
            const run_pace pace = task.paceAt(executor.listedAt);
            if (task.straggled || m_capacityShort || !pace.remainingMs()) {
                continue;
            }
            evidence.estimateMs = static_cast<double>(std::max<std::int64_t>(1, stepSpec.estimateMs));
            evidence.siblingsMs = siblingDurations(job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)], item.first);
            if (isStraggler(pace, evidence)) {
                task.straggled = true;
                task.avoidedExecutor = item.first;
                // The run won't end as done, so its projected duration counts for the executor's speed.
                addSlownessSample(executor, *pace.totalMs() / evidence.estimateMs);
                requestStop(id, task, now, "straggler");
            }
        }
    }
}

} // namespace daisypass::sched
