// Placement: which waiting task goes where.
//
// The load it answers: a queue's turn brings several times what its pool holds. Within a priority, the jobs that can still meet
// their objective come first: those that have begun, then the others, each by the work that they still need, so that many
// small jobs don't wait behind a large one. Jobs that have missed it follow.

#include "sched/scheduler.h"

#include <algorithm>
#include <limits>

namespace daisypass::sched {
namespace {

// Weights of a place; the lower sum is taken.
constexpr double farFromData = 1e9;
constexpr double awaitsUpkeepWeight = 1e8;
constexpr double failedHereBefore = 1e10;
constexpr double slowExecutor = 1e7;
// A ticket must still hold when the start arrives.
constexpr time_ms ticketMarginMs = 300;
// The advice service is asked about this many executors at once; more take longer.
constexpr std::size_t executorsPerAdvice = 30;

} // namespace

struct scheduler::ready_step
{
    job_record *job = nullptr;
    occurrence_record *occurrence = nullptr;
    int step = 0;
    // Order of the queue.
    int priority = 0;
    bool longRunning = false;
    bool late = false;
    /** No task of the job has started. */
    bool fresh = true;
    double work = 0;

    bool operator<(const ready_step &other) const
    {
        return std::tie(priority, other.longRunning, late, fresh, work, job->acceptedAt, job->spec.id, occurrence->number, step)
            < std::tie(other.priority,
                       longRunning,
                       other.late,
                       other.fresh,
                       other.work,
                       other.job->acceptedAt,
                       other.job->spec.id,
                       other.occurrence->number,
                       other.step);
    }
};

// One walk over the waiting tasks of all pools.
struct scheduler::placement_pass
{
    scheduler &owner;
    time_ms now;
    std::map<std::string, std::vector<executor_record *>> executorsOf{};
    std::map<std::string, std::vector<ready_step>> readyOf{};

    void collectExecutors()
    {
        owner.indexExecutors();
        for (const std::pair<const std::string, std::vector<executor_record *>> &pool : owner.m_poolExecutors) {
            std::vector<executor_record *> &usable = executorsOf[pool.first];
            std::copy_if(pool.second.begin(), pool.second.end(), std::back_inserter(usable), [this](const executor_record *executor) {
                const bool mayEnd = owner.m_fleetOrders.mayEndExecutor(executor->entry.vm, executor->entry.pool, now);
                return executor->takesNewRuns(now) && !mayEnd && executor->freeRoom().memoryMb > 0;
            });
        }
    }

    // Jobs without a task to place leave the backlog; they come back when a task becomes ready.
    void collectReady()
    {
        std::erase_if(owner.m_backlog, [this](job_record *job) {
            const bool ready = !job->ended() && collectReady(*job);
            job->inBacklog = ready;
            return !ready;
        });
    }

    bool collectReady(job_record &job)
    {
        const std::string &pool = owner.poolOf(job);
        const auto executors = executorsOf.find(pool);
        if (executors == executorsOf.end() || executors->second.empty()) {
            // Nothing can be placed now, and the job stays in the backlog.
            return true;
        }
        std::vector<ready_step> &ready = readyOf[pool];
        const std::size_t before = ready.size();
        collectReady(job, ready);
        return ready.size() > before;
    }

    void collectReady(job_record &job, std::vector<ready_step> &ready)
    {
        const queue_config *queue = owner.queueOf(job);
        bool measured = false;
        ready_step entry;
        entry.job = &job;
        for (std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
                if (occurrence.second.steps[step].waiting == 0 || !job.isStepReady(occurrence.second, static_cast<int>(step))) {
                    continue;
                }
                if (!measured) {
                    measured = true;
                    entry.priority = queue == nullptr ? std::numeric_limits<int>::max() : queue->priority;
                    entry.work = job.waitingWork();
                    entry.late = isLate(job, queue);
                    entry.fresh = job.phase == job_phase::Pending;
                }
                entry.occurrence = &occurrence.second;
                entry.step = static_cast<int>(step);
                entry.longRunning = job.spec.steps[step].longRunning;
                ready.push_back(entry);
            }
        }
    }

    bool isLate(const job_record &job, const queue_config *queue) const
    {
        if (queue == nullptr) {
            return false;
        }
        const double objective = queue->stretch * static_cast<double>(job.criticalPathMs) + static_cast<double>(queue->targetDurationMs);
        return static_cast<double>(now - job.acceptedAt + job.remainingCriticalPathMs()) > objective;
    }

    void placeAll()
    {
        for (std::pair<const std::string, std::vector<ready_step>> &item : readyOf) {
            std::sort(item.second.begin(), item.second.end());
            std::vector<resources> refused;
            for (ready_step &ready : item.second) {
                placeStep(ready, executorsOf[item.first], refused);
            }
        }
    }

