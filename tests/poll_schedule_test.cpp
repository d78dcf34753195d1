#include "kernel/poll_schedule.h"

#include <doctest/doctest.h>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr timestamp start = 1'000s;

} // namespace

TEST_CASE("poll schedule")
{
    poll_schedule schedule({});

    SUBCASE("successful polls are one second apart, plus or minus 5%, so that a change takes effect within seconds")
    {
        for (std::uint64_t random = 0; random < 1'000'000; random += 9'999) {
            schedule.succeeded(start, random);
            CHECK(schedule.due() >= start + 950ms);
            CHECK(schedule.due() <= start + 1'050ms);
        }
    }
    SUBCASE("backoffs are random between 100 ms and a bound that doubles up to 10 s; equal delays would let all readers retry at once")
    {
        duration bound = 200ms;
        for (int failures = 0; failures < 50; ++failures) {
            poll_schedule shortest = schedule;
            poll_schedule longest = schedule;
            shortest.failed(start, 0);
            longest.failed(start, static_cast<std::uint64_t>((bound - 100ms).count()));
            CHECK(shortest.due() == start + 100ms);
            CHECK(longest.due() == start + bound);
            schedule.failed(start, 12'345);
            bound = std::min<duration>(bound * 2, 10s);
        }
        schedule.succeeded(start, 0);
        schedule.failed(start, 0);
        CHECK(schedule.failures() == 1);
    }
}
