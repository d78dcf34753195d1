#pragma once

// Puts this entry into the fleet log and takes it out again.
//
//     entry_registration registration(self, follower, log, seed);
//     failure reason;
//     if (!registration.join(reason)) { retry after registration.retryDelay(); }
//
// join() and leave() block for as long as the store does, and are called by one thread at a time. An append whose outcome stays unknown is settled by the next
// attempt, which replays the log first: the change either shows there, or its transaction can no longer take effect once another record is appended.

#include "base/failure.h"
#include "base/time.h"
#include "entry/fleet_follower.h"
#include "services/fleet_log.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace daisypass {

class entry_registration
{
public:
    /** The follower must outlive this object. */
    entry_registration(entry_joined self, fleet_follower &follower, fleet_log log, std::uint64_t seed);

    /** Before join(): where the entry answers its peers, once this is known. */
    void setPeersEndpoint(const endpoint &listening);

    /** Whether the replayed state names this incarnation. */
    bool isRegistered() const;

    /** One attempt; true once the state names this incarnation. Fails with a reason of the store, WrongState or Timeout. */
    bool join(failure &reason);
    /** One attempt; true once the state does not name this incarnation. */
    bool leave(duration limit, failure &reason);

    /** How long to wait before the next attempt: grows with failures of the store, stays short after a conflict. Random, so that entries
     * that start together do not conflict again and again. */
    duration retryDelay();

private:
    bool refresh(duration limit, failure &reason);
    bool append(const fleet_change &change, failure &reason);
    void increaseBackoff();

    entry_joined m_self;
    fleet_follower &m_follower;
    fleet_log m_log;
    std::uint64_t m_appends = 0;

    std::mutex m_lock;
    std::mt19937_64 m_random;
    duration m_backoff;
};

} // namespace daisypass
