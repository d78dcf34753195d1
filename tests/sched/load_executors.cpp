#include "load_executors.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace daisypass::sched {
namespace {

constexpr time_ms checkpointRestoreMs = 100;
constexpr time_ms crashDelayMs = 10;
constexpr int crashesUntilCounted = 3;
constexpr time_ms unboundedMs = 1'000'000'000;
// After this time the scheduler is told that an executor was terminated, or that a poll got no answer.
constexpr time_ms failureDetectionMs = 1'000;
// A pool has room for a task when its capacity suffices for so many.
constexpr int roomsNeeded = 2;

} // namespace

load_executors::load_executors(const load_settings &settings, const load_demand &demand, load_timeline &timeline, load_outcome &outcome, event_sink sink)
    : m_settings(settings)
    , m_demand(demand)
    , m_timeline(timeline)
    , m_outcome(outcome)
    , m_sink(std::move(sink))
    , m_waits(outcome)
{
    int vm = 0;
    const std::function<void(int, executor_fault)> assignFault = [&](int count, executor_fault fault) {
        for (int i = 0; i < count; ++i) {
            m_faults.emplace("vm" + std::to_string(vm++ * settings.vmsPerPool / 2), fault);
        }
    };
    assignFault(settings.failingExecutors, executor_fault::FailsRuns);
    assignFault(settings.stalledExecutors, executor_fault::StallsRuns);
    assignFault(settings.unresponsiveExecutors, executor_fault::BecomesUnresponsive);
}

load_executors::executor_fault load_executors::faultOf(const std::string &vm) const
{
    const auto found = m_faults.find(vm);
    return found == m_faults.end() ? executor_fault::None : found->second;
}

std::string load_executors::startExecutor(const std::string &vm, const std::string &pool)
{
    simulated_executor executor;
    executor.id = "e" + std::to_string(m_executors.size() + 1);
    executor.pool = pool;
    executor.vm = vm;
    executor.capacity = m_settings.vmCapacity;
    executor.fault = faultOf(vm);
    executor_entry entry;
    entry.id = executor.id;
    entry.pool = pool;
    entry.address = executor.id;
    entry.capacity = executor.capacity;
    entry.vm = vm;
    entry.startedUnixMs = m_timeline.now() + 1;
    entry.clockMs = m_timeline.now();
    m_executors[executor.id] = std::move(executor);
    m_sink(executor_entry_changed{entry});
    return entry.id;
}

void load_executors::terminateExecutor(const std::string &id)
{
    const auto found = m_executors.find(id);
    if (found != m_executors.end()) {
        terminate(found->second, failureDetectionMs);
    }
}

void load_executors::terminate(simulated_executor &executor, time_ms detectionMs)
{
    dropRuns(executor);
    executor.terminated = true;
    if (executor.pendingPoll) {
        std::exchange(executor.pendingPoll, nullptr)();
    }
    m_timeline.at(m_timeline.now() + detectionMs, [this, id = executor.id] {
        m_sink(executor_entry_removed{id});
    });
}

void load_executors::crash(const std::string &id)
{
    simulated_executor &executor = m_executors.at(id);
    m_waits.executorCrashed(m_timeline.now());
    for (const std::pair<const std::string, simulated_run> &run : executor.runs) {
        const auto job = m_demand.jobs().find(run.second.task.job);
        const bool longRunning = job == m_demand.jobs().end();
        if (longRunning || (!job->second.alwaysFails && job->second.crashingTask.empty())) {
            m_waits.runLost({run.second.task, executor.pool, run.second.demand, longRunning, m_timeline.now(), m_timeline.now()});
        }
    }
    executor.connectionsBroken = m_settings.crashBreaksConnections;
    terminate(executor, executor.connectionsBroken ? m_settings.restartMs : failureDetectionMs);
}

void load_executors::measureWaits()
{
    m_waits.measure(m_timeline.now(), [this](const lost_run &run) {
        if (roomFor(run) < roomsNeeded) {
            return false;
        }
        return run.longRunning || (!isHalfInUse(run.pool) && !isRunning(run.task.job));
    });
}

void load_executors::jobEnded(const std::string &job)
{
    m_waits.jobEnded(job, m_timeline.now());
}

void load_executors::settleWaits()
{
    m_waits.settle(m_timeline.now());
}

