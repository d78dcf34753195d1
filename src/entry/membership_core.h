#pragma once

// Implementation of membership: events, answers to peers, and threads. Private to src/entry; membership.h is the interface.

#include "entry/entry_registration.h"
#include "entry/incarnation_index.h"
#include "entry/membership.h"
#include "entry/peer_loads.h"
#include "kernel/membership_view.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace daisypass {

struct membership::implementation
{
    implementation(membership_options membershipOptions, fleet_follower &fleetFollower, fleet_log log, membership_handlers callHandlers);

    // Events and answers.
    void handle(const membership_event &event);
    void onReplayed(const std::shared_ptr<const fleet_state> &state);
    void sendGossip(const entry_record &peer);
    gossip_message composeGossip(const std::function<gossip_message()> &composeLoads);
    gossip_message answerGossip(gossip_message message);
    void updatePeerLoads(const std::string &peer, const gossip_message &message);
    drain_answer answerDrain(const drain_question &question) const;
    peer_handlers serviceHandlers();
    follower_peers followerPeers();
    template<typename T, typename Call>
    std::optional<T> queryPeers(Call call);

    // Threads.
    void runTimer();
    void runWorker();
    void resolveIncarnation(incarnation_number incarnation, const std::function<void(std::optional<peer_address>, const failure &)> &then);
    void runLookups(std::deque<std::function<void()>> &lookups);

    membership_options options;
    fleet_follower &follower;
    entry_registration registration;
    incarnation_index index;
    membership_handlers handlers;
    std::vector<listener> listeners;
    std::vector<load_listener> loadListeners;
    std::atomic<std::int64_t> dispatchUntil{timestamp::min().count()};

    mutable std::mutex lock;
    std::condition_variable wakeTimer;
    std::condition_variable wakeWorker;
    bool stopping = false;
    bool leaving = false;
    membership_view view;
    peer_loads loads;
    // The time stamp of the last gossip answer from each incarnation, by that peer's clock; echoed in the next message to it.
    std::map<incarnation_number, std::uint64_t> stamps;
    std::mt19937_64 random;
    revision_number revision = 0;
    membership_status latestStatus;
    bool statusChanged = false;
    std::deque<std::function<void()>> pendingLookups;

    std::unique_ptr<peer_service> service;
    std::unique_ptr<peer_client> client;
    std::thread timerThread;
    std::thread workerThread;
};

} // namespace daisypass
