#include "kernel/membership_view.h"

#include <algorithm>
#include <limits>

namespace daisypass {
namespace {

// Jitter of a tenth of the interval spreads the calls of entries that started at the same time.
constexpr int jitterDivisor = 10;
// More pending contacts than calls can complete within the isolation time; older ones are dropped.
constexpr std::size_t maxPendingContacts = 16;

} // namespace

struct membership_view::event_handler
{
    membership_view &view;
    timestamp now;
    std::vector<membership_action> &actions;

    void operator()(const fleet_replayed &event) const
    {
        // A replica's revision never decreases, so an older state is a message that arrived out of order.
        if (event.revision < view.m_revision) {
            return;
        }
        view.m_revision = event.revision;
        bool joined = false;
        std::map<std::string, peer_state, std::less<>> peers;
        for (const entry_record &entry : event.entries) {
            if (entry.id == view.m_entry) {
                joined = entry.incarnation == view.m_incarnation;
                continue;
            }
            peer_state &peer = peers[entry.id];
            if (peer_state *known = view.find(entry.id, entry.incarnation)) {
                peer = std::move(*known);
            } else {
                peer.answeredAt = now;
                peer.gossipDue = now;
            }
            peer.record = entry;
        }
        view.m_peers = std::move(peers);
        view.m_removed = view.m_removed || (view.m_joined && !joined);
        view.m_joined = joined && !view.m_removed;
        view.m_caughtUp = view.m_caughtUp && view.m_joined;
        view.confirmContacts(view.m_store);
        for (std::pair<const std::string, peer_state> &peer : view.m_peers) {
            view.confirmContacts(peer.second.contacts);
        }
    }

    void operator()(const gossip_answered &event) const
    {
        peer_state *peer = view.find(event.entry, event.incarnation);
        if (peer == nullptr) {
            return;
        }
        peer->outstanding = false;
        recordAnswer(*peer, event.startedAt, event.revision, event.ready);
    }

    void operator()(const gossip_failed &event) const
    {
        if (peer_state *peer = view.find(event.entry, event.incarnation)) {
            peer->outstanding = false;
            peer->replaced = peer->replaced || event.replaced;
        }
    }

    void operator()(const gossip_received &event) const
    {
        if (peer_state *peer = view.find(event.entry, event.incarnation)) {
            if (event.echoedAt && *event.echoedAt <= now) {
                recordAnswer(*peer, *event.echoedAt, event.revision, event.ready);
            } else {
                updateRevision(*peer, event.revision);
            }
        } else if (event.revision > view.m_revision) {
            actions.emplace_back(fetch_log{event.revision});
        }
    }

    void operator()(const store_contacted &event) const
    {
        view.recordContact(view.m_store, {event.startedAt, event.revision});
    }

    void operator()(const membership_tick &event) const
    {
        std::uint64_t random = event.random;
        for (std::pair<const std::string, peer_state> &item : view.m_peers) {
            peer_state &peer = item.second;
            if (peer.outstanding || view.callDue(peer) > now) {
                continue;
            }
            const std::int64_t spread = view.m_timing.gossipInterval.count() / jitterDivisor;
            random = random * 6364136223846793005U + 1442695040888963407U;
            const duration jitter{static_cast<std::int64_t>((random >> 32U) % static_cast<std::uint64_t>(2 * spread + 1)) - spread};
            peer.gossipDue = now + view.m_timing.gossipInterval + jitter;
            peer.outstanding = true;
            actions.emplace_back(send_gossip{peer.record});
        }
    }

    void recordAnswer(peer_state &peer, timestamp startedAt, revision_number revision, bool ready) const
    {
        peer.answered = true;
        peer.replaced = false;
        peer.answeredAt = std::max(peer.answeredAt, startedAt);
        peer.ready = ready;
        view.recordContact(peer.contacts, {startedAt, revision});
        updateRevision(peer, revision);
    }

