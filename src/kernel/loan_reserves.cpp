#include "kernel/loan_reserves.h"

#include "base/saturating_cast.h"

#include <algorithm>
#include <cmath>

namespace daisypass {

namespace {

/** Lifetime of a reservation. A peer with queued requests asks again within 20 ms plus a round trip, so a longer reservation would only leave slots idle. */
constexpr duration reservationTime = std::chrono::milliseconds(50);

} // namespace

void loan_reserves::setView(std::string_view self, int entries)
{
    m_self = self;
    m_entries = entries;
    m_peers.clear();
    m_reservations.clear();
}

void loan_reserves::addPeer(std::string_view peer)
{
    m_peers.emplace(peer);
}

int loan_reserves::entitlement(std::string_view peer, const slot_ledger &ledger, timestamp now) const
{
    std::map<std::string_view, int> owned;
    for (target_index index = 0; index < ledger.size(); ++index) {
        owned[ledger[index].owner] += ledger.capacity(ledger[index], now);
    }
    const double entries = std::max(m_entries, static_cast<int>(m_peers.size()) + 1);
    const double equalPart = ledger.poolCapacity(now) / entries;
    double surplus = 0;
    for (const std::pair<const std::string_view, int> &each : owned) {
        surplus += std::max(0.0, each.second - equalPart);
    }
    const double ownSurplus = owned[m_self] - equalPart;
    const double deficit = equalPart - owned[peer];
    return ownSurplus > 0 && deficit > 0 ? saturatingCast<int>(std::round(deficit * ownSurplus / surplus)) : 0;
}

void loan_reserves::reserve(std::string_view peer, int missing, const slot_ledger &ledger, timestamp now)
{
    const int count = std::min(missing, entitlement(peer, ledger, now) - ledger.lentTo(peer, now));
    if (count > 0) {
        m_reservations.insert_or_assign(std::string(peer), reservation{count, now + reservationTime});
        return;
    }
    const auto known = m_reservations.find(peer);
    if (known != m_reservations.end()) {
        m_reservations.erase(known);
    }
}

int loan_reserves::reservedForOthers(std::string_view peer, timestamp now) const
{
    int total = 0;
    for (const std::pair<const std::string, reservation> &each : m_reservations) {
        total += each.first != peer && each.second.until > now ? each.second.count : 0;
    }
    return total;
}

} // namespace daisypass
