#pragma once

// How entries share the slots of a pool's targets. A policy is data; slot_ledger interprets it with a visitor.

#include "base/time.h"

#include <chrono>
#include <variant>

namespace daisypass {

/** Each target's slots belong to one entry, which lends free ones for a short term. */
struct lent_slots
{
    duration term = std::chrono::seconds(1);
    /** The lender keeps a loan reserved this much longer, for the time that the grant travels. */
    duration grace = std::chrono::milliseconds(20);
    /** A borrowed slot that is unused this long while nothing is queued is returned. */
    duration idle = std::chrono::milliseconds(5);
};

/** Each entry holds a fixed share of each target's slots. */
struct static_slot_shares
{
};

/** No entry owns slots: the better of `choices` random targets by last known counts is tried, and the target refuses what is too much. Source: Mitzenmacher
 * 2001. */
struct unowned_slots
{
    int choices = 2;
};

/** The entry dispatches for the whole pool; all other entries forward their requests to it. */
struct pool_owner_slots
{
};

using slot_policy = std::variant<lent_slots, static_slot_shares, unowned_slots, pool_owner_slots>;

} // namespace daisypass
