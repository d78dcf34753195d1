#include "entry/peer_loads.h"

#include <algorithm>

namespace daisypass {

peer_loads::peer_loads(std::string entry, incarnation_number incarnation)
    : m_entry(std::move(entry))
    , m_incarnation(incarnation)
{
}

void peer_loads::setOwn(std::vector<peer_pool_load> pools)
{
    if (pools != m_own) {
        m_own = std::move(pools);
        ++m_version;
    }
}

gossip_message peer_loads::compose(std::string_view peer, incarnation_number incarnation) const
{
    gossip_message message;
    message.entry = m_entry;
    message.incarnation = m_incarnation;
    message.loadsVersion = m_version;
    const auto found = m_peers.find(peer);
    const bool known = found != m_peers.end() && found->second.incarnation == incarnation;
    message.knownVersion = known ? found->second.version : 0;
    if (!known || found->second.ownKnown != m_version) {
        message.pools = m_own;
    }
    return message;
}

bool peer_loads::take(const gossip_message &message)
{
    held &peer = m_peers[message.entry];
    if (peer.incarnation != message.incarnation) {
        peer = held{};
        peer.incarnation = message.incarnation;
    }
    // A version that was never sent would keep the loads from being sent at all.
    peer.ownKnown = std::max(peer.ownKnown, message.knownVersion <= m_version ? message.knownVersion : 0);
    if (!message.pools || message.loadsVersion <= peer.version) {
        return false;
    }
    peer.version = message.loadsVersion;
    if (peer.pools == *message.pools) {
        return false;
    }
    peer.pools = *message.pools;
    return true;
}

std::vector<peer_pool_load> peer_loads::of(std::string_view peer, incarnation_number incarnation) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.incarnation == incarnation ? found->second.pools : std::vector<peer_pool_load>();
}

void peer_loads::keepOnly(const std::map<std::string, incarnation_number, std::less<>> &peers)
{
    std::erase_if(m_peers, [&peers](const std::map<std::string, held, std::less<>>::value_type &peer) {
        const auto found = peers.find(peer.first);
        return found == peers.end() || found->second != peer.second.incarnation;
    });
}

} // namespace daisypass
