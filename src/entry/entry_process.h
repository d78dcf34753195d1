#pragma once

// Assembles all parts of daisypass-entry, for the program and for tests that run an entry inside their own process.
//
//     entry_process entry(settings, seed);
//     failure reason;
//     if (!entry.start(reason)) { ... }
//     std::uint16_t port = entry.callersPort();
//     bool clean = entry.stop();                 // graceful: finishes requests, saves outcomes, leaves the fleet log

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

/** Services of the platform. Claims use a separate HTTP client, so that they neither delay the fleet log nor count as control traffic. */
struct entry_stores
{
    table_service log;
    table_service claims;
    object_store objects;
    /** The HTTP client that `log` and `objects` use, whose bytes are reported as a metric; may be null. */
    std::shared_ptr<http_client> client;
};

class entry_process
{
public:
    /** Connects to the platform given in the settings. `seed` must differ between processes, as the incarnation is derived from it. */
    entry_process(const entry_settings &settings, std::uint64_t seed);
    /** Uses the given table services and object store instead, for tests. */
    entry_process(entry_settings settings, std::uint64_t seed, entry_stores stores);
    ~entry_process();

    /** Call before start(). The handler runs if the fleet log removes this entry, which can then no longer serve; the process should stop. */
    void setRemovedHandler(std::function<void()> callback);

    /** Listens for callers and peers, then joins in the background. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Finishes all requests and stops; returns false if the outcomes or entry_left could not be written in time. Idempotent. */
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
