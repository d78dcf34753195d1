#pragma once

// Line differences of two texts, for people.
//
//     std::string shown = describeDifference("pools.json", before, after, 200);

#include <cstddef>
#include <string>
#include <string_view>

namespace daisypass {

/**
 * Changed lines with the prefix "-" (before) or "+" (after) and their line numbers, at most `limit` lines. Equal beginnings and ends
 * are skipped; the rest is compared by a longest common subsequence, or shown as a whole above 2,000 lines.
 */
std::string describeDifference(std::string_view name, std::string_view before, std::string_view after, std::size_t limit);

} // namespace daisypass