int load_executors::roomFor(const lost_run &run) const
{
    int room = 0;
    for (const std::pair<const std::string, simulated_executor> &item : m_executors) {
        const simulated_executor &executor = item.second;
        if (executor.terminated || executor.unresponsive || executor.pool != run.pool) {
            continue;
        }
        resources used;
        bool runsStep = false;
        for (const std::pair<const std::string, simulated_run> &other : executor.runs) {
            used += other.second.demand;
            runsStep = runsStep || other.second.task.job == run.task.job;
        }
        // An executor takes one task of a long-running step.
        const int limit = run.longRunning ? (runsStep ? 0 : 1) : roomsNeeded;
        for (int i = 0; i < limit && (used += run.demand).fitsIn(executor.capacity); ++i) {
            ++room;
        }
    }
    return room;
}

bool load_executors::isHalfInUse(const std::string &pool) const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const std::pair<const std::string, simulated_executor> &item : m_executors) {
        const simulated_executor &executor = item.second;
        if (executor.terminated || executor.unresponsive || executor.pool != pool) {
            continue;
        }
        all += executor.capacity.cpu;
        for (const std::pair<const std::string, simulated_run> &run : executor.runs) {
            used += run.second.demand.cpu;
        }
    }
    return 2 * used >= all;
}

bool load_executors::isRunning(const std::string &job) const
{
    return std::any_of(m_executors.begin(), m_executors.end(), [&job](const std::pair<const std::string, simulated_executor> &executor) {
        return std::any_of(executor.second.runs.begin(), executor.second.runs.end(), [&job](const std::pair<const std::string, simulated_run> &run) {
            return run.second.task.job == job;
        });
    });
}

void load_executors::disconnectExecutors()
{
    for (std::pair<const std::string, simulated_executor> &executor : m_executors) {
        if (executor.second.fault == executor_fault::BecomesUnresponsive) {
            executor.second.unresponsive = true;
            dropRuns(executor.second);
        }
    }
}

void load_executors::dropRuns(simulated_executor &executor)
{
    for (const std::pair<const std::string, simulated_run> &run : executor.runs) {
        --m_activeRunCounts[run.first];
    }
    executor.runs.clear();
}

load_executors::simulated_executor *load_executors::findReachable(const std::string &id)
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() || found->second.terminated || found->second.unresponsive ? nullptr : &found->second;
}

void load_executors::carryOut(const start_run &order)
{
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order] {
        const order_status status = start(order);
        m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order, status] {
            m_sink(start_answered{order.task, order.run, order.executor, status, m_timeline.now()});
        });
    });
}

load_executors::simulated_run load_executors::runOf(const start_run &order) const
{
    simulated_run run;
    run.task = order.task;
    run.run = order.run;
    run.startedAt = m_timeline.now();
    const auto found = m_demand.jobs().find(order.task.job);
    if (found == m_demand.jobs().end()) {
        run.durationMs = unboundedMs;
        run.demand = longRunningDemand();
        return run;
    }
    const simulated_job &job = found->second;
    const step_spec &step = job.spec.steps[static_cast<std::size_t>(order.task.step)];
    run.durationMs = job.taskMs.at(order.task.text());
    run.fails = job.alwaysFails;
    run.demand = step.demand;
    run.savesProgress = step.checkpointing;
    if (!order.checkpoint.empty()) {
        run.resumedMs = std::atoll(order.checkpoint.c_str());
        run.durationMs = std::max<time_ms>(1, run.durationMs - run.resumedMs) + checkpointRestoreMs;
    }
    return run;
}

order_status load_executors::start(const start_run &order)
{
    simulated_executor *executor = findReachable(order.executor);
    if (executor == nullptr) {
        return order_status::Unreachable;
    }
    simulated_run run = runOf(order);
    run.fails = run.fails || executor->fault == executor_fault::FailsRuns;
    run.stalls = executor->fault == executor_fault::StallsRuns;
    if (run.fails) {
        run.durationMs /= 2;
    }
    const std::string task = order.task.text();
    executor->runs[task] = run;
    ++m_activeRunCounts[task];
    countViolations(*executor, task);
    m_waits.started(task, m_timeline.now());
    const auto job = m_demand.jobs().find(order.task.job);
    if (job != m_demand.jobs().end() && job->second.crashingTask == task) {
        crashLater(*executor, task);
        return order_status::Ok;
    }
    if (!run.stalls) {
        m_timeline.at(m_timeline.now() + run.durationMs, [this, id = executor->id, task, number = run.run] {
            finish(id, task, number, run_end::Done);
        });
    }
    return order_status::Ok;
}

void load_executors::setRestart(std::function<void(const std::string &vm, const std::string &executor)> restart)
{
    m_restart = std::move(restart);
}

