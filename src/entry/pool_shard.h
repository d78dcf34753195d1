#pragma once

// One pool in this entry: its scheduler under its lock, the requests it holds, and their calls to targets.
//
//     pool_shard shard(config, seed, client, metrics, hooks);
//     shard.updateView(view, urls, revision);
//     shard.submit(request);                       // request->done runs exactly once
//
// The scheduler decides under the lock; calls, callbacks and logs follow outside it. Every function may be called from any thread.

#include "base/metrics.h"
#include "base/time.h"
#include "entry/request_outcome.h"
#include "http/http_client.h"
#include "kernel/fleet_change.h"
#include "kernel/pool_scheduler.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisypass {

/** A request that has neither ended nor been refused. */
struct active_request
{
    request_info info;
    std::string id;
    std::vector<http_header> headers;
    std::string body;
    /** Receives the final outcome, once. */
    std::function<void(request_outcome)> done;
    /** Told when an attempt begins; may be empty. */
    std::function<void()> onRunning;
};

struct pool_hooks
{
    /** False if the entry is isolated now; asked before each decision and before each call. */
    std::function<bool()> mayDispatch;
    std::function<void(const borrow_slots &)> borrow;
    std::function<void(const return_slots &)> giveBack;
};

enum class cancel_result {
    /** The request is not in this pool, or it has ended. */
    NotFound,
    /** An attempt may have reached a target. */
    TooLate,
    /** The request will not run. */
    Cancelled,
};

struct pool_shard_load
{
    int queued = 0;
    int running = 0;
    int freeSlots = 0;
};

struct request_metrics;

class pool_shard
{
public:
    pool_shard(const pool_config &config, std::uint64_t seed, http_client &client, metrics_registry &metrics, pool_hooks hooks);
    ~pool_shard();
    pool_shard(const pool_shard &) = delete;
    pool_shard &operator=(const pool_shard &) = delete;

    void submit(std::shared_ptr<active_request> request);
    cancel_result cancel(request_number number);
    /** Ends every queued request as not run; those on a target go on. */
    void refuseQueued(refusal_reason reason);
    void tick();

    /** `urls` gives the run URL of each target in the view; `revision` is that of the fleet state behind the view. */
    void updateView(view_changed view, std::map<std::string, std::string, std::less<>> urls, revision_number revision);

    std::vector<slot_grant> lendSlots(const std::string &peer, int count);
    void slotsGranted(const std::string &peer, std::vector<slot_grant> grants);
    void slotsReturned(const std::string &peer, std::vector<slot_grant> grants);
    void peerLoad(const std::string &peer, int queued, int freeSlots);

    pool_shard_load load() const;
    /** Targets to which the last two calls or more could not connect. */
    std::vector<std::string> unreachable() const;
    /** Requests held, queued or on a target. */
    std::size_t requestCount() const;
    /** Calls on the VM, if the pool already knows this revision; 1 otherwise, because a call may still follow from the older view. */
    int inFlightOn(std::string_view vm, revision_number revision) const;

private:
    struct tracked_request;
    struct pending_call;
    struct side_effects;

    void decide(const std::function<void(side_effects &, timestamp)> &decision);
    void handleEvent(const scheduler_event &event, timestamp now, side_effects &effects);
    void updateIsolation(side_effects &effects, timestamp now);
    bool mayDispatch() const;
    cancel_result withdraw(request_number number, refusal_reason reason, timestamp now, side_effects &effects);
    void collect(scheduler_action &action, timestamp now, side_effects &effects);
    void collectDispatch(const dispatch &action, timestamp now, side_effects &effects);
    void collectFinish(const finish &action, side_effects &effects);
    void collectEnd(request_number number, request_outcome outcome, side_effects &effects);
    void perform(side_effects &effects, std::vector<scheduler_event> &next);
    void startCall(pending_call &pending, std::vector<scheduler_event> &next);
    void recordConnectResult(const std::string &vm, const http_result &result);
    void endCall(request_number number, const std::string &vm);
    void handleResponse(request_number number, const std::string &id, const std::string &vm, http_result result);
    void recordEnd(const tracked_request &ended, const request_outcome &outcome);
    std::shared_ptr<request_metrics> metricsOf(const request_info &info);

    const std::string m_pool;
    http_client &m_client;
    metrics_registry &m_metrics;
    pool_hooks m_hooks;

    mutable std::mutex m_lock;
    pool_scheduler m_scheduler;
    view_changed m_view;
    std::map<std::string, std::string, std::less<>> m_urls;
    revision_number m_revision = 0;
    std::unordered_map<request_number, tracked_request> m_tracked;
    /** Calls between the decision to dispatch and the end of the call, by VM. */
    std::map<std::string, int, std::less<>> m_calls;
    /** Failed connections in a row, by VM. */
    std::map<std::string, int, std::less<>> m_connectFailures;
    std::map<std::string, std::shared_ptr<request_metrics>, std::less<>> m_requestMetrics;
    std::vector<scheduler_action> m_actions;
    std::atomic<bool> m_hasQueued{false};
    std::atomic<std::int64_t> m_lastTick{0};
};

} // namespace daisypass
