#include "node/lease_yield_rule.h"

#include <doctest/doctest.h>

using namespace daisypass;

TEST_CASE("a small lease holder releases the lease once for a larger machine that joins")
{
    lease_yield_rule rule;
    rule.termStarted(1'000);

    SUBCASE("after it has held the lease for the minimum time")
    {
        CHECK(rule.mustYield(true, 7, 4'100));
        CHECK_FALSE(rule.mustYield(true, 7, 8'100));
        CHECK(rule.mustYield(true, 9, 8'100));
    }
    // Guards against a small machine that holds the lease for good: an entry that was read in the first seconds of the term was forgotten.
    SUBCASE("also if the machine joined earlier in the term")
    {
        CHECK_FALSE(rule.mustYield(true, 7, 2'000));
        CHECK(rule.mustYield(true, 7, 6'000));
    }
    SUBCASE("not if the machine joined while another node held the lease")
    {
        CHECK_FALSE(rule.mustYield(false, 7, 2'000));
        rule.termStarted(5'000);
        CHECK_FALSE(rule.mustYield(true, 7, 9'000));
    }
}
