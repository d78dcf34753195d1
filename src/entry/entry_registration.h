#pragma once

// Registers this entry in the fleet log when it starts and removes it when it stops.
//
//     entry_registration registration(self, follower, log, seed);
//     failure reason;
//     if (!registration.join(reason)) { retry after registration.retryDelay(); }
//
// join() and leave() block while they wait for the store; only one thread may call them at a time. If the outcome of an append is unknown,
// the next attempt settles it, because it replays the log first: either the log has the change, or the old transaction can no longer take effect
// once another record is appended.

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

    /** Call before join(), once the peer service listens: the address at which peers reach this entry. */
    void setPeersEndpoint(const endpoint &listening);

    /** Whether the replayed state lists this incarnation. */
    bool isRegistered() const;

    /** Makes one attempt; true if the state lists this incarnation afterwards. Fails with a failure of the store, WrongState or Timeout. */
    bool join(failure &reason);
    /** Makes one attempt; true if the log no longer lists this incarnation. Fails like join(). */
    bool leave(duration limit, failure &reason);

    /**
     * How long to wait before the next attempt. Its bound doubles with each failed attempt, except after a conflict. The time is
     * random, so that entries that start together do not keep conflicting.
     */
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