    void updateRevision(peer_state &peer, revision_number revision) const
    {
        peer.revision = std::max(peer.revision, revision);
        if (peer.revision > view.m_revision) {
            actions.emplace_back(fetch_log{peer.revision});
        }
    }
};

membership_view::membership_view(std::string entry, incarnation_number incarnation, membership_timing timing)
    : m_entry(std::move(entry))
    , m_incarnation(incarnation)
    , m_timing(timing)
{
}

void membership_view::handle(const membership_event &event, timestamp now, std::vector<membership_action> &actions)
{
    // A frozen process receives no answers; without this it would suspect every peer on resuming and take over all targets.
    if (m_lastEvent != timestamp::min() && now - m_lastEvent >= m_timing.frozenAfter) {
        m_resumedAt = now;
    }
    m_lastEvent = std::max(m_lastEvent, now);
    std::visit(event_handler{*this, now, actions}, event);
    updateCaughtUp(now);
    summary current{live(now), isolated(now), ready(now), m_removed};
    if (current != m_published) {
        m_published = std::move(current);
        actions.emplace_back(view_updated{});
    }
}

void membership_view::recordContact(contact_history &history, contact newContact) const
{
    if (history.pending.size() == maxPendingContacts) {
        history.pending.erase(history.pending.begin());
    }
    history.pending.push_back(newContact);
    confirmContacts(history);
}

void membership_view::confirmContacts(contact_history &history) const
{
    std::erase_if(history.pending, [&](const contact &candidate) {
        if (candidate.revision > m_revision) {
            return false;
        }
        history.latest = std::max(history.latest, candidate.startedAt);
        return true;
    });
}

timestamp membership_view::suspectedFrom(const peer_state &peer) const
{
    return std::max(peer.answeredAt, m_resumedAt) + m_timing.suspectAfter;
}

timestamp membership_view::callDue(const peer_state &peer) const
{
    // One call serves as contact for both sides, which halves the cost. Incarnations are random, so callers are spread evenly.
    const bool parityDiffers = ((peer.record.incarnation ^ m_incarnation) & 1U) != 0;
    const bool isCaller = parityDiffers == (m_incarnation < peer.record.incarnation);
    return isCaller || !peer.answered ? peer.gossipDue : std::max(peer.gossipDue, peer.answeredAt + m_timing.callBackAfter);
}

bool membership_view::suspected(const peer_state &peer, timestamp now) const
{
    return peer.replaced || now >= suspectedFrom(peer);
}

void membership_view::updateCaughtUp(timestamp now)
{
    if (m_caughtUp || !m_joined) {
        return;
    }
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        if (!suspected(peer.second, now) && (!peer.second.answered || peer.second.revision > m_revision)) {
            return;
        }
    }
    m_caughtUp = true;
}

membership_view::peer_state *membership_view::find(std::string_view entry, incarnation_number incarnation)
{
    const auto found = m_peers.find(entry);
    return found != m_peers.end() && found->second.record.incarnation == incarnation ? &found->second : nullptr;
}

std::vector<std::string> membership_view::live(timestamp now) const
{
    std::vector<std::string> entries;
    if (m_joined) {
        entries.push_back(m_entry);
    }
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        if (!suspected(peer.second, now)) {
            entries.push_back(peer.first);
        }
    }
    std::sort(entries.begin(), entries.end());
    return entries;
}

std::vector<peer_view> membership_view::peers(timestamp now) const
{
    std::vector<peer_view> views;
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        views.push_back({peer.second.record, !suspected(peer.second, now), peer.second.ready, peer.second.revision});
    }
    return views;
}

timestamp membership_view::dispatchUntil() const
{
    if (!m_joined) {
        return timestamp::min();
    }
    if (m_peers.empty()) {
        return timestamp::max();
    }
    // A majority of all entries, including this one, was reached at the time of the `needed`-th latest contact with a peer.
    std::vector<timestamp> contacts;
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        contacts.push_back(peer.second.contacts.latest);
    }
    const std::size_t needed = (m_peers.size() + 1) / 2;
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    const timestamp latestContact = std::max(m_store.latest, contacts[needed - 1]);
    return latestContact == timestamp::min() ? latestContact : latestContact + m_timing.isolateAfter;
}

std::vector<entry_record> membership_view::sources(timestamp now, std::uint64_t random) const
{
    std::vector<entry_record> ahead;
    std::vector<entry_record> others;
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        if (!suspected(peer.second, now)) {
            (peer.second.revision > m_revision ? ahead : others).push_back(peer.second.record);
        }
    }
    if (!ahead.empty()) {
        std::rotate(ahead.begin(), ahead.begin() + static_cast<std::ptrdiff_t>(random % ahead.size()), ahead.end());
    }
    ahead.insert(ahead.end(), others.begin(), others.end());
    return ahead;
}

timestamp membership_view::nextDue(timestamp now) const
{
    timestamp due = timestamp::max();
    const auto includeIfLater = [&](timestamp candidate) {
        if (candidate > now) {
            due = std::min(due, candidate);
        }
    };
    for (const std::pair<const std::string, peer_state> &peer : m_peers) {
        // The next call waits until an outstanding one has ended, even if it is due before.
        if (peer.second.outstanding) {
            includeIfLater(callDue(peer.second));
        } else {
            due = std::min(due, std::max(callDue(peer.second), now));
        }
        if (!peer.second.replaced) {
            includeIfLater(suspectedFrom(peer.second));
        }
    }
    includeIfLater(dispatchUntil());
    return due;
}

} // namespace daisypass