void load_executors::crashLater(const simulated_executor &executor, const std::string &task)
{
    if (m_crashesOfTask[task] >= crashesUntilCounted) {
        m_outcome.startsAfterThreeCrashes = std::max(m_outcome.startsAfterThreeCrashes, ++m_startsAfterThreeCrashes[task]);
    }
    m_timeline.at(m_timeline.now() + crashDelayMs, [this, task, id = executor.id, vm = executor.vm] {
        if (findReachable(id) == nullptr) {
            return;
        }
        ++m_crashesOfTask[task];
        ++m_outcome.crashes;
        crash(id);
        m_restart(vm, id);
    });
}

void load_executors::countViolations(const simulated_executor &executor, const std::string &task)
{
    if (m_activeRunCounts[task] > 1) {
        ++m_outcome.duplicateRuns;
    }
    resources used;
    for (const std::pair<const std::string, simulated_run> &run : executor.runs) {
        used += run.second.demand;
    }
    if (!used.fitsIn(executor.capacity)) {
        ++m_outcome.capacityViolations;
    }
}

void load_executors::finish(const std::string &id, const std::string &task, int number, run_end how)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    simulated_executor &executor = found->second;
    const auto run = executor.runs.find(task);
    if (run == executor.runs.end() || run->second.run != number) {
        return;
    }
    if (how == run_end::Done && run->second.fails) {
        how = run_end::Failed;
    }
    listed_end end;
    end.number = ++executor.lastEndNumber;
    end.task = run->second.task;
    end.run = number;
    end.how = how;
    if (run->second.savesProgress && how == run_end::Stopped) {
        end.checkpoint = std::to_string(run->second.resumedMs + m_timeline.now() - run->second.startedAt);
    }
    executor.ends.push_back(end);
    executor.runs.erase(run);
    --m_activeRunCounts[task];
    if (executor.pendingPoll) {
        std::exchange(executor.pendingPoll, nullptr)();
    }
}

void load_executors::carryOut(const stop_run &order)
{
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order] {
        finish(order.executor, order.task.text(), order.run, run_end::Stopped);
        m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order] {
            m_sink(stop_answered{order.task, order.run, order.executor, order_status::Ok});
        });
    });
}

void load_executors::carryOut(const poll_executor &order)
{
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order, sentAt = m_timeline.now()] {
        poll(order, sentAt);
    });
}

void load_executors::poll(const poll_executor &order, time_ms sentAt)
{
    simulated_executor *executor = findReachable(order.executor);
    if (executor == nullptr) {
        timeOutPoll(order.executor, sentAt);
        return;
    }
    std::erase_if(executor->ends, [&](const listed_end &end) {
        return end.number <= order.acknowledged;
    });
    if (!executor->ends.empty() || order.waitMs == 0) {
        answerPoll(order.executor, sentAt);
        return;
    }
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    executor->pendingPoll = [this, id = order.executor, sentAt, answered] {
        *answered = true;
        answerPoll(id, sentAt);
    };
    m_timeline.at(m_timeline.now() + order.waitMs, [this, id = order.executor, sentAt, answered] {
        if (!*answered) {
            *answered = true;
            m_executors.at(id).pendingPoll = nullptr;
            answerPoll(id, sentAt);
        }
    });
}

void load_executors::answerPoll(const std::string &id, time_ms sentAt)
{
    const simulated_executor *executor = findReachable(id);
    if (executor == nullptr) {
        timeOutPoll(id, sentAt);
        return;
    }
    poll_answered answer{id, order_status::Ok, sentAt, m_timeline.now(), {}, {}, executor->ends};
    for (const std::pair<const std::string, simulated_run> &run : executor->runs) {
        answer.runs.push_back(listRun(run.second));
    }
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, answer = std::move(answer)] {
        m_sink(answer);
    });
}

void load_executors::timeOutPoll(const std::string &id, time_ms sentAt)
{
    const auto executor = m_executors.find(id);
    const bool atOnce = executor != m_executors.end() && executor->second.connectionsBroken;
    m_timeline.at(m_timeline.now() + (atOnce ? loadNetworkMs : failureDetectionMs), [this, id, sentAt] {
        m_sink(poll_answered{id, order_status::Unknown, sentAt, {}, {}, {}, {}});
    });
}

listed_run load_executors::listRun(const simulated_run &run) const
{
    listed_run listed;
    listed.task = run.task;
    listed.run = run.run;
    const time_ms workedMs = run.stalls ? 0 : m_timeline.now() - run.startedAt;
    const time_ms allMs = run.resumedMs + run.durationMs;
    const time_ms percent = 100 * (run.resumedMs + workedMs) / std::max<time_ms>(1, allMs);
    listed.percent = run.durationMs == unboundedMs ? 100 : static_cast<int>(std::min<time_ms>(99, percent));
    return listed;
}

} // namespace daisypass::sched
