// Guards against numbers that convert to integers one way on x86-64 and another way on arm64.

#include "base/saturating_cast.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>

using namespace daisypass;

namespace {

template<typename Integer>
constexpr Integer least = std::numeric_limits<Integer>::min();
template<typename Integer>
constexpr Integer greatest = std::numeric_limits<Integer>::max();

} // namespace

TEST_CASE("a floating-point number converts to an integer in the same way on every machine")
{
    SUBCASE("a value in range is truncated towards zero")
    {
        CHECK(saturatingCast<int>(2.9) == 2);
        CHECK(saturatingCast<int>(-2.9) == -2);
        CHECK(saturatingCast<std::int64_t>(9e15) == 9'000'000'000'000'000);
    }
    SUBCASE("the limits themselves are kept")
    {
        CHECK(saturatingCast<int>(2'147'483'647.0) == greatest<int>);
        CHECK(saturatingCast<int>(-2'147'483'648.0) == least<int>);
        CHECK(saturatingCast<std::int64_t>(-std::ldexp(1, 63)) == least<std::int64_t>);
    }
    SUBCASE("a value beyond the limits becomes the nearest one")
    {
        CHECK(saturatingCast<int>(2'147'483'648.0) == greatest<int>);
        CHECK(saturatingCast<int>(-2'147'483'649.0) == least<int>);
        CHECK(saturatingCast<std::int64_t>(std::ldexp(1, 63)) == greatest<std::int64_t>);
        CHECK(saturatingCast<std::int64_t>(-1e300) == least<std::int64_t>);
        CHECK(saturatingCast<std::uint64_t>(std::ldexp(1, 64)) == greatest<std::uint64_t>);
        CHECK(saturatingCast<std::size_t>(-1.0) == 0);
    }
    SUBCASE("infinity becomes a limit, and what isn't a number becomes 0")
    {
        CHECK(saturatingCast<std::int64_t>(HUGE_VAL) == greatest<std::int64_t>);
        CHECK(saturatingCast<std::int64_t>(-HUGE_VAL) == least<std::int64_t>);
        CHECK(saturatingCast<std::int64_t>(NAN) == 0);
        CHECK(saturatingCast<int>(NAN) == 0);
    }
}