    void placeStep(ready_step &ready, std::vector<executor_record *> &executors, std::vector<resources> &refused)
    {
        const step_spec &kind = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
        const resources demand = kind.countedDemand();
        const bool hopeless = std::any_of(refused.begin(), refused.end(), [&](const resources &other) {
            return other.fitsIn(demand);
        });
        if (hopeless) {
            return;
        }
        const queue_config *queue = owner.queueOf(*ready.job);
        if (queue != nullptr && queue->advised) {
            std::vector<executor_record *> permitted = permittedFor(ready, executors);
            placeAmong(ready, kind, permitted, refused, true);
            return;
        }
        placeAmong(ready, kind, executors, refused, false);
    }

    // Executors with a valid ticket for the step; asks for more advice when there are too few.
    std::vector<executor_record *> permittedFor(ready_step &ready, const std::vector<executor_record *> &executors)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        std::vector<executor_record *> permitted;
        std::vector<std::string> unknown;
        for (executor_record *executor : executors) {
            const auto ticket = record.tickets.find(executor->entry.id);
            if (ticket != record.tickets.end() && ticket->second.validUntil > now + ticketMarginMs) {
                permitted.push_back(executor);
            } else if (!record.advisedAgainst.contains(executor->entry.id) && unknown.size() < executorsPerAdvice) {
                unknown.push_back(executor->entry.id);
            }
        }
        const bool enough = static_cast<int>(permitted.size()) >= record.waiting;
        if (!enough && !unknown.empty() && !record.adviceAsked && record.adviceRetryAt <= now) {
            record.adviceAsked = true;
            owner.m_actions.push_back(ask_advice{ready.job->spec.id, ready.occurrence->number, ready.step, std::move(unknown)});
        }
        return permitted;
    }

    void placeAmong(ready_step &ready, const step_spec &kind, std::vector<executor_record *> &executors, std::vector<resources> &refused, bool advised)
    {
        const resources demand = kind.countedDemand();
        if (kind.gang) {
            placeGang(ready, kind, executors);
            return;
        }
        const bool constrained = advised || kind.mostPerExecutor > 0 || !kind.requiredLabel.empty();
        std::map<std::string, int> here = countOf(ready, kind);
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        for (std::size_t index = 0; index < record.tasks.size() && record.waiting > 0; ++index) {
            task_record &task = record.tasks[index];
            if (task.phase != task_phase::Waiting || task.notBefore > now) {
                continue;
            }
            executor_record *chosen = choose(kind, task, executors, here);
            if (chosen == nullptr) {
                owner.m_backlogBinds = true;
                if (!constrained) {
                    refused.push_back(demand);
                }
                return;
            }
            assign(ready, kind, static_cast<int>(index), task.run + 1, *chosen);
            ++here[chosen->entry.id];
        }
    }

    std::map<std::string, int> countOf(const ready_step &ready, const step_spec &kind) const
    {
        std::map<std::string, int> count;
        if (kind.mostPerExecutor == 0) {
            return count;
        }
        for (const task_record &task : ready.occurrence->steps[static_cast<std::size_t>(ready.step)].tasks) {
            if (task.occupies()) {
                ++count[task.executor];
            }
        }
        return count;
    }

    executor_record *choose(const step_spec &kind, const task_record &task, std::vector<executor_record *> &executors, const std::map<std::string, int> &here)
    {
        executor_record *best = nullptr;
        double bestWeight = 0;
        const resources demand = kind.countedDemand();
        for (executor_record *executor : executors) {
            if (!allowed(kind, demand, *executor, here)) {
                continue;
            }
            const double weight = weightOf(kind, task, *executor);
            if (best == nullptr || weight < bestWeight) {
                best = executor;
                bestWeight = weight;
            }
        }
        return best;
    }

    bool allowed(const step_spec &kind, const resources &demand, const executor_record &executor, const std::map<std::string, int> &here) const
    {
        if (!executor.takesNewRuns(now) || !demand.fitsIn(executor.freeRoom())) {
            return false;
        }
        if (kind.mostPerExecutor > 0) {
            const auto count = here.find(executor.entry.id);
            if (count != here.end() && count->second >= kind.mostPerExecutor) {
                return false;
            }
        }
        return executor.hasLabel(kind.requiredLabel);
    }

    // The fullest executor that has room is taken, so that others stay empty and can move.
    double weightOf(const step_spec &kind, const task_record &task, const executor_record &executor) const
    {
        double weight = static_cast<double>(executor.freeRoom().cpu);
        if (!kind.dataRack.empty() && kind.dataRack != executor.entry.rack) {
            weight += farFromData;
        }
        if (outlastsWave(kind, executor)) {
            weight += awaitsUpkeepWeight;
        }
        if (executor.isSlow()) {
            weight += slowExecutor * executor.slowness;
        }
        if (!task.avoidedExecutor.empty() && task.avoidedExecutor == executor.entry.id) {
            weight += failedHereBefore;
        }
        return weight;
    }

    // The task would still run when its VM's wave is due.
    bool outlastsWave(const step_spec &kind, const executor_record &executor) const
    {
        const std::optional<time_ms> dueAt = executor.entry.vm.empty() ? std::nullopt : owner.m_fleet.upkeepDueAt(executor.entry.vm);
        return dueAt && (kind.longRunning || now + kind.estimateMs > *dueAt);
    }

    // All members or none: room is taken step by step and given back if a member finds none.
    void placeGang(ready_step &ready, const step_spec &kind, std::vector<executor_record *> &executors)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        int run = 0;
        for (const task_record &task : record.tasks) {
            if (task.phase != task_phase::Waiting || task.notBefore > now) {
                return;
            }
            run = std::max(run, task.run);
        }
        if (kind.sameRack) {
            std::map<std::string, std::vector<executor_record *>> racks;
            for (executor_record *executor : executors) {
                racks[executor->entry.rack].push_back(executor);
            }
            for (std::pair<const std::string, std::vector<executor_record *>> &rack : racks) {
                if (placeMembers(ready, kind, rack.second, run + 1)) {
                    return;
                }
            }
        }
        placeMembers(ready, kind, executors, run + 1);
    }

    bool placeMembers(ready_step &ready, const step_spec &kind, std::vector<executor_record *> &executors, int run)
    {
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        std::vector<executor_record *> chosen;
        std::map<std::string, int> here;
        const resources demand = kind.countedDemand();
        for (const task_record &task : record.tasks) {
            executor_record *place = choose(kind, task, executors, here);
            if (place == nullptr) {
                break;
            }
            place->used += demand;
            ++here[place->entry.id];
            chosen.push_back(place);
        }
        for (executor_record *place : chosen) {
            place->used -= demand;
        }
        if (chosen.size() != record.tasks.size()) {
            return false;
        }
        for (std::size_t index = 0; index < chosen.size(); ++index) {
            assign(ready, kind, static_cast<int>(index), run, *chosen[index]);
        }
        return true;
    }

    void assign(ready_step &ready, const step_spec &kind, int index, int run, executor_record &executor)
    {
        job_record &job = *ready.job;
        const task_id id{job.spec.id, ready.occurrence->number, ready.step, index};
        step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
        task_record &task = record.tasks[static_cast<std::size_t>(index)];
        task.phase = task_phase::Placing;
        task.run = run;
        task.executor = executor.entry.id;
        task.batch = 0;
        --record.waiting;
        owner.occupy(id, kind, executor);
        if (job.phase == job_phase::Pending) {
            job.phase = job_phase::Running;
            owner.note("job_started",
                       {{"request", job.spec.id},
                        {"pool", executor.entry.pool},
                        {"waited_ms", std::to_string(now - job.acceptedAt)},
                        {"accepted_ms_ago", std::to_string(owner.m_unixMs - job.spec.acceptedUnixMs)},
                        {"executor", executor.entry.id},
                        {"executor_heard_ms_ago", std::to_string(now - executor.clockAt)}});
        }
        ++owner.m_counts.placed;
        owner.markDirty(job);
    }
};

