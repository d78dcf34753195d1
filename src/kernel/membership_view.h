#pragma once

// Decides, for one entry, which entries are alive, whether it may dispatch, whether it is ready, and when to gossip with whom.
//
//     membership_view view("entry-1", incarnation, {});
//     std::vector<membership_action> actions;
//     view.handle(membership_tick{random}, now, actions);
//     for (const membership_action &action : actions) { ... }
//     bool allowed = now < view.dispatchUntil();
//
// The view receives events with their time and returns actions; it has no clock, thread or socket of its own. All times are from the
// process's steady clock.
//
// Contact with the store or a peer counts from the start of the successful call, and only once the revision in the answer has been
// replayed: only then does the entry know everything that the other side knew at that time.

#include "base/time.h"
#include "kernel/fleet_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

struct membership_timing
{
    duration gossipInterval = std::chrono::milliseconds(500);
    /** A peer that has not answered for this long is suspected. */
    duration suspectAfter = std::chrono::seconds(2);
    /** Without contact with the store or a majority of entries for this long the entry is isolated. */
    duration isolateAfter = std::chrono::seconds(3);
    /** Only one entry of a pair calls; the other counts the echoed answers as contact, and calls too if there was none for this long. */
    duration callBackAfter = std::chrono::milliseconds(1'300);
    /** A gap of at least this length between two events means that the process was frozen. */
    duration frozenAfter = std::chrono::seconds(1);
};

/** The fleet state has been replayed up to this revision. */
struct fleet_replayed
{
    revision_number revision = 0;
    std::vector<entry_record> entries;
};

struct gossip_answered
{
    std::string entry;
    incarnation_number incarnation = 0;
    timestamp startedAt{};
    revision_number revision = 0;
    bool ready = false;
};

struct gossip_failed
{
    std::string entry;
    incarnation_number incarnation = 0;
    /** Another incarnation answered at the peer's address, so the process with this incarnation has ended. */
    bool replaced = false;
};

/**
 * A peer called. The message may have been delayed for any time, so it counts as contact only from the time of this entry's last answer to
 * that peer, which the call echoes.
 */
struct gossip_received
{
    std::string entry;
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    bool ready = false;
    /** Time of the echoed answer, by this entry's clock. */
    std::optional<timestamp> echoedAt = {};
};

/** The store answered a read that was started at this time; the answer had this revision as the last of the log. */
struct store_contacted
{
    timestamp startedAt{};
    revision_number revision = 0;
};

/** To be passed to handle() at nextDue() or earlier. */
struct membership_tick
{
    std::uint64_t random = 0;
};

using membership_event = std::variant<fleet_replayed, gossip_answered, gossip_failed, gossip_received, store_contacted, membership_tick>;

struct send_gossip
{
    entry_record peer;
};

/** Fetch log records from peers: a peer has this revision, which is newer than the replayed one. */
struct fetch_log
{
    revision_number revision = 0;
};

/** The result of live(), isolated(), ready() or removed() has changed. */
struct view_updated
{
};

using membership_action = std::variant<send_gossip, fetch_log, view_updated>;

/** Status of a peer as seen by this entry. */
struct peer_view
{
    entry_record record;
    bool live = false;
    bool ready = false;
    revision_number revision = 0;
};

class membership_view
{
public:
    membership_view(std::string entry, incarnation_number incarnation, membership_timing timing);

    void handle(const membership_event &event, timestamp now, std::vector<membership_action> &actions);

    /** Entries of the fleet state that are not suspected, including this one once it has joined; sorted. */
    std::vector<std::string> live(timestamp now) const;
    std::vector<peer_view> peers(timestamp now) const;

    /** Whether the fleet state contains this incarnation. */
    bool joined() const
    {
        return m_joined;
    }
    /** Whether this incarnation was removed from the fleet state. Drains no longer wait for it, so it must never dispatch again. */
    bool removed() const
    {
        return m_removed;
    }
    /** Nothing may be dispatched from this time on unless there is new contact. Far in the past if the entry has not joined or was removed. */
    timestamp dispatchUntil() const;
    bool isolated(timestamp now) const
    {
        return now >= dispatchUntil();
    }
    /** Whether the entry has joined, has once caught up with all live peers, and is not isolated. */
    bool ready(timestamp now) const
    {
        return m_caughtUp && !isolated(now);
    }

    /** Live peers to fetch records and files from: first those with a newer revision, starting with a random one, then the others. */
    std::vector<entry_record> sources(timestamp now, std::uint64_t random) const;

    /** When the next gossip is due, a peer becomes suspected or this entry becomes isolated. */
    timestamp nextDue(timestamp now) const;

private:
    struct contact
    {
        timestamp startedAt{};
        revision_number revision = 0;
    };

    /** Contacts with the store or one peer: the latest one that counts, and those whose revision is not replayed yet. */
    struct contact_history
    {
        timestamp latest = timestamp::min();
        std::vector<contact> pending;
    };

    struct peer_state
    {
        entry_record record;
        contact_history contacts;
        /** Start of the last answered call, time of the last echoed answer, or when the peer became known. */
        timestamp answeredAt{};
        bool answered = false;
        bool replaced = false;
        bool outstanding = false;
        timestamp gossipDue{};
        revision_number revision = 0;
        bool ready = false;
    };

    struct summary
    {
        std::vector<std::string> live;
        bool isolated = true;
        bool ready = false;
        bool removed = false;

        bool operator==(const summary &) const = default;
    };

    struct event_handler;

    void recordContact(contact_history &history, contact newContact) const;
    void confirmContacts(contact_history &history) const;
    bool suspected(const peer_state &peer, timestamp now) const;
    timestamp suspectedFrom(const peer_state &peer) const;
    timestamp callDue(const peer_state &peer) const;
    void updateCaughtUp(timestamp now);
    peer_state *find(std::string_view entry, incarnation_number incarnation);

    std::string m_entry;
    incarnation_number m_incarnation;
    membership_timing m_timing;
    revision_number m_revision = 0;
    bool m_joined = false;
    bool m_removed = false;
    bool m_caughtUp = false;
    contact_history m_store;
    std::map<std::string, peer_state, std::less<>> m_peers;
    timestamp m_lastEvent = timestamp::min();
    /** When the process last resumed after being frozen; every peer then gets the full time to answer before it is suspected. */
    timestamp m_resumedAt = timestamp::min();
    summary m_published;
};

} // namespace daisypass
