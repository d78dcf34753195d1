#pragma once

// All parts of daisypass-entry put together, for the program and for tests inside one process.
//
//     entry_process entry(settings, seed);
//     failure reason;
//     if (!entry.start(reason)) { ... }
//     std::uint16_t port = entry.callersPort();
//     bool clean = entry.stop();                 // graceful: finishes what is in flight, hands over, leaves

#include "base/failure.h"
#include "base/metrics.h"
#include "entry/caller_service.h"
#include "entry/entry_settings.h"
#include "entry/fleet_follower.h"
#include "entry/membership.h"
#include "entry/pool_set.h"
#include "entry/submissions.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "services/fleet_log.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace daisypass {

/** Claims have a client of their own, so that they neither delay the fleet log nor count as control work. */
struct entry_stores
{
    table_service log;
    table_service claims;
    object_store objects;
    /** The client behind `log` and `objects`, whose bytes are counted; may be null. */
    std::shared_ptr<http_client> client;
};

class entry_process
{
public:
    /** Uses the platform that the settings name. `seed` must differ between processes; the incarnation is drawn from it. */
    entry_process(const entry_settings &settings, std::uint64_t seed);
    /** The same with another table service and object store, for tests. */
    entry_process(entry_settings settings, std::uint64_t seed, entry_stores stores);
    ~entry_process();

    /** Before start(). Called if the fleet log removed this entry, which can serve no longer; the process should stop. */
    void setRemovedHandler(std::function<void()> callback);

    /** Listens, then joins in the background. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Returns once nothing is left to do; false if the outcomes or entry_left could not be written in time. Idempotent. */
    bool stop();

    bool ready() const;
    std::uint16_t callersPort() const;
    endpoint peersEndpoint() const;
    incarnation_number incarnation() const;
    metrics_registry &metrics();

private:
    bool startMembership(failure &reason);
    slot_exchange slotExchange();
    peer_queries peerQueries();
    membership_handlers membershipHandlers();
    void runTicks();
    void updateProcessMetrics();
    bool finishRequests();

    entry_settings m_settings;
    const std::uint64_t m_seed;
    const incarnation_number m_incarnation;
    metrics_registry m_metrics;
    entry_stores m_stores;
    std::function<void()> m_removed;
    std::unique_ptr<http_client> m_targets;
    std::unique_ptr<pool_set> m_pools;
    std::unique_ptr<submissions> m_requests;
    std::unique_ptr<caller_service> m_service;
    std::unique_ptr<fleet_follower> m_follower;
    std::unique_ptr<membership> m_membership;
    std::unique_ptr<http_server> m_server;

    std::mutex m_lock;
    std::condition_variable m_wake;
    bool m_ticking = false;
    std::thread m_ticker;
    std::atomic<bool> m_stopping{false};
    bool m_started = false;
    bool m_clean = true;
};

} // namespace daisypass
