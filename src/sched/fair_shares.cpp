#include "sched/fair_shares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace daisypass::sched {
namespace {

double partOf(std::int64_t use, std::int64_t room)
{
    return room > 0 ? static_cast<double>(use) / static_cast<double>(room) : 0.0;
}

} // namespace

double dominantShare(const resources &use, const resources &room)
{
    return std::max({partOf(use.cpu, room.cpu), partOf(use.memoryMb, room.memoryMb), partOf(use.gpu, room.gpu)});
}

// Serves the claims in the order of what they want for each unit of weight: a claim that wants less than its part of what is left gets all
// of it, and the rest is divided among the others.
std::vector<double> fairShares(std::span<const share_claim> claims)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [claims](std::size_t a, std::size_t b) {
        return claims[a].wanted / claims[a].weight < claims[b].wanted / claims[b].weight;
    });
    double weightLeft = 0;
    for (const share_claim &claim : claims) {
        weightLeft += claim.weight;
    }
    double roomLeft = 1.0;
    std::vector<double> shares(claims.size());
    for (std::size_t index : order) {
        const share_claim &claim = claims[index];
        const double part = weightLeft > 0 ? roomLeft * claim.weight / weightLeft : 0.0;
        shares[index] = std::min(claim.wanted, std::max(0.0, part));
        roomLeft -= shares[index];
        weightLeft -= claim.weight;
    }
    return shares;
}

} // namespace daisypass::sched