void scheduler::place(time_ms now)
{
    if (m_backlog.empty()) {
        return;
    }
    m_backlogBinds = false;
    placement_pass pass{*this, now};
    pass.collectExecutors();
    pass.collectReady();
    pass.placeAll();
}

void scheduler::on(const advice_answered &what, time_ms now)
{
    const auto found = m_jobs.find(what.job);
    task_record *task = found == m_jobs.end() ? nullptr : found->second->find({what.job, what.occurrence, what.step, 0});
    if (task == nullptr) {
        return;
    }
    step_record &record = found->second->occurrences.at(what.occurrence).steps[static_cast<std::size_t>(what.step)];
    record.adviceAsked = false;
    m_placeWanted = true;
    if (what.status != order_status::Ok) {
        constexpr time_ms adviceRetryMs = 400;
        record.adviceRetryAt = now + adviceRetryMs;
        note("advice_refused", {{"request", what.job}, {"step", std::to_string(what.step)}, {"reason", std::string(nameOf(what.status))}});
        return;
    }
    const queue_config *queue = queueOf(*found->second);
    const std::int64_t validMs = what.validMs > 0 ? what.validMs : (queue == nullptr ? 0 : queue->adviceValidMs);
    record.advisedAgainst.insert(what.asked.begin(), what.asked.end());
    for (const std::pair<std::string, std::string> &ticket : what.tickets) {
        record.advisedAgainst.erase(ticket.first);
        record.tickets[ticket.first] = {ticket.second, now + validMs};
    }
}

} // namespace daisypass::sched
