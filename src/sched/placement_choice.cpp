// The choice of an executor: those that may run a task, and which of them is best.

#include "sched/placement_pass.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace daisypass::sched {
namespace {

// Penalties of a placement; the executor with the lowest sum is chosen.
constexpr double farFromDataWeight = 1e9;
constexpr double maintenanceDueWeight = 1e8;
constexpr double failedHereWeight = 1e10;
constexpr double slowExecutorWeight = 1e7;
// For a known lengthening of a tail latency by a factor of e. Below the other penalties and above any difference in free capacity.
constexpr double interferenceWeight = 1e6;
// Limit of that sum, so that it stays below the other penalties. That of a slow executor is above slowExecutorWeight, as its slowness is above 1.
constexpr double maxInterference = 10.0;

} // namespace

std::map<std::string, int> scheduler::placement_pass::tasksByExecutor(const ready_step &ready, const step_spec &stepSpec) const
{
    std::map<std::string, int> count;
    if (stepSpec.maxTasksPerExecutor == 0) {
        return count;
    }
    for (const std::pair<const std::size_t, task_record> &task : ready.occurrence->steps[static_cast<std::size_t>(ready.step)].tasks.records()) {
        if (task.second.occupies()) {
            ++count[task.second.executor];
        }
    }
    return count;
}

// Best fit: prefers the executor with the least free cpu, so that others stay empty and their VMs can be moved. The candidates are
// ordered by it, so the first one without a penalty ends the search.
executor_record *scheduler::placement_pass::choose(const step_spec &stepSpec,
                                                   const task_record &task,
                                                   const placement_candidates &candidates,
                                                   const std::map<std::string, int> &here)
{
    executor_record *best = nullptr;
    double bestWeight = 0;
    // The choice without interference.
    const executor_record *bestPlain = nullptr;
    double bestPlainWeight = 0;
    const resources demand = stepSpec.countedDemand();
    for (auto candidate = candidates.firstWith(demand.cpu); candidate != candidates.end(); ++candidate) {
        ++owner.m_counts.executorsConsidered;
        executor_record &executor = *candidate->executor;
        if (!executor.probation.empty() || !allowed(stepSpec, demand, executor, here)) {
            continue;
        }
        const double penalty = penaltyOf(stepSpec, task, executor);
        const double interference = interferencePenalty(stepSpec, executor);
        const double plain = static_cast<double>(candidate->freeCpu) + penalty;
        if (bestPlain == nullptr || plain < bestPlainWeight) {
            bestPlain = &executor;
            bestPlainWeight = plain;
        }
        if (best == nullptr || plain + interference < bestWeight) {
            best = &executor;
            bestWeight = plain + interference;
        }
        if (penalty + interference == 0) {
            break;
        }
    }
    owner.m_counts.placementsKeptApart += bestPlain != best ? 1 : 0;
    return best;
}

// While tasks of the pool wait for room, tasks are packed as closely as without it: keeping images apart must not cost another task its
// place.
double scheduler::placement_pass::interferencePenalty(const step_spec &stepSpec, const executor_record &executor) const
{
    if (!mayInterfere(stepSpec) || scarcePools.contains(executor.entry.pool)) {
        return 0;
    }
    return interferenceWeight * std::min(maxInterference, owner.m_interference.harmBeside(stepSpec.image, executor.images));
}

bool scheduler::placement_pass::allowed(const step_spec &stepSpec,
                                        const resources &demand,
                                        const executor_record &executor,
                                        const std::map<std::string, int> &here) const
{
    if (!demand.fitsIn(executor.freeCapacity())) {
        return false;
    }
    if (stepSpec.maxTasksPerExecutor > 0) {
        const auto count = here.find(executor.entry.id);
        if (count != here.end() && count->second >= stepSpec.maxTasksPerExecutor) {
            return false;
        }
    }
    return executor.hasLabel(stepSpec.requiredLabel);
}

double scheduler::placement_pass::penaltyOf(const step_spec &stepSpec, const task_record &task, const executor_record &executor) const
{
    double penalty = 0;
    if (!stepSpec.dataRack.empty() && stepSpec.dataRack != executor.entry.rack) {
        penalty += farFromDataWeight;
    }
    if (outlastsWave(stepSpec, executor)) {
        penalty += maintenanceDueWeight;
    }
    if (executor.isSlow()) {
        penalty += slowExecutorWeight * executor.slowness;
    }
    if (!task.avoidedExecutor.empty() && task.avoidedExecutor == executor.entry.id) {
        penalty += failedHereWeight;
    }
    return penalty;
}

// Whether the task would still be running when the maintenance of the executor's VM is due.
bool scheduler::placement_pass::outlastsWave(const step_spec &stepSpec, const executor_record &executor) const
{
    const std::optional<time_ms> dueAt = executor.entry.vm.empty() ? std::nullopt : owner.m_fleetPlanner.maintenanceDueAt(executor.entry.vm);
    return dueAt && (stepSpec.longRunning || stepSpec.estimateMs > *dueAt - now);
}

} // namespace daisypass::sched
