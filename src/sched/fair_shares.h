#pragma once

// Weighted max-min fair shares of a pool.
//
//     std::vector<double> shares = fairShares(claims);    // shares[i] belongs to claims[i]
//
// What a claimant doesn't want goes to the others in proportion to their weights.

#include "sched/model.h"

#include <span>
#include <vector>

namespace daisypass::sched {

/** What a tenant wants of a pool, as a part of the pool's room. */
struct share_claim
{
    /** Above 0. */
    double weight = 1.0;
    /** What it uses and what its waiting tasks would use, from 0; may be above 1. */
    double wanted = 0;
};

/** The part of the room that the resource takes which the use takes most of (the dominant resource); 0 where there is no room at all. */
double dominantShare(const resources &use, const resources &room);

/** The share of each claim; together at most 1, and 1 if at least as much is wanted. */
std::vector<double> fairShares(std::span<const share_claim> claims);

} // namespace daisypass::sched
