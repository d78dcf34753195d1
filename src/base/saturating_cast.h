#pragma once

// Conversion from floating point to integers without undefined behaviour.
//
//     int vms = saturatingCast<int>(std::ceil(demand / capacity));
//
// A plain conversion of a value that the integer type can't hold is undefined. In practice arm64 gives the nearest value and x86-64 the least
// one, so that a decision on very large numbers would differ between the two.

#include <concepts>
#include <limits>

namespace daisypass {

/** Truncates towards zero. Returns the nearest value of the type if `value` is out of its range, and 0 if it isn't a number. */
template<std::integral Integer>
constexpr Integer saturatingCast(double value)
{
    constexpr Integer least = std::numeric_limits<Integer>::min();
    constexpr Integer greatest = std::numeric_limits<Integer>::max();
    // One above the greatest value. Unlike that, a power of two is exact in floating point.
    constexpr Integer halfOfBound = greatest / 2 + 1;
    constexpr double bound = static_cast<double>(halfOfBound) * 2;
    if (value >= bound) {
        return greatest;
    }
    if (value >= static_cast<double>(least)) {
        return static_cast<Integer>(value);
    }
    // Not a number compares false with everything.
    return value < 0 ? least : 0;
}

} // namespace daisypass
