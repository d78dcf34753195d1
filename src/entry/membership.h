#pragma once

// The entry's part in the group of entries: joins the fleet log, gossips with all peers and says who is alive.
//
//     membership group(options, follower, log, handlers);
//     group.addListener([](const membership_status &status) { ... });
//     failure reason;
//     if (!group.start(reason)) { ... }          // listens for peers, then joins in the background
//     if (group.mayDispatch()) { ... }           // at each dispatch
//     group.leave(std::chrono::seconds(5));      // appends entry_left, on a graceful stop
//
// Decisions are in kernel/membership_view.h; this module has the thread, the clock and the calls.

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
    /** Random, chosen at the start of the process. */
    incarnation_number incarnation = 0;
    endpoint callers;
    /** Where the peer service listens; port 0 lets the system choose. */
    endpoint peers;
    std::string availabilityZone;
    std::uint64_t seed = 1;
};

/** Calls from peers and controllers that the entry itself answers. They run on the peer service's threads and must not block. */
struct membership_handlers
{
    std::function<std::vector<peer_grant>(const borrow_call &)> borrowSlots;
    std::function<void(const return_call &)> returnSlots;
    /** The incarnation asked for is this process's. */
    std::function<fate_answer(std::string_view requestId)> getFate;
    std::function<cancel_answer(std::string_view requestId)> cancelRequest;
    /** Requests in flight on the VM. Asked only once the follower's listeners have seen the drain. */
    std::function<int(std::string_view vm)> inFlight;
    /** This entry's load per pool, asked before each round of gossip. */
    std::function<std::vector<peer_pool_load>()> loads;
};

/** A live or suspected peer and what it told last. */
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
    /** Entries of the fleet state that are not suspected, this one included once it joined; sorted. */
    std::vector<std::string> live;
    bool isolated = true;
    bool ready = false;
    /** The log removed this incarnation. Drains no longer wait for it, so it never dispatches again; the process should end. */
    bool removed = false;

    bool operator==(const membership_status &) const = default;
};

class membership
{
public:
    using listener = std::function<void(const membership_status &)>;
    using load_listener = std::function<void(const std::string &peer, const std::vector<peer_pool_load> &pools)>;

    /**
     * Registers with the follower, which must not be started yet and must outlive the membership. Add the entry's own listeners to the
     * follower first: contact counts and drains are confirmed only after they have run, so they must have taken effect on return.
     */
    membership(membership_options options, fleet_follower &follower, fleet_log log, membership_handlers handlers);
    ~membership();

    /** Before start(). Called whenever the status changes, from the membership's thread. */
    void addListener(listener told);
    /** Before start(). Called when a peer's loads changed, from a client or service thread. */
    void addLoadListener(load_listener told);

    /** Listens, then joins and gossips in the background. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Appends entry_left; false if it could not be appended within the limit. Gossip continues until stop(). Not for listeners. */
    bool leave(duration limit);
    /** Also stops the follower, which calls this object. Idempotent. */
    void stop();

    membership_status status() const;
    /** False if isolated by the age of the last contact now, so also in a process that was frozen. Cheap enough for each dispatch. */
    bool mayDispatch() const;
    std::vector<peer_status> peers() const;
    incarnation_number incarnation() const;
    /** Where the peer service listens. */
    endpoint peersEndpoint() const;

    /** Calls to a peer by its entry id; PeerUnreachable if the fleet state does not name it. */
    void borrowSlots(std::string_view entry, std::string_view pool, int count, peer_callback<std::vector<peer_grant>> done);
    void returnSlots(std::string_view entry, std::string_view pool, std::vector<peer_grant> grants);
    /**
     * Calls to an incarnation, also this one. WrongIncarnation means that it has ended: the fleet state named it once, or does not name it
     * after a read of the store. PeerUnreachable or Timeout means that this could not be found out.
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
                          const std::function<answer(std::string_view)> &own,
                          peer_query<answer> ask);

    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
