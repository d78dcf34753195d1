#pragma once

// Follows the fleet log: replays it from the store, and from peers when they are ahead, for example while the store is unreachable.
//
//     fleet_follower follower(table, objects, options);
//     follower.addListener([](std::shared_ptr<const fleet_state> state) { ... });
//     follower.start();
//     std::shared_ptr<const fleet_state> state = follower.state();
//
// One thread polls the store and another fetches from peers, so that a store that hangs does not delay records that peers have. Listeners
// run on these threads, one at a time, in the order in which they were added and in order of revision; they must not call stop() or
// refresh(). The revision never decreases. Used by daisypass-entry and daisypass-control.

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
    /** Bounds of the exponential back-off, with full jitter, after failed polls of the store. */
    duration minBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::seconds(10);
    /** Number of recent records kept in memory to serve to peers that lag. */
    std::size_t keptRecords = 2'000;
    std::uint64_t seed = 1;
};

/** Calls to peers. Both functions block until their own deadline at most and return nothing if no peer answers. */
struct follower_peers
{
    std::function<std::optional<log_page>(revision_number after, int limit)> fetchLog;
    std::function<std::optional<std::string>(std::string_view hash)> fetchFile;
};

class fleet_follower
{
public:
    using listener = std::function<void(std::shared_ptr<const fleet_state>)>;
    /** The store answered a read of the log head that was started at `startedAt` (steady clock); `revision` was the last one. */
    using contact_listener = std::function<void(timestamp startedAt, revision_number revision)>;

    fleet_follower(table_service table, object_store objects, fleet_follower_options options);
    ~fleet_follower();

    /** Call before start(). The listener is called with each new state. */
    void addListener(listener callback);
    /** Call before start(). The listener runs on the store thread after each successful poll, once the head's revision is replayed. */
    void addContactListener(contact_listener callback);
    /** Call before start(). Without peers only the store is used. */
    void setPeers(follower_peers peers);

    void start();
    /** Stops both threads and waits for them. Idempotent. */
    void stop();

    /** Never null; before the first replay it is the empty state of revision 0. */
    std::shared_ptr<const fleet_state> state() const;

    /** Starts a poll of the store now, regardless of the back-off; does not wait for it. */
    void pollNow();
    /** Polls the store now and waits until a poll that began after this call has ended. Fails like that poll, or with Timeout. */
    bool refresh(duration limit, failure &reason);
    /** Call when a peer reported this revision. If it is ahead of state(), records are fetched from peers now. */
    void onPeerRevision(revision_number revision);

    /** When the last successful poll of the store was started (steady clock); no value if there was none. */
    std::optional<timestamp> lastStoreContact() const;
    /** Whether the last poll of the store succeeded; true before the first poll. */
    bool storeReachable() const;
    /** Highest revision known to exist, from the store or peers; may be ahead of state(). */
    revision_number highestRevision() const;

    /** Records after this revision to serve to a peer, at most `limit`; a snapshot if those records have been discarded. */
    log_page page(revision_number after, int limit) const;
    /** The body of a configuration file, if it is cached. */
    std::optional<std::string> file(std::string_view hash) const;
    /** Caches the body of a configuration file that a change, about to be appended by this process, refers to. */
    void cacheFile(std::string_view text);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
