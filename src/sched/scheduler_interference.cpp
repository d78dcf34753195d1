// Feeds the interference model from the lists of executors, and reports what it finds.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// The tail latency of a task that has just begun to serve isn't its usual one yet.
constexpr time_ms settlingMs = 1'000;

// The processor time in use covers the same half second as the tail latencies, so it shows the activity also after a change of pace.
double activityOf(const step_spec &spec, const task_record &task, std::int64_t load)
{
    if (!spec.bestEffortCpu) {
        return 1.0;
    }
    if (spec.demand.cpu <= 0) {
        return task.throttlePercent / 100.0;
    }
    return std::clamp(static_cast<double>(load) / static_cast<double>(spec.demand.cpu), 0.0, 1.0);
}

} // namespace

// On an executor that is known to be slow all tasks are, so its list shows nothing about their images.
void scheduler::observeInterference(const executor_record &executor, const std::vector<listed_run> &runs, time_ms now)
{
    if (executor.images.empty() || executor.isSlow()) {
        return;
    }
    std::vector<neighbour_load> loads;
    for (const listed_run &run : runs) {
        const task_record *task = taskOf(run.task);
        const bool current = task != nullptr && task->phase == task_phase::Running && task->run == run.run && task->executor == executor.entry.id;
        if (!current) {
            continue;
        }
        const step_spec &spec = m_jobs.at(run.task.job)->spec.steps[static_cast<std::size_t>(run.task.step)];
        if (!mayInterfere(spec)) {
            continue;
        }
        const bool serves = !spec.bestEffortCpu && task->available && now - task->availabilityChangedAt >= settlingMs;
        loads.push_back({spec.image, serves ? run.load : 0, activityOf(spec, *task, run.load)});
    }
    m_interference.observe(executor.entry.id, loads, now);
}

void scheduler::reviewInterference(time_ms now)
{
    for (const interference_change &change : m_interference.review(now)) {
        logEvent(change.known ? "interference_known" : "interference_forgotten",
                 {{"serving", change.serving},
                  {"neighbour", change.neighbour},
                  {"tail_factor", std::to_string(change.tailFactor)},
                  {"confidence", std::to_string(change.confidence)}});
    }
}

} // namespace daisypass::sched
