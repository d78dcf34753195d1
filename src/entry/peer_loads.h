#pragma once

// The loads that entries exchange in gossip messages, with versions so that unchanged loads are not sent again.
//
//     peer_loads loads(incarnation);
//     loads.setLocalLoads(pools);
//     gossip_message message = loads.composeDelta("entry-2", incarnation);
//     if (loads.update("entry-2", answer)) { use(loads.loadsOf("entry-2", incarnation)); }
//
// Not thread-safe; the owner synchronises all calls.

#include "net/peer_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

class peer_loads
{
public:
    explicit peer_loads(incarnation_number incarnation);

    /** Sets this entry's loads; the version grows if they differ from the last ones. */
    void setLocalLoads(std::vector<peer_pool_load> pools);

    /** A message with the local loads that this peer has not acknowledged. The caller fills in the revision, flags and time stamps. */
    gossip_message composeDelta(std::string_view peer, incarnation_number incarnation) const;

    /** An answer to a controller that has this version of the local loads: no loads if that is the current one, else all with pool names. */
    gossip_message composeFull(std::uint64_t receiverVersion) const;

    /** Stores the loads of a peer's message; returns whether they changed. Messages may arrive in any order. */
    bool update(std::string_view peer, const gossip_message &message);

    /** The last loads received from this incarnation of the peer; empty if there are none. */
    std::vector<peer_pool_load> loadsOf(std::string_view peer, incarnation_number incarnation) const;

    /** Removes all peers except these incarnations. */
    void retainPeers(const std::map<std::string, incarnation_number, std::less<>> &peers);

private:
    struct peer_state
    {
        incarnation_number incarnation = 0;
        std::uint64_t version = 0;
        std::vector<peer_pool_load> pools;
        /** Version of the local loads that the peer reported to have. */
        std::uint64_t acknowledgedVersion = 0;
    };

    incarnation_number m_incarnation;
    std::uint64_t m_version = 1;
    /** First version with the current list of pools, in the same order. */
    std::uint64_t m_poolListVersion = 1;
    std::vector<peer_pool_load> m_localLoads;
    /** For each of the local loads, the version with which it last changed. */
    std::vector<std::uint64_t> m_changeVersions;
    std::map<std::string, peer_state, std::less<>> m_peers;
};

} // namespace daisypass
