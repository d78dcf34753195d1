// Drains executors whose VM has a pending move or maintenance: stops their long-running tasks, so that the VM becomes empty.
//
// A long-running task is stopped only within its step's disruption budget (`allowedUnavailable`), and only if it can continue on another
// executor or if the maintenance can then begin. Otherwise the stop would gain nothing: the task would wait although its executor is
// still up, and would use up the budget that the step's other tasks need to leave.
//
// Other runs end by themselves and are not stopped, with one exception: a run that would end too late for its wave is stopped if its step
// supports checkpointing and isn't a gang, and if another executor has free capacity. It continues there from its checkpoint.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// The last maintenance of a wave is planned to begin this long before the wave is due, because the end of a run is known only roughly.
constexpr time_ms lastMaintenanceMarginMs = 4'000;
// Minimum progress, in percent, from which the end of a run can be projected with an error of about a tenth.
constexpr int minPercentToProject = 10;

} // namespace

// One pass over the reserved executors.
struct scheduler::drain_pass
{
    // The capacity of an executor that long-running tasks can get. Runs that end by themselves don't reduce it: they release their
    // capacity soon, and long-running tasks come first in the backlog.
    struct executor_capacity
    {
        const executor_record *executor = nullptr;
        resources longRunningCapacity{};
        // Capacity that none of the executor's runs uses.
        resources unusedCapacity{};
        std::vector<task_id> tasks{};
    };

    scheduler &owner;
    time_ms now;
    std::map<std::string, std::vector<executor_capacity>> capacityByPool{};

    const step_spec &specOf(const task_id &id) const
    {
        return owner.m_jobs.at(id.job)->spec.steps[static_cast<std::size_t>(id.step)];
    }

    bool hasRunsToStop(const executor_record &executor) const
    {
        return std::any_of(executor.runs.begin(), executor.runs.end(), [&](const task_id &id) {
            return specOf(id).longRunning || outlastsWave(executor, id);
        });
    }

    bool outlastsWave(const executor_record &executor, const task_id &id) const
    {
        const task_record &task = *owner.m_jobs.at(id.job)->find(id);
        const std::optional<time_ms> dueAt = owner.m_fleetPlanner.maintenanceDueAt(executor.entry.vm);
        const bool canResume = specOf(id).checkpointing && !specOf(id).gang && task.phase == task_phase::Running;
        if (!canResume || !dueAt || task.percent - task.confirmedPercent < minPercentToProject) {
            return false;
        }
        const std::optional<double> left = task.paceAt(executor.listedAt).remainingMs();
        return left && static_cast<double>(executor.listedAt) + *left > static_cast<double>(*dueAt - lastMaintenanceMarginMs);
    }

    void drainAll()
    {
        std::vector<executor_record *> reserved;
        for (std::pair<const std::string, executor_record> &item : owner.m_executors) {
            if (item.second.reserved && hasRunsToStop(item.second)) {
                reserved.push_back(&item.second);
            }
        }
        if (reserved.empty()) {
            return;
        }
        collectCapacity();
        claimForWaiting();
        for (executor_record *executor : reserved) {
            drain(*executor);
        }
    }

    void collectCapacity()
    {
        for (const std::pair<const std::string, executor_record> &item : owner.m_executors) {
            const executor_record &executor = item.second;
            if (!executor.takesNewRuns(now)) {
                continue;
            }
            executor_capacity one{&executor, executor.entry.capacity, executor.freeCapacity()};
            one.longRunningCapacity -= executor.untracked;
            one.longRunningCapacity -= executor.abandoned.demand();
            for (const task_id &id : executor.runs) {
                if (specOf(id).longRunning) {
                    one.longRunningCapacity -= specOf(id).countedDemand();
                    one.tasks.push_back(id);
                }
            }
            capacityByPool[executor.entry.pool].push_back(std::move(one));
        }
    }

