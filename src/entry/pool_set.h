#pragma once

// The pools of this entry. Updates their views whenever the fleet state or the set of live entries changes.
//
//     pool_set pools(self, seed, client, metrics, exchange);
//     pools.applyState(state);                            // from the follower
//     pools.applyLiveEntries({"entry-1", "entry-2"});     // from the membership
//     pool_lookup found = pools.find("booking");
//
// A pool that leaves the configuration keeps its shard with an empty view until its requests have ended.

#include "entry/pool_shard.h"
#include "kernel/fleet_state.h"
#include "net/peer_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Borrows slots from other entries and returns them; `peer` is the id of the entry. */
struct slot_exchange
{
    std::function<void(std::string_view peer, std::string_view pool, int count, std::function<void(std::vector<slot_grant>)> done)> borrow;
    std::function<void(std::string_view peer, std::string_view pool, const std::vector<slot_grant> &grants)> giveBack;
    /** See pool_hooks. */
    std::function<bool()> mayDispatch;
};

struct pool_lookup
{
    /** Null if the configuration has no such pool. */
    std::shared_ptr<pool_shard> shard;
    /** The fleet state in effect; never null. It configures the pool if `shard` is set. */
    std::shared_ptr<const fleet_state> state;
};

class pool_set
{
public:
    pool_set(std::string self, std::uint64_t seed, http_client &client, metrics_registry &metrics, slot_exchange exchange);

    void applyState(std::shared_ptr<const fleet_state> state);
    void applyLiveEntries(std::vector<std::string> liveEntries);
    void tick();

    pool_lookup find(std::string_view pool) const;
    std::vector<std::shared_ptr<pool_shard>> all() const;
    std::shared_ptr<const fleet_state> state() const;

    cancel_result cancel(request_number number);
    void refuseQueued(refusal_reason reason);
    std::size_t requestCount() const;

    std::vector<slot_grant> lendSlots(const std::string &peer, std::string_view pool, int count);
    void slotsReturned(const std::string &peer, std::string_view pool, std::vector<slot_grant> grants);
    void peerLoads(const std::string &peer, const std::vector<peer_pool_load> &loads);
    std::vector<peer_pool_load> loads() const;

    /**
     * Calls in flight on the VM in all pools, or at least 1 if a pool has not applied this revision of the fleet state yet. Once this is 0 for the revision
     * of a drain, no call is sent to the VM until the fleet log returns it to service, because no view from that revision on contains it.
     */
    int inFlightOn(std::string_view vm, revision_number revision) const;

private:
    using shard_map = std::map<std::string, std::shared_ptr<pool_shard>, std::less<>>;

    void rebuild();
    std::shared_ptr<pool_shard> findOrCreateShard(const pool_config &config);
    pool_hooks hooksFor(const std::string &pool);

    const std::string m_self;
    const std::uint64_t m_seed;
    http_client &m_client;
    metrics_registry &m_metrics;
    slot_exchange m_exchange;

    /** Serializes rebuild(), so that views reach the shards in the order of their revisions. */
    std::mutex m_rebuildLock;
    mutable std::mutex m_lock;
    shard_map m_shards;
    std::shared_ptr<const fleet_state> m_state;
    std::vector<std::string> m_liveEntries;
};

} // namespace daisypass
