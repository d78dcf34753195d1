#include "kernel/loan_reserves.h"

#include <algorithm>
#include <cmath>

namespace daisypass {

namespace {

/** A peer whose queue waits asks again within 20 ms and a round trip; a slot kept longer would idle for nothing. */
constexpr duration keepTime = std::chrono::milliseconds(50);

} // namespace

void loan_reserves::setView(std::string_view self, int entries)
{
    m_self = self;
    m_entries = entries;
    m_peers.clear();
    m_kept.clear();
}

void loan_reserves::notePeer(std::string_view peer)
{
    m_peers.emplace(peer);
}

int loan_reserves::entitled(std::string_view peer, const slot_ledger &ledger, timestamp now) const
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
    return ownSurplus > 0 && deficit > 0 ? static_cast<int>(std::lround(deficit * ownSurplus / surplus)) : 0;
}

void loan_reserves::keep(std::string_view peer, int missing, const slot_ledger &ledger, timestamp now)
{
    const int count = std::min(missing, entitled(peer, ledger, now) - ledger.lentTo(peer, now));
    if (count > 0) {
        m_kept.insert_or_assign(std::string(peer), reserve{count, now + keepTime});
        return;
    }
    const auto known = m_kept.find(peer);
    if (known != m_kept.end()) {
        m_kept.erase(known);
    }
}

int loan_reserves::keptForOthers(std::string_view peer, timestamp now) const
{
    int total = 0;
    for (const std::pair<const std::string, reserve> &each : m_kept) {
        total += each.first != peer && each.second.until > now ? each.second.count : 0;
    }
    return total;
}

} // namespace daisypass
