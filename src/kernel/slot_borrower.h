#pragma once

// Decides which peers to ask for slots, and how often: at most one request outstanding per peer, with back-off after an empty answer.

#include "kernel/pool_scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace daisypass {

class slot_borrower
{
public:
    /** The peers that own targets now; all others are forgotten. */
    void setOwners(const std::vector<std::string> &owners);

    void notePeer(const peer_load &load);
    void noteAnswer(const slots_granted &answer, timestamp now);

    /** Asks for up to `need` slots in total, less what is already asked for. */
    std::vector<borrow_slots> ask(int need, timestamp now);

    /** Free slots that peers reported last. */
    int knownFree() const;

private:
    struct peer
    {
        int free = 0;
        /** Outstanding request, 0 if there is none. */
        int asked = 0;
        timestamp askedAt{};
        duration backOff{};
        timestamp notBefore{};
    };

    std::map<std::string, peer, std::less<>> m_peers;
};

} // namespace daisypass