    // Claims capacity first for long-running tasks that are already waiting or being stopped.
    void claimForWaiting()
    {
        for (const std::string &open : owner.m_activeJobs) {
            const job_record &job = *owner.m_jobs.at(open);
            if (!job.hasLongRunning()) {
                continue;
            }
            for (const std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
                for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
                    if (job.spec.steps[step].longRunning && job.isStepReady(occurrence.second, static_cast<int>(step))) {
                        claimForWaiting(job, occurrence.second, static_cast<int>(step));
                    }
                }
            }
        }
    }

    void claimForWaiting(const job_record &job, const occurrence_record &occurrence, int step)
    {
        const task_table &tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            if (tasks[index].phase == task_phase::Waiting || tasks[index].phase == task_phase::Stopping) {
                claim(job, {job.spec.id, occurrence.number, step, static_cast<int>(index)});
            }
        }
    }

    // Claims capacity for a long-running task on an executor that may run it; false if there is none.
    bool claim(const job_record &job, const task_id &id)
    {
        const auto pool = capacityByPool.find(owner.poolOf(job));
        if (pool == capacityByPool.end()) {
            return false;
        }
        const resources demand = specOf(id).countedDemand();
        for (executor_capacity &one : pool->second) {
            if (mayRun(one, job, id) && demand.fitsIn(one.longRunningCapacity)) {
                one.longRunningCapacity -= demand;
                one.tasks.push_back(id);
                return true;
            }
        }
        return false;
    }

    // Claims capacity that is free now, for a run that ends by itself. Excludes VMs with pending maintenance, which the run would have to
    // leave again.
    bool claimFreeCapacity(const job_record &job, const task_id &id)
    {
        const auto pool = capacityByPool.find(owner.poolOf(job));
        if (pool == capacityByPool.end()) {
            return false;
        }
        const resources demand = specOf(id).countedDemand();
        for (executor_capacity &one : pool->second) {
            const bool stays = !owner.m_fleetPlanner.awaitsMaintenance(one.executor->entry.vm);
            if (stays && mayRun(one, job, id) && demand.fitsIn(one.unusedCapacity)) {
                one.unusedCapacity -= demand;
                one.tasks.push_back(id);
                return true;
            }
        }
        return false;
    }

    bool mayRun(const executor_capacity &one, const job_record &job, const task_id &id) const
    {
        const step_spec &stepSpec = specOf(id);
        const step_record &step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
        if (!one.executor->hasLabel(stepSpec.requiredLabel) || step.advisedAgainst.contains(one.executor->entry.id)) {
            return false;
        }
        const std::ptrdiff_t here = std::count_if(one.tasks.begin(), one.tasks.end(), [&id](const task_id &other) {
            return std::tie(other.job, other.occurrence, other.step) == std::tie(id.job, id.occurrence, id.step);
        });
        return stepSpec.maxTasksPerExecutor == 0 || here < stepSpec.maxTasksPerExecutor;
    }

    void drain(executor_record &executor)
    {
        const bool maintenanceCanFollow = canBeEmptied(executor);
        const std::set<task_id> runs = executor.runs;
        for (const task_id &id : runs) {
            job_record &job = *owner.m_jobs.at(id.job);
            task_record &task = *job.find(id);
            if (outlastsWave(executor, id) && claimFreeCapacity(job, id)) {
                owner.requestStop(id, task, now, "upkeep");
                continue;
            }
            const bool canStop = specOf(id).longRunning && task.phase == task_phase::Running && mayInterrupt(job, id, nullptr);
            if (canStop && (claim(job, id) || maintenanceCanFollow)) {
                owner.requestStop(id, task, now, "upkeep");
            }
        }
    }

    // Whether all runs on the executor are long-running and their steps' budgets allow them to be unavailable at the same time.
    bool canBeEmptied(const executor_record &executor) const
    {
        return std::all_of(executor.runs.begin(), executor.runs.end(), [&](const task_id &id) {
            return specOf(id).longRunning && mayInterrupt(*owner.m_jobs.at(id.job), id, &executor);
        });
    }

    // Whether the budget of the task's step allows its run to be stopped now, together with all runs on `together` if that is not null. One
    // task may be unavailable even if the budget is 0.
    bool mayInterrupt(const job_record &job, const task_id &id, const executor_record *together) const
    {
        const task_table &tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
        int away = 0;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const task_record &other = tasks[index];
            const bool ends = together != nullptr && other.executor == together->entry.id;
            if (static_cast<int>(index) != id.index && (ends || !owner.isConfirmedAvailable(other))) {
                ++away;
            }
        }
        return away < std::max(1, specOf(id).allowedUnavailable);
    }
};

void scheduler::drainReservedExecutors(time_ms now)
{
    drain_pass{*this, now}.drainAll();
}

// A task on an unresponsive executor may have ended. A stop order of an earlier lease holder can take effect up to StopMs after the
// executor's first answer in this term, from which on it refuses that holder's orders; until then its lists show the run as working.
// Therefore only a list that was requested after that time counts, however late an earlier one arrives.
bool scheduler::isConfirmedAvailable(const task_record &task) const
{
    const auto executor = m_executors.find(task.executor);
    if (task.phase != task_phase::Running || !task.available || executor == m_executors.end()) {
        return false;
    }
    return executor->second.isResponsive() && executor->second.earlierStopsSettled;
}

} // namespace daisypass::sched
