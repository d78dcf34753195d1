#pragma once

// The loads that entries tell each other, with the versions that keep them from being sent again unchanged.
//
//     peer_loads loads(incarnation);
//     loads.setLocalLoads(pools);
//     gossip_message message = loads.compose("entry-2", incarnation);
//     if (loads.take("entry-2", answer)) { tell(loads.of("entry-2", incarnation)); }
//
// Not synchronised; the owner holds its lock.

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

    void setLocalLoads(std::vector<peer_pool_load> pools);

    /** A message to this peer, with what it does not hold of the own loads. Revision, flags and stamps are left to the caller. */
    gossip_message composeDelta(std::string_view peer, incarnation_number incarnation) const;

    /** An answer to a caller that is no peer and holds this version of the own loads; it has all loads with names, or none. */
    gossip_message composeFull(std::uint64_t receiverVersion) const;

    /** Takes over what a peer told; true if its loads changed. Messages may arrive in any order. */
    bool update(std::string_view peer, const gossip_message &message);

    /** The last loads of this incarnation of a peer; empty if none are known. */
    std::vector<peer_pool_load> loadsOf(std::string_view peer, incarnation_number incarnation) const;

    /** Forgets all peers but these. */
    void retainPeers(const std::map<std::string, incarnation_number, std::less<>> &peers);

private:
    struct peer_state
    {
        incarnation_number incarnation = 0;
        std::uint64_t version = 0;
        std::vector<peer_pool_load> pools;
        /** Version of the own loads that the peer said it holds. */
        std::uint64_t acknowledgedVersion = 0;
    };

    incarnation_number m_incarnation;
    std::uint64_t m_version = 1;
    /** Version since which the list has the same names in the same order. */
    std::uint64_t m_poolListVersion = 1;
    std::vector<peer_pool_load> m_localLoads;
    /** Version at which each of the own loads changed last. */
    std::vector<std::uint64_t> m_changeVersions;
    std::map<std::string, peer_state, std::less<>> m_peers;
};

} // namespace daisypass
