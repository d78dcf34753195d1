#pragma once

// Stand-in of an executor: runs tasks under a lease, as the users' protocol page describes it, and registers itself in the store.
//
// The words of a task's Spec set what it does: "ms=800" is the time that it works, and "lasts" a task that works until it is stopped.

#include "store.h"

#include <functional>
#include <optional>

namespace review {

struct executor_kind
{
    std::string label;
    std::int64_t cpu = 0;
    std::int64_t memoryMb = 0;
};

struct executor_bounds
{
    millis maxHoldMs = 6'000;
    millis stopMs = 400;
    millis heartbeatMs = 1'500;
};

class executor
{
public:
    struct run
    {
        std::string task;
        int number = 0;
        std::string spec;
        millis startedAt = 0;
        double workLeftMs = 0;
        double workMs = 0;
        int pace = 100;
        /** When a stop takes effect. */
        std::optional<millis> stopsAt;
    };

    /** Is told the run that has started, all runs on the executor, and its kind. */
    using start_listener = std::function<void(const std::string &executor, const run &started, const std::vector<run> &all, const executor_kind &kind)>;

    executor(std::string id, std::string service, std::string machine, executor_kind kind, store &rows, event_record &record);

    bool start();
    /** Ends the process: all runs are gone, and calls are refused. */
    void crash();
    /** Ends the process for good, and takes its entry out of the registry. */
    void leave();
    /** Starts the process again, under the same id and address; it knows nothing of before. */
    bool restart(executor_kind kind);
    /** While it is cut off from the store, its entry is not written. */
    void cutFromStore(bool cut);
    /** Called for each start; for the checks of the scenario. */
    void onStart(start_listener listener);

    const std::string &id() const
    {
        return m_id;
    }
    /** Ends the task's run as failed, by its own fault. */
    void failRun(const std::string &task);
    /** The tasks that run here. */
    std::vector<std::string> tasks();
    /** The same without the tasks that fill. */
    static std::int64_t ownTailMs();
    int failedEnds();

private:
    http_response handle(const http_request &request);
    http_response startRun(const json &body, json reply);
    http_response stopRun(const json &body, const json &reply);
    http_response setPace(const json &body, const json &reply);
    http_response hold(std::unique_lock<std::mutex> &guard, const json &body);
    void extendLease(const json &body);
    void work();
    void endRun(std::size_t index, const std::string &how);
    void writeEntry();
    json reply() const;
    millis clockMs() const;

    std::string m_id;
    std::string m_service;
    std::string m_machine;
    store &m_store;
    event_record &m_record;
    http_server m_server;
    std::mutex m_lock;
    std::condition_variable m_ended;
    executor_kind m_kind;
    executor_bounds m_bounds;
    bool m_up = false;
    bool m_cutFromStore = false;
    millis m_bornUnixMs = 0;
    millis m_startedAt = 0;
    std::int64_t m_fenceToken = 0;
    millis m_leaseEndMs = 0;
    std::int64_t m_sequence = 0;
    millis m_nextHeartbeatAt = 0;
    millis m_workedAt = 0;
    std::vector<run> m_runs;
    /** Highest run of each task that was stopped or has ended here. */
    std::map<std::string, int> m_refusedUpTo;
    std::vector<json> m_ends;
    std::int64_t m_lastEnd = 0;
    int m_failedEnds = 0;
    start_listener m_onStart;
};

} // namespace review
