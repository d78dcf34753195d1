#pragma once

// Slots that an owner under load keeps free for peers that own less than an equal part of the pool.
//
// Rendezvous hashing gives entries different numbers of targets, sometimes none. If owners served their own queues first without limit, callers of an entry
// that owns little would get little during a peak. An owner therefore lends what it has beyond an equal part to peers below it, in proportion.

#include "kernel/slot_ledger.h"

#include <map>
#include <set>
#include <string>

namespace daisypass {

class loan_reserves
{
public:
    /** `entries` is the number of live entries as far as the view shows it. */
    void setView(std::string_view self, int entries);
    /** A peer is alive; it counts as an entry also if it owns no target. */
    void notePeer(std::string_view peer);

    /** The peer asked for `missing` more slots than were free. Keeps as many as it is entitled to, until it asks again. */
    void keep(std::string_view peer, int missing, const slot_ledger &ledger, timestamp now);
    /** Slots kept for all peers but this one. */
    int keptForOthers(std::string_view peer, timestamp now) const;
    int kept(timestamp now) const
    {
        return keptForOthers({}, now);
    }
    bool empty() const
    {
        return m_kept.empty();
    }

private:
    struct reserve
    {
        int count = 0;
        timestamp until{};
    };

    int entitled(std::string_view peer, const slot_ledger &ledger, timestamp now) const;

    std::string m_self;
    int m_entries = 1;
    std::set<std::string, std::less<>> m_peers;
    std::map<std::string, reserve, std::less<>> m_kept;
};

} // namespace daisypass
