#include "entry/peer_loads.h"

#include <algorithm>

namespace daisypass {

peer_loads::peer_loads(incarnation_number incarnation)
    : m_incarnation(incarnation)
{
}

void peer_loads::setLocalLoads(std::vector<peer_pool_load> pools)
{
    if (pools == m_localLoads) {
        return;
    }
    ++m_version;
    const bool sameNames
        = std::equal(pools.begin(), pools.end(), m_localLoads.begin(), m_localLoads.end(), [](const peer_pool_load &left, const peer_pool_load &right) {
              return left.pool == right.pool;
          });
    if (!sameNames) {
        m_poolListVersion = m_version;
    }
    m_changeVersions.resize(pools.size(), m_version);
    for (std::size_t index = 0; index < pools.size(); ++index) {
        if (!sameNames || pools[index] != m_localLoads[index]) {
            m_changeVersions[index] = m_version;
        }
    }
    m_localLoads = std::move(pools);
}

gossip_message peer_loads::composeDelta(std::string_view peer, incarnation_number incarnation) const
{
    gossip_message message;
    message.incarnation = m_incarnation;
    message.loadsVersion = m_version;
    const auto found = m_peers.find(peer);
    const bool known = found != m_peers.end() && found->second.incarnation == incarnation;
    message.knownVersion = known ? found->second.version : 0;
    const std::uint64_t acknowledged = known ? found->second.acknowledgedVersion : 0;
    if (acknowledged == m_version) {
        return message;
    }
    message.pools.emplace();
    for (std::size_t index = 0; index < m_localLoads.size(); ++index) {
        if (acknowledged >= m_poolListVersion && m_changeVersions[index] <= acknowledged) {
            continue;
        }
        message.pools->push_back(m_localLoads[index]);
        message.pools->back().number = static_cast<int>(index);
        if (acknowledged >= m_poolListVersion) {
            message.pools->back().pool.clear();
        }
    }
    return message;
}

gossip_message peer_loads::composeFull(std::uint64_t receiverVersion) const
{
    gossip_message message;
    message.incarnation = m_incarnation;
    message.loadsVersion = m_version;
    if (receiverVersion != m_version) {
        message.pools = m_localLoads;
    }
    return message;
}

bool peer_loads::update(std::string_view name, const gossip_message &message)
{
    peer_state &peer = m_peers[std::string(name)];
    if (peer.incarnation != message.incarnation) {
        peer = peer_state{};
        peer.incarnation = message.incarnation;
    }
    // Ignore a version that was never sent: otherwise the peer would get no loads at all. An older version, from a message that arrives
    // late, only makes the next message larger.
    peer.acknowledgedVersion = message.knownVersion <= m_version ? message.knownVersion : 0;
    if (!message.pools || message.loadsVersion <= peer.version) {
        return false;
    }
    std::vector<peer_pool_load> updated;
    if (!message.pools->empty() && message.pools->front().pool.empty()) {
        updated = peer.pools;
    }
    for (const peer_pool_load &load : *message.pools) {
        const std::size_t index = static_cast<std::size_t>(load.number);
        std::string pool = load.pool;
        if (pool.empty() && index < updated.size()) {
            pool = updated[index].pool;
        } else if (index == updated.size()) {
            updated.emplace_back();
        }
        if (pool.empty() || index >= updated.size()) {
            // The change does not fit the stored list of pools. Report version 0, so that the sender sends all loads again.
            peer.version = 0;
            return false;
        }
        updated[index] = load;
        updated[index].pool = std::move(pool);
        updated[index].number = 0;
    }
    peer.version = message.loadsVersion;
    if (peer.pools == updated) {
        return false;
    }
    peer.pools = std::move(updated);
    return true;
}

std::vector<peer_pool_load> peer_loads::loadsOf(std::string_view peer, incarnation_number incarnation) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.incarnation == incarnation ? found->second.pools : std::vector<peer_pool_load>();
}

void peer_loads::retainPeers(const std::map<std::string, incarnation_number, std::less<>> &peers)
{
    std::erase_if(m_peers, [&peers](const std::map<std::string, peer_state, std::less<>>::value_type &peer) {
        const auto found = peers.find(peer.first);
        return found == peers.end() || found->second != peer.second.incarnation;
    });
}

} // namespace daisypass
