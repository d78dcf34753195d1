#include "kernel/slot_borrower.h"

#include <algorithm>

namespace daisypass {

namespace {

/** After this time an outstanding request counts as lost: the peer is frozen or unreachable. */
constexpr duration answerTimeout = std::chrono::milliseconds(500);
/** Bounds of the backoff. A slot that a peer frees may stay idle for this long although requests are queued here. */
constexpr duration minBackoff = std::chrono::milliseconds(2);
constexpr duration maxBackoff = std::chrono::milliseconds(20);

} // namespace

void slot_borrower::setOwners(const std::vector<std::string> &owners)
{
    std::erase_if(m_peers, [&](const std::pair<const std::string, peer> &known) {
        return std::find(owners.begin(), owners.end(), known.first) == owners.end();
    });
    for (const std::string &owner : owners) {
        m_peers.try_emplace(owner);
    }
}

void slot_borrower::recordPeerLoad(const peer_load &load)
{
    const auto known = m_peers.find(load.peer);
    if (known != m_peers.end()) {
        known->second.freeSlots = load.freeSlots;
        if (load.freeSlots > 0) {
            known->second.notBefore = {};
            known->second.backoff = {};
        }
    }
}

void slot_borrower::recordAnswer(const slots_granted &answer, timestamp now)
{
    const auto known = m_peers.find(answer.peer);
    if (known == m_peers.end()) {
        return;
    }
    peer &lender = known->second;
    int granted = 0;
    for (const slot_grant &grant : answer.grants) {
        granted += grant.count;
    }
    if (granted < lender.requestedSlots) {
        lender.backoff = granted > 0 ? minBackoff : std::clamp(lender.backoff * 2, minBackoff, maxBackoff);
        lender.notBefore = now + lender.backoff;
        lender.freeSlots = 0;
    } else {
        lender.backoff = {};
        lender.freeSlots = std::max(0, lender.freeSlots - granted);
    }
    lender.requestedSlots = 0;
}

std::vector<borrow_slots> slot_borrower::requestSlots(int need, timestamp now)
{
    std::vector<std::pair<const std::string, peer> *> ready;
    for (std::pair<const std::string, peer> &known : m_peers) {
        if (known.second.requestedSlots > 0 && now - known.second.requestedAt < answerTimeout) {
            need -= known.second.requestedSlots;
        } else if (now >= known.second.notBefore) {
            ready.push_back(&known);
        }
    }
    std::stable_sort(ready.begin(), ready.end(), [](const std::pair<const std::string, peer> *left, const std::pair<const std::string, peer> *right) {
        return left->second.freeSlots > right->second.freeSlots;
    });
    std::vector<borrow_slots> slotRequests;
    for (std::size_t rank = 0; rank < ready.size() && need > 0; ++rank) {
        peer &lender = ready[rank]->second;
        const int evenShare = (need + static_cast<int>(ready.size() - rank) - 1) / static_cast<int>(ready.size() - rank);
        const int count = std::min(need, std::max(lender.freeSlots, evenShare));
        lender.requestedSlots = count;
        lender.requestedAt = now;
        need -= count;
        slotRequests.push_back({ready[rank]->first, count});
    }
    return slotRequests;
}

int slot_borrower::reportedFreeSlots() const
{
    int total = 0;
    for (const std::pair<const std::string, peer> &known : m_peers) {
        total += known.second.freeSlots;
    }
    return total;
}

} // namespace daisypass
