#pragma once

// Decides which peers to ask for slots, and how often: at most one outstanding request per peer, with a backoff after an answer that
// grants fewer slots than requested; after empty answers it grows exponentially.
//
//     borrower.setOwners(owners);
//     for (const borrow_slots &request : borrower.requestSlots(need, now)) { ... }
//     borrower.recordAnswer(answer, now);

#include "kernel/pool_scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace daisypass {

class slot_borrower
{
public:
    /** Sets the peers that own targets. The state of all other peers is removed. */
    void setOwners(const std::vector<std::string> &owners);

    /** Records the free slots of a peer. A peer that reports free slots may be asked at once. */
    void recordPeerLoad(const peer_load &load);
    void recordAnswer(const slots_granted &answer, timestamp now);

    /** Returns requests for up to `need` slots in total, including those of outstanding requests. */
    std::vector<borrow_slots> requestSlots(int need, timestamp now);

    /** Number of free slots in the last reports of all peers, corrected by their answers since. */
    int reportedFreeSlots() const;

private:
    struct peer
    {
        int freeSlots = 0;
        /** Slots of the outstanding request; 0 if there is none. */
        int requestedSlots = 0;
        timestamp requestedAt{};
        duration backoff{};
        timestamp notBefore{};
    };

    std::map<std::string, peer, std::less<>> m_peers;
};

} // namespace daisypass
