#pragma once

// Line-by-line difference of two texts, for operators to read.
//
//     std::string shown = describeDifference("pools.json", before, after, 200);

#include <cstddef>
#include <string>
#include <string_view>

namespace daisypass {

/**
 * Returns the changed lines with their line numbers and the prefix "-" (before) or "+" (after), at most `limit` lines. The common prefix and
 * suffix of the texts are skipped. The rest is compared by a longest common subsequence, or shown completely above 2,000 lines.
 */
std::string describeDifference(std::string_view name, std::string_view before, std::string_view after, std::size_t limit);

} // namespace daisypass
