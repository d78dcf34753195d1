#pragma once

// Group membership of one entry: registers it in the fleet log, exchanges heartbeats (gossip) with all peers and reports which are alive.
//
//     membership group(options, follower, log, handlers);
//     group.addListener([](const membership_status &status) { ... });
//     failure reason;
//     if (!group.start(reason)) { ... }          // listens for peers, then joins in the background
//     if (group.mayDispatch()) { ... }           // at each dispatch
//     group.leave(std::chrono::seconds(5));      // appends entry_left, on a graceful stop
//
// kernel/membership_view.h makes the decisions; this module supplies its threads, clock and remote calls.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "base/time.h"
#include "entry/fleet_follower.h"
#include "net/peer_client.h"
#include "net/peer_service.h"
#include "services/fleet_log.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct membership_options
{
    std::string entry;
    /** A random number drawn when the process starts; identifies this run of the entry. */
    incarnation_number incarnation = 0;
    /** Address for callers, as written to the fleet log. */
    endpoint callers;
    /** Where the peer service listens; with port 0 the system chooses a port. */
    endpoint peers;
    std::string availabilityZone;
    std::uint64_t seed = 1;
};

/** Handlers for calls from peers and controllers. They run on the peer service's threads and must not block. */
struct membership_handlers
{
    std::function<std::vector<peer_grant>(const borrow_call &)> borrowSlots;
    std::function<void(const return_call &)> returnSlots;
    /** Called only for requests addressed to this process's incarnation, as is cancelRequest. */
    std::function<fate_answer(std::string_view requestId)> getFate;
    std::function<cancel_answer(std::string_view requestId)> cancelRequest;
    /** Returns the number of requests in flight on the VM. Called only after the follower's listeners have processed the drain. */
    std::function<int(std::string_view vm)> inFlight;
    /** Returns this entry's load per pool. Called for each gossip message that is sent or answered. */
    std::function<std::vector<peer_pool_load>()> loads;
};

/** A live or suspected peer and the values that it last reported. */
struct peer_status
{
    std::string entry;
    incarnation_number incarnation = 0;
    bool live = false;
    bool ready = false;
    revision_number revision = 0;
    std::vector<peer_pool_load> pools = {};
};

struct membership_status
{
    /** Ids of the entries in the fleet state that are not suspected, sorted; includes this entry once it has joined. */
    std::vector<std::string> live;
    bool isolated = true;
    bool ready = false;
    /** The fleet log removed this incarnation. Drains no longer wait for it, so it never dispatches again and the process should exit. */
    bool removed = false;

    bool operator==(const membership_status &) const = default;
};

class membership
{
public:
    using listener = std::function<void(const membership_status &)>;
    using load_listener = std::function<void(const std::string &peer, const std::vector<peer_pool_load> &pools)>;

    /**
     * Adds listeners to the follower, which must not be started yet and must outlive the membership. Add the entry's own listeners to the
     * follower first: store contact counts and drains are confirmed only after they have run, so their changes must be in effect when they
     * return.
     */
    membership(membership_options options, fleet_follower &follower, fleet_log log, membership_handlers handlers);
    ~membership();

    /** Call before start(). The listener runs on the membership's timer thread each time the status changes. */
    void addListener(listener callback);
    /** Call before start(). The listener runs on a client or service thread each time a peer's loads change. */
    void addLoadListener(load_listener callback);

    /** Starts the peer service, then joins and gossips in the background. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Appends entry_left; returns false if that failed within the limit. Gossip continues until stop(). Must not be called by listeners. */
    bool leave(duration limit);
    /** Also stops the follower, because the follower calls this object. Idempotent. */
    void stop();

    membership_status status() const;
    /**
     * False if the entry is isolated at this moment, by the age of its last contact; so also after the process was frozen. Cheap enough to
     * call for each dispatch.
     */
    bool mayDispatch() const;
    std::vector<peer_status> peers() const;
    incarnation_number incarnation() const;
    /** The address and port on which the peer service listens. */
    endpoint peersEndpoint() const;

    /** Calls the peer with this entry id. Fails with PeerUnreachable if the fleet state does not list it. */
    void borrowSlots(std::string_view entry, std::string_view pool, int count, peer_callback<std::vector<peer_grant>> done);
    void returnSlots(std::string_view entry, std::string_view pool, std::vector<peer_grant> grants);
    /**
     * Calls the given incarnation, which may be this process's own. WrongIncarnation means that the incarnation has ended: the fleet state no
     * longer lists it, or a read of the store begun after this call does not list it. PeerUnreachable or Timeout means that it is unknown
     * whether the incarnation has ended.
     */
    void getFate(incarnation_number incarnation, std::string_view requestId, peer_callback<fate_answer> done);
    void cancelRequest(incarnation_number incarnation, std::string_view requestId, peer_callback<cancel_answer> done);

private:
    template<typename answer>
    using peer_query = void (peer_client::*)(const peer_address &, std::string_view, peer_callback<answer>);

    template<typename answer>
    void queryIncarnation(incarnation_number incarnation,
                          std::string_view requestId,
                          peer_callback<answer> done,
                          const std::function<answer(std::string_view)> &localHandler,
                          peer_query<answer> remoteCall);

    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
