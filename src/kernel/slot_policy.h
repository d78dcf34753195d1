#pragma once

// How entries share the slots of a pool's targets. A policy is plain data that slot_ledger interprets. daisypass-entry uses lent_slots; the other policies are
// baselines of the scheduling benchmark.

#include "base/time.h"

#include <chrono>
#include <variant>

namespace daisypass {

/** Each target's slots are owned by one entry, which lends free slots to its peers for a short term. */
struct lent_slots
{
    duration term = std::chrono::seconds(1);
    /** The lender keeps the slots reserved for this long after the loan's expiry, to allow for the network latency of the grant. */
    duration grace = std::chrono::milliseconds(20);
    /** A borrowed slot is returned once it has been unused for this long while no request is queued. */
    duration idle = std::chrono::milliseconds(5);
};

/** Each entry owns a fixed share of each target's slots. */
struct static_slot_shares
{
};

/** No entry owns slots. A request goes to the least loaded of `choices` random targets, by the last reported loads, and the target refuses requests beyond its
 * slots (power of two choices, Mitzenmacher 2001). */
struct unowned_slots
{
    int choices = 2;
};

/** One entry dispatches for the whole pool and may use all slots of all targets. The caller of the scheduler has to forward the requests of the other entries
 * to it, as the scheduling benchmark does. */
struct pool_owner_slots
{
};

using slot_policy = std::variant<lent_slots, static_slot_shares, unowned_slots, pool_owner_slots>;

} // namespace daisypass
