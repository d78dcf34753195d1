#pragma once

// One pool in this entry: the scheduler, the requests that are queued or running, and their calls to targets.
//
//     pool_shard shard(config, seed, client, metrics, hooks);
//     shard.updateView(view, urls, revision);
//     shard.submit(request);                       // request->done runs exactly once
//
// The scheduler runs under the shard's lock; calls to targets, callbacks and logging follow without it. All functions are thread-safe.

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

/** A request that is queued or running. */
struct active_request
{
    request_info info;
    std::string id;
    std::vector<http_header> headers;
    std::string body;
    /** Receives the final outcome, once. */
    std::function<void(request_outcome)> done;
    /** Called when the first attempt begins; may be empty. */
    std::function<void()> onRunning;
};

struct pool_hooks
{
    /** False while the entry is isolated. Checked before each scheduling decision and before each call. If empty, dispatching is always allowed. */
    std::function<bool()> mayDispatch;
    /** Requests slots from a peer, whose answer arrives as slotsGranted(). If empty, every request is answered with no grants. */
    std::function<void(const borrow_slots &)> borrow;
    /** Returns borrowed slots; may be empty. */
    std::function<void(const return_slots &)> giveBack;
};

enum class cancel_result {
    /** The request is not in this pool, or it has ended. */
    NotFound,
    /** An attempt may have reached a target. */
    TooLate,
    /** The request was queued; it ended as not run. */
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
    /** Ends every queued request as not run. Requests in flight on a target continue. */
    void refuseQueued(refusal_reason reason);
    /** Call every 10 ms. While no request is queued, only one call per 100 ms reaches the scheduler. */
    void tick();

    /** `urls` maps each VM in the view to its target's URL; `revision` is that of the fleet state from which the view was made. Older views are ignored. */
    void updateView(view_changed view, std::map<std::string, std::string, std::less<>> urls, revision_number revision);

    std::vector<slot_grant> lendSlots(const std::string &peer, int count);
    void slotsGranted(const std::string &peer, std::vector<slot_grant> grants);
    void slotsReturned(const std::string &peer, std::vector<slot_grant> grants);
    void peerLoad(const std::string &peer, int queued, int freeSlots);

    pool_shard_load load() const;
    /** VMs to which at least the last two connection attempts failed. */
    std::vector<std::string> unreachable() const;
    /** Requests that are queued or in flight on a target. */
    std::size_t requestCount() const;
    /** Calls in flight on the VM if the pool has applied this revision; otherwise 1, because the older view may still lead to a call. */
    int inFlightOn(std::string_view vm, revision_number revision) const;

private:
    struct tracked_request;
    struct pending_call;
    struct side_effects;

    void decide(const std::function<void(side_effects &, timestamp)> &decision);
    void handleEvent(const scheduler_event &event, timestamp now, side_effects &effects);
    void updateIsolation(side_effects &effects, timestamp now);
    bool mayDispatch() const;
    cancel_result endIfQueued(request_number number, refusal_reason reason, timestamp now, side_effects &effects);
    void collect(scheduler_action &action, timestamp now, side_effects &effects);
    void collectDispatch(const dispatch &action, timestamp now, side_effects &effects);
    void collectFinish(const finish &action, side_effects &effects);
    void collectEnd(request_number number, request_outcome outcome, side_effects &effects);
    void perform(side_effects &effects, std::vector<scheduler_event> &next);
    void startCall(pending_call &pending, std::vector<scheduler_event> &next);
    void recordConnectResult(const std::string &vm, const http_result &result);
    void endCall(request_number number, const std::string &vm);
    void handleCallResult(request_number number, const std::string &id, const std::string &vm, http_result result);
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
    /** Number of calls per VM, counted from the decision to dispatch until the call ended. */
    std::map<std::string, int, std::less<>> m_calls;
    /** Number of consecutive failed connection attempts per VM. */
    std::map<std::string, int, std::less<>> m_connectFailures;
    std::map<std::string, std::shared_ptr<request_metrics>, std::less<>> m_requestMetrics;
    std::vector<scheduler_action> m_actions;
    std::atomic<bool> m_hasQueued{false};
    std::atomic<std::int64_t> m_lastTick{0};
};

} // namespace daisypass
