#include "sched/pass_pacer.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// Guards against passes over all work that take the whole processor when they become slow.
TEST_CASE("a pass is due again when it has taken its share of the time")
{
    pass_pacer pacer({10, 200, 0.25});
    CHECK(pacer.isDue(1'000));
    SUBCASE("a short pass follows the shortest interval")
    {
        pacer.ran(1'000, 500);
        CHECK_FALSE(pacer.isDue(1'009));
        CHECK(pacer.isDue(1'010));
    }
    SUBCASE("a longer one four times its own length")
    {
        pacer.ran(1'000, 20'000);
        CHECK(pacer.dueAt() == 1'080);
    }
    SUBCASE("a very long one is not put off beyond the longest interval")
    {
        pacer.ran(1'000, 900'000);
        CHECK(pacer.dueAt() == 1'200);
    }
}
