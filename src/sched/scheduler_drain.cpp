// The drain: how executors whose VM has its upkeep before it lose their long-running tasks.
//
// A task is stopped only within its step's budget, and only if it can go on elsewhere or if the upkeep can then begin. Otherwise the
// stop would gain nothing: the task waits beside its former executor, and with the budget used up the step's other tasks stay there.
//
// Other runs end by themselves, and nothing is gained by a stop, unless one would end after its wave is due. Such a run goes on elsewhere
// from its checkpoint.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// The last upkeep of a wave is planned to begin this long before the wave is due, as the end of a run is known only roughly.
constexpr time_ms lastUpkeepMarginMs = 4'000;
// From this progress on the end of a run is known to a tenth.
constexpr int leastPercentToProject = 10;

} // namespace

// One walk over the reserved executors.
struct scheduler::drain_pass
{
    // What long-running tasks can have on an executor. Tasks that end by themselves leave their room in a moment, and long-running
    // ones come first in the backlog.
    struct vacancy
    {
        const executor_record *executor = nullptr;
        resources room{};
        // What is left beside all of its runs.
        resources freeNow{};
        std::vector<task_id> tasks{};
    };

    scheduler &owner;
    time_ms now;
    std::map<std::string, std::vector<vacancy>> vacanciesOf{};

    const step_spec &kindOf(const task_id &id) const
    {
        return owner.m_jobs.at(id.job)->spec.steps[static_cast<std::size_t>(id.step)];
    }

    bool hasRunsToEnd(const executor_record &executor) const
    {
        return std::any_of(executor.runs.begin(), executor.runs.end(), [&](const task_id &id) {
            return kindOf(id).longRunning || outlastsWave(executor, id);
        });
    }

    bool outlastsWave(const executor_record &executor, const task_id &id) const
    {
        const task_record &task = *owner.m_jobs.at(id.job)->find(id);
        const std::optional<time_ms> dueAt = owner.m_fleet.upkeepDueAt(executor.entry.vm);
        const bool canGoOn = kindOf(id).checkpointing && !kindOf(id).gang && task.phase == task_phase::Running;
        if (!canGoOn || !dueAt || task.percent - task.confirmedPercent < leastPercentToProject) {
            return false;
        }
        const std::optional<double> left = task.paceAt(executor.listedAt).remainingMs();
        return left && static_cast<double>(executor.listedAt) + *left > static_cast<double>(*dueAt - lastUpkeepMarginMs);
    }

    void drainAll()
    {
        std::vector<executor_record *> reserved;
        for (std::pair<const std::string, executor_record> &item : owner.m_executors) {
            if (item.second.reserved && hasRunsToEnd(item.second)) {
                reserved.push_back(&item.second);
            }
        }
        if (reserved.empty()) {
            return;
        }
        collectVacancies();
        claimForWaiting();
        for (executor_record *executor : reserved) {
            drain(*executor);
        }
    }

    void collectVacancies()
    {
        for (const std::pair<const std::string, executor_record> &item : owner.m_executors) {
            const executor_record &executor = item.second;
            if (!executor.takesNewRuns(now)) {
                continue;
            }
            vacancy one{&executor, executor.entry.capacity, executor.freeRoom()};
            one.room -= executor.foreign;
            for (const task_id &id : executor.runs) {
                if (kindOf(id).longRunning) {
                    one.room -= kindOf(id).countedDemand();
                    one.tasks.push_back(id);
                }
            }
            vacanciesOf[executor.entry.pool].push_back(std::move(one));
        }
    }

    // Tasks that are already away, or about to be, have the first claim.
    void claimForWaiting()
    {
        for (const std::string &open : owner.m_open) {
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
        const std::vector<task_record> &tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            if (tasks[index].phase == task_phase::Waiting || tasks[index].phase == task_phase::Stopping) {
                claim(job, {job.spec.id, occurrence.number, step, static_cast<int>(index)});
            }
        }
    }

