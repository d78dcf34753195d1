#pragma once

// Follows the fleet log: replays it from the store, and from peers that are ahead or while the store does not answer.
//
//     fleet_follower follower(table, objects, options);
//     follower.addListener([](std::shared_ptr<const fleet_state> state) { ... });
//     follower.start();
//     std::shared_ptr<const fleet_state> state = follower.state();
//
// One thread polls the store and one fetches from peers, so that a store that hangs does not delay what peers know. Listeners run on
// these threads, one at a time, in the order in which they were added and in the order of revisions; they must not call stop() or
// refresh(). The revision never falls. Used by daisypass-entry and daisypass-control.

#include "base/time.h"
#include "kernel/fleet_state.h"
#include "net/peer_messages.h"
#include "services/object_store.h"
#include "services/table_service.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

struct fleet_follower_options
{
    duration pollInterval = std::chrono::seconds(1);
    /** Bounds of the back-off towards the store after failures; full jitter. */
    duration minBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::seconds(10);
    /** Records kept in memory for peers that lag. */
    std::size_t keptRecords = 2'000;
    std::uint64_t seed = 1;
};

/** Where the follower finds peers. Both functions block up to their own deadline and return nothing if no peer has an answer. */
struct follower_peers
{
    std::function<std::optional<log_page>(revision_number after, int limit)> fetchLog;
    std::function<std::optional<std::string>(std::string_view hash)> fetchFile;
};

class fleet_follower
{
public:
    using listener = std::function<void(std::shared_ptr<const fleet_state>)>;
    /** The store answered a read started at this time (steady clock), and `revision` was the last one then. */
    using contact_listener = std::function<void(timestamp startedAt, revision_number revision)>;

    fleet_follower(table_service table, object_store objects, fleet_follower_options options);
    ~fleet_follower();

    /** Before start(). */
    void addListener(listener callback);
    /** Before start(). Called on the store's thread after each successful read of the head, once its revision is replayed. */
    void addContactListener(contact_listener callback);
    /** Before start(). */
    void setPeers(follower_peers peers);

    void start();
    /** Waits for the threads. Idempotent. */
    void stop();

    /** Never null; the empty state of revision 0 before the first replay. */
    std::shared_ptr<const fleet_state> state() const;

    /** Makes the next poll happen now, regardless of the back-off; does not wait for it. */
    void pollNow();
    /** Polls now and waits for the end of a poll that began after the call. Fails with the reason of that poll, or with Timeout. */
    bool refresh(duration limit, failure &reason);
    /** A peer reported this revision; if it is ahead, the records are fetched from peers now. */
    void onPeerRevision(revision_number revision);

    /** When the last successful read of the store was started (steady clock), or no value if there was none. */
    std::optional<timestamp> lastStoreContact() const;
    /** Whether the last poll succeeded. */
    bool storeReachable() const;
    /** Highest revision known to exist, from the store or peers; may be ahead of state(). */
    revision_number highestRevision() const;

    /** Records after this revision for a peer, at most `limit`; a snapshot if they are no longer held. */
    log_page page(revision_number after, int limit) const;
    /** A configuration file body, if it is held. */
    std::optional<std::string> file(std::string_view hash) const;
    /** Adds a body that this process is about to name in a change. */
    void cacheFile(std::string_view text);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
