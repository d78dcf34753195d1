#pragma once

// Entry records of a fleet, for the tests of the membership view.

#include "kernel/membership_view.h"

#include <string>
#include <vector>

namespace daisypass {

inline constexpr timestamp start = std::chrono::seconds(1'000);

inline std::string nameOf(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

// Entries 0 to count-1; the incarnation of entry i is i + 1.
inline std::vector<entry_record> entries(std::size_t count)
{
    std::vector<entry_record> records;
    for (std::size_t index = 0; index < count; ++index) {
        records.push_back({nameOf(index), index + 1, {}, {"127.0.0.1", static_cast<std::uint16_t>(7'000 + index)}, "zone", index + 1});
    }
    return records;
}

} // namespace daisypass