    // Takes room for the task on an executor that may have it; false if there is none.
    bool claim(const job_record &job, const task_id &id)
    {
        const auto pool = vacanciesOf.find(owner.poolOf(job));
        if (pool == vacanciesOf.end()) {
            return false;
        }
        const resources demand = kindOf(id).countedDemand();
        for (vacancy &one : pool->second) {
            if (mayHave(one, job, id) && demand.fitsIn(one.room)) {
                one.room -= demand;
                one.tasks.push_back(id);
                return true;
            }
        }
        return false;
    }

    // Takes room that is free now for a run that ends by itself; a VM of a wave would have to be emptied of it again.
    bool claimNow(const job_record &job, const task_id &id)
    {
        const auto pool = vacanciesOf.find(owner.poolOf(job));
        if (pool == vacanciesOf.end()) {
            return false;
        }
        const resources demand = kindOf(id).countedDemand();
        for (vacancy &one : pool->second) {
            const bool stays = !owner.m_fleet.awaitsUpkeep(one.executor->entry.vm);
            if (stays && mayHave(one, job, id) && demand.fitsIn(one.freeNow)) {
                one.freeNow -= demand;
                one.tasks.push_back(id);
                return true;
            }
        }
        return false;
    }

    bool mayHave(const vacancy &one, const job_record &job, const task_id &id) const
    {
        const step_spec &kind = kindOf(id);
        const step_record &step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
        if (!one.executor->hasLabel(kind.requiredLabel) || step.advisedAgainst.contains(one.executor->entry.id)) {
            return false;
        }
        const std::ptrdiff_t here = std::count_if(one.tasks.begin(), one.tasks.end(), [&id](const task_id &other) {
            return std::tie(other.job, other.occurrence, other.step) == std::tie(id.job, id.occurrence, id.step);
        });
        return kind.mostPerExecutor == 0 || here < kind.mostPerExecutor;
    }

    void drain(executor_record &executor)
    {
        const bool upkeepCanFollow = canBeEmptied(executor);
        const std::set<task_id> runs = executor.runs;
        for (const task_id &id : runs) {
            job_record &job = *owner.m_jobs.at(id.job);
            task_record &task = *job.find(id);
            if (outlastsWave(executor, id) && claimNow(job, id)) {
                owner.requestStop(id, task, now, "upkeep");
                continue;
            }
            const bool mayEnd = kindOf(id).longRunning && task.phase == task_phase::Running && mayInterrupt(job, id, nullptr);
            if (mayEnd && (claim(job, id) || upkeepCanFollow)) {
                owner.requestStop(id, task, now, "upkeep");
            }
        }
    }

    // The budgets allow all that runs there to be away at the same time.
    bool canBeEmptied(const executor_record &executor) const
    {
        return std::all_of(executor.runs.begin(), executor.runs.end(), [&](const task_id &id) {
            return kindOf(id).longRunning && mayInterrupt(*owner.m_jobs.at(id.job), id, &executor);
        });
    }

    // The budget of the task's step allows the system to end its run now, together with those on the executor, if one is given.
    bool mayInterrupt(const job_record &job, const task_id &id, const executor_record *together) const
    {
        const std::vector<task_record> &tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
        int away = 0;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const task_record &other = tasks[index];
            const bool ends = together != nullptr && other.executor == together->entry.id;
            if (static_cast<int>(index) != id.index && (ends || !owner.isKnownAtWork(other))) {
                ++away;
            }
        }
        return away < std::max(1, kindOf(id).allowedUnavailable);
    }
};

void scheduler::drainReserved(time_ms now)
{
    drain_pass{*this, now}.drainAll();
}

// A task on a silent executor may have ended long ago. A stop that a former holder ordered can be under way for StopMs after the first
// answer, with which the executor begins to refuse that holder's orders; until then its lists show the run as at work. A list that was
// asked for earlier says nothing of the end, also if it comes later.
bool scheduler::isKnownAtWork(const task_record &task) const
{
    const auto executor = m_executors.find(task.executor);
    if (task.phase != task_phase::Running || !task.available || executor == m_executors.end()) {
        return false;
    }
    return executor->second.answers() && executor->second.earlierStopsOver;
}

} // namespace daisypass::sched
