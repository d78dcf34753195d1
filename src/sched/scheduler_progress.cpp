// The progress of runs: which executors are slow, which runs stand still, and which are better begun anew elsewhere.

#include "sched/run_pace.h"
#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A run whose progress has stood still for this long, and for the share below of its estimate, is stopped and placed elsewhere.
constexpr time_ms leastStallMs = 2'500;
constexpr double stallShareOfEstimate = 1.0;
constexpr time_ms stallPauseMs = 5'000;
// Weight of the latest run in an executor's slowness, and the most that one run counts for.
constexpr double slownessWeight = 0.25;
constexpr double mostSlownessSample = 8.0;

bool isWatched(const task_record &task, const step_spec &kind)
{
    return task.phase == task_phase::Running && !kind.longRunning && !kind.gang && task.pacedPercent >= 100;
}

} // namespace

void scheduler::learnSpeed(executor_record &executor, const step_spec &step, task_record &task, time_ms now)
{
    if (step.estimateMs <= 0 || task.confirmedAt == 0 || task.resumed || task.confirmedPercent > 0) {
        return;
    }
    task.runDurationMs = now - task.confirmedAt;
    task.completedOn = executor.entry.id;
    const double ratio = static_cast<double>(task.runDurationMs) / static_cast<double>(step.estimateMs);
    executor.slowness += slownessWeight * (std::min(ratio, mostSlownessSample) - executor.slowness);
    ++executor.slownessSamples;
}

// Runs of all jobs on the executor against their estimates.
void scheduler::judgePace(const executor_record &executor, pace_evidence &evidence) const
{
    std::vector<double> ratios;
    std::set<std::string> jobs;
    for (const task_id &id : executor.runs) {
        job_record &job = *m_jobs.at(id.job);
        const task_record &task = *job.find(id);
        const step_spec &kind = job.spec.steps[static_cast<std::size_t>(id.step)];
        const std::optional<double> total = task.paceAt(executor.listedAt).totalMs();
        if (isWatched(task, kind) && kind.estimateMs > 0 && total) {
            ratios.push_back(*total / static_cast<double>(kind.estimateMs));
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
    for (const task_record &task : step.tasks) {
        if (task.phase == task_phase::Done && task.runDurationMs > 0 && task.completedOn != executor) {
            durations.push_back(static_cast<double>(task.runDurationMs));
        }
        if (task.phase == task_phase::Running && task.executor != executor) {
            const std::optional<double> total = task.paceAt(task.progressAt).totalMs();
            if (total) {
                durations.push_back(*total);
            }
        }
    }
    return durations;
}

// Answers executors that keep answering while the tasks on them stand still.
void scheduler::watchProgress(time_ms now)
{
    for (std::pair<const std::string, executor_record> &item : m_executors) {
        executor_record &executor = item.second;
        if (!executor.answers()) {
            continue;
        }
        // With a backlog no run is given up for its pace, and nothing needs to be known of it.
        pace_evidence evidence;
        if (!m_backlogBinds) {
            judgePace(executor, evidence);
        }
        for (const task_id &id : executor.runs) {
            job_record &job = *m_jobs.at(id.job);
            task_record &task = *job.find(id);
            const step_spec &kind = job.spec.steps[static_cast<std::size_t>(id.step)];
            if (!isWatched(task, kind)) {
                continue;
            }
            const time_ms patience = std::max(leastStallMs, static_cast<time_ms>(stallShareOfEstimate * static_cast<double>(kind.estimateMs)));
            if (task.progressAt + patience < executor.listedAt) {
                executor.avoidUntil = std::max(executor.avoidUntil, now + stallPauseMs);
                task.avoidedExecutor = item.first;
                requestStop(id, task, now, "no_progress");
                continue;
            }
            const run_pace pace = task.paceAt(executor.listedAt);
            if (task.straggled || m_backlogBinds || !pace.remainingMs()) {
                continue;
            }
            evidence.estimateMs = static_cast<double>(std::max<std::int64_t>(1, kind.estimateMs));
            evidence.siblingsMs = siblingDurations(job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)], item.first);
            if (isStraggler(pace, evidence)) {
                task.straggled = true;
                task.avoidedExecutor = item.first;
                requestStop(id, task, now, "straggler");
            }
        }
    }
}

} // namespace daisypass::sched
