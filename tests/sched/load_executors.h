#pragma once

// The executors of a simulated day: they start, finish and stop runs, and answer the scheduler's orders after the network's delay.
//
//     load_executors executors(settings, demand, timeline, outcome, sink);
//     const std::string id = executors.startExecutor("vm1", "booking");
//     executors.carryOut(order);  // the sink gets the answer later on the timeline

#include "load_demand.h"
#include "load_outcome.h"
#include "load_timeline.h"
#include "sched/events.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisypass::sched {

/** One-way network delay. */
constexpr time_ms loadNetworkMs = 2;

/** Hands an event to the scheduler. */
using event_sink = std::function<void(const event &)>;

class load_executors
{
public:
    /** Counts violated guarantees in `outcome`; all references must outlive the executors. */
    load_executors(const load_settings &settings, const load_demand &demand, load_timeline &timeline, load_outcome &outcome, event_sink sink);

    /** Starts a new executor on the VM and returns its id. */
    std::string startExecutor(const std::string &vm, const std::string &pool);
    /** Terminates an executor and its runs; the scheduler is told after the failure detection time. */
    void terminateExecutor(const std::string &id);
    /** Ends the runs of the executors whose fault is BecomesUnresponsive; from now on these executors answer no order. */
    void disconnectExecutors();

    /** Measures the waits for the next starts of tasks whose runs were lost in crashes; called at short intervals. */
    void measureWaits();
    /** Ends the waits of a job that has ended. */
    void jobEnded(const std::string &job);
    /** Ends the measuring. */
    void settleWaits();

    /** `restart(vm, executor)` is called when a run has crashed the VM's executor. */
    void setRestart(std::function<void(const std::string &vm, const std::string &executor)> restart);

    void carryOut(const start_run &order);
    void carryOut(const stop_run &order);
    void carryOut(const poll_executor &order);

private:
    enum class executor_fault {
        None,
        FailsRuns,
        StallsRuns,
        BecomesUnresponsive,
    };

    struct simulated_run
    {
        task_id task;
        int run = 0;
        time_ms startedAt = 0;
        time_ms durationMs = 0;
        bool fails = false;
        bool stalls = false;
        resources demand;
        /** Work, in ms, that an earlier run's checkpoint has saved. */
        time_ms resumedMs = 0;
        bool savesProgress = false;
    };

    struct simulated_executor
    {
        std::string id;
        std::string pool;
        std::string vm;
        resources capacity;
        executor_fault fault = executor_fault::None;
        std::map<std::string, simulated_run> runs{};
        std::vector<listed_end> ends{};
        std::int64_t lastEndNumber = 0;
        bool unresponsive = false;
        bool terminated = false;
        bool connectionsBroken = false;
        /** Answers the long poll that waits for an end; empty if there is none. */
        std::function<void()> pendingPoll{};
    };

    executor_fault faultOf(const std::string &vm) const;
    simulated_executor *findReachable(const std::string &id);
    simulated_run runOf(const start_run &order) const;
    order_status start(const start_run &order);
    /** Crashes the executor shortly after the start of a run that does so. */
    void crashLater(const simulated_executor &executor, const std::string &task);
    void crash(const std::string &id);
    /** `detectionMs` later the scheduler is told. */
    void terminate(simulated_executor &executor, time_ms detectionMs);
    /** Number of runs of the task that the free capacity of its pool has room for. */
    int roomFor(const lost_run &run) const;
    bool isHalfInUse(const std::string &pool) const;
    bool isRunning(const std::string &job) const;
    void countViolations(const simulated_executor &executor, const std::string &task);
    void finish(const std::string &id, const std::string &task, int number, run_end how);
    void dropRuns(simulated_executor &executor);
    void poll(const poll_executor &order, time_ms sentAt);
    void answerPoll(const std::string &id, time_ms sentAt);
    void timeOutPoll(const std::string &id, time_ms sentAt);
    listed_run listRun(const simulated_run &run) const;

    load_settings m_settings;
    const load_demand &m_demand;
    load_timeline &m_timeline;
    load_outcome &m_outcome;
    event_sink m_sink;
    std::function<void(const std::string &vm, const std::string &executor)> m_restart;
    /** Executors that have crashed under a task, and its starts after the third crash. */
    std::map<std::string, int> m_crashesOfTask;
    std::map<std::string, int> m_startsAfterThreeCrashes;
    std::map<std::string, executor_fault> m_faults;
    std::map<std::string, simulated_executor> m_executors;
    lost_run_waits m_waits;
    /** Number of active runs of each task over all executors. */
    std::map<std::string, int> m_activeRunCounts;
};

} // namespace daisypass::sched
