#include "kernel/slot_borrower.h"

#include <algorithm>

namespace daisypass {

namespace {

/** An answer that is not here by then will not come: the peer is frozen or cut off. */
constexpr duration AnswerTimeout = std::chrono::milliseconds(500);
/** A free slot may idle this long while a peer's queue waits, in the best case and after many empty answers. */
constexpr duration MinBackOff = std::chrono::milliseconds(2);
constexpr duration MaxBackOff = std::chrono::milliseconds(20);

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

void slot_borrower::notePeer(const peer_load &load)
{
    const auto known = m_peers.find(load.peer);
    if (known != m_peers.end()) {
        known->second.free = load.freeSlots;
        if (load.freeSlots > 0) {
            known->second.notBefore = {};
            known->second.backOff = {};
        }
    }
}

void slot_borrower::noteAnswer(const slots_granted &answer, timestamp now)
{
    const auto known = m_peers.find(answer.peer);
    if (known == m_peers.end()) {
        return;
    }
    peer &own = known->second;
    int granted = 0;
    for (const slot_grant &grant : answer.grants) {
        granted += grant.count;
    }
    if (granted < own.asked) {
        own.backOff = granted > 0 ? MinBackOff : std::clamp(own.backOff * 2, MinBackOff, MaxBackOff);
        own.notBefore = now + own.backOff;
        own.free = 0;
    } else {
        own.backOff = {};
        own.free = std::max(0, own.free - granted);
    }
    own.asked = 0;
}

std::vector<borrow_slots> slot_borrower::ask(int need, timestamp now)
{
    std::vector<std::pair<const std::string, peer> *> ready;
    for (std::pair<const std::string, peer> &known : m_peers) {
        if (known.second.asked > 0 && now - known.second.askedAt < AnswerTimeout) {
            need -= known.second.asked;
        } else if (now >= known.second.notBefore) {
            ready.push_back(&known);
        }
    }
    std::stable_sort(ready.begin(), ready.end(), [](const std::pair<const std::string, peer> *left, const std::pair<const std::string, peer> *right) {
        return left->second.free > right->second.free;
    });
    std::vector<borrow_slots> questions;
    for (std::size_t rank = 0; rank < ready.size() && need > 0; ++rank) {
        peer &own = ready[rank]->second;
        const int evenly = (need + static_cast<int>(ready.size() - rank) - 1) / static_cast<int>(ready.size() - rank);
        const int count = std::min(need, std::max(own.free, evenly));
        own.asked = count;
        own.askedAt = now;
        need -= count;
        questions.push_back({ready[rank]->first, count});
    }
    return questions;
}

int slot_borrower::knownFree() const
{
    int total = 0;
    for (const std::pair<const std::string, peer> &known : m_peers) {
        total += known.second.free;
    }
    return total;
}

} // namespace daisypass
