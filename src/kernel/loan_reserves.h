#pragma once

// Slots that an overloaded owner reserves for peers that own less than an equal part of the pool.
//
// Rendezvous hashing gives entries different numbers of targets, sometimes none. If owners always served their own queues first, requests that arrive at an
// entry that owns few slots would starve during a peak. An owner with more than an equal part therefore reserves the excess for peers with less, in
// proportion to what each of them lacks.

#include "kernel/slot_ledger.h"

#include <map>
#include <set>
#include <string>

namespace daisypass {

class loan_reserves
{
public:
    /** Sets the name of this entry and the number of entries that its view shows, itself included. Clears the known peers and all reservations. An equal part
     * is computed from this number, or from the number of known peers if that is greater. */
    void setView(std::string_view self, int entries);
    /** Records a live peer. It counts as an entry even if it owns no target. */
    void addPeer(std::string_view peer);

    /** Reserves slots for a peer that requested `missing` more slots than it was granted, up to its entitlement, until it asks again or the reservation
     * expires. */
    void reserve(std::string_view peer, int missing, const slot_ledger &ledger, timestamp now);
    /** Number of slots reserved for peers other than `peer`. */
    int reservedForOthers(std::string_view peer, timestamp now) const;
    /** Number of slots reserved for all peers. */
    int reserved(timestamp now) const
    {
        return reservedForOthers({}, now);
    }
    bool empty() const
    {
        return m_reservations.empty();
    }

private:
    struct reservation
    {
        int count = 0;
        timestamp until{};
    };

    /** Slots that this entry owes the peer: the peer's share of what this entry owns beyond an equal part. */
    int entitlement(std::string_view peer, const slot_ledger &ledger, timestamp now) const;

    std::string m_self;
    int m_entries = 1;
    std::set<std::string, std::less<>> m_peers;
    std::map<std::string, reservation, std::less<>> m_reservations;
};

} // namespace daisypass
