#pragma once

// The executors of a modelled day: they start, finish and stop runs, and answer the scheduler's orders after the network's delay.

#include "load_demand.h"
#include "load_outcome.h"
#include "load_timeline.h"
#include "sched/events.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisypass::sched {

/** One way through the network. */
constexpr time_ms loadNetworkMs = 2;

/** Hands an event to the scheduler. */
using event_sink = std::function<void(const event &)>;

class load_executors
{
public:
    /** Counts broken promises in `outcome`; all references must outlive the executors. */
    load_executors(const load_settings &settings, const load_demand &demand, load_timeline &timeline, load_outcome &outcome, event_sink feed);

    /** Begins a new executor on the VM and returns its id. */
    std::string begin(const std::string &vm, const std::string &pool);
    /** Ends an executor and its runs; the scheduler learns of it later. */
    void end(const std::string &id);
    /** From now on the executors that are set to fall silent answer nothing; their runs have ended. */
    void silence();

    void carryOut(const start_run &order);
    void carryOut(const stop_run &order);
    void carryOut(const poll_executor &order);

private:
    enum class executor_fault {
        None,
        FailsRuns,
        StallsRuns,
        FallsSilent,
    };

    struct modelled_run
    {
        task_id task;
        int run = 0;
        time_ms startedAt = 0;
        time_ms takesMs = 0;
        bool fails = false;
        bool stalls = false;
        resources demand;
        /** Part of the work that an earlier run had saved. */
        time_ms resumedMs = 0;
        bool saves = false;
    };

    struct modelled_executor
    {
        std::string id;
        std::string pool;
        resources capacity;
        executor_fault fault = executor_fault::None;
        std::map<std::string, modelled_run> runs{};
        std::vector<listed_end> ends{};
        std::int64_t lastEnd = 0;
        bool silent = false;
        bool gone = false;
        /** The hold that waits for an end. */
        std::function<void()> waitingHold{};
    };

    executor_fault faultOf(const std::string &vm) const;
    modelled_executor *findLive(const std::string &id);
    modelled_run runOf(const start_run &order) const;
    order_status start(const start_run &order);
    void countBrokenPromises(const modelled_executor &executor, const std::string &task);
    void finish(const std::string &id, const std::string &task, int number, run_end how);
    void dropRuns(modelled_executor &executor);
    void hold(const poll_executor &order, time_ms sentAt);
    void answerHold(const std::string &id, time_ms sentAt);
    void loseHold(const std::string &id, time_ms sentAt);
    listed_run listRun(const modelled_run &run) const;

    load_settings m_settings;
    const load_demand &m_demand;
    load_timeline &m_timeline;
    load_outcome &m_outcome;
    event_sink m_feed;
    std::map<std::string, executor_fault> m_faults;
    std::map<std::string, modelled_executor> m_executors;
    /** Runs of each task that are alive, on whichever executor. */
    std::map<std::string, int> m_aliveRuns;
};

} // namespace daisypass::sched
