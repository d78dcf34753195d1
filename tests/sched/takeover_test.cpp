#include "takeover_model.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>
#include <string>

using namespace daisypass::sched;

namespace {

struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t count = 60;
};

/** DAISYPASS_TAKEOVER_SEEDS="FIRST COUNT" plays other days, for long runs by hand. */
seed_range wantedSeeds()
{
    seed_range range;
    const char *wanted = std::getenv("DAISYPASS_TAKEOVER_SEEDS");
    std::istringstream text(wanted == nullptr ? "" : wanted);
    text >> range.first >> range.count;
    return range;
}

/** What the schedulers noted, if a single day is played. */
std::string traceOf(const takeover_outcome &outcome, const seed_range &range)
{
    std::string lines;
    for (const std::string &line : outcome.trace) {
        lines += range.count == 1 ? line + '\n' : std::string();
    }
    return lines;
}

} // namespace

TEST_CASE("no task runs twice across takeovers")
{
    const seed_range range = wantedSeeds();
    int takeovers = 0;
    int moves = 0;
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        const takeover_outcome outcome = playTakeovers(seed);
        CAPTURE(seed);
        INFO(traceOf(outcome, range));
        takeovers += outcome.takeovers;
        moves += outcome.moves;
        for (const std::string &start : outcome.doubleStarts) {
            FAIL_CHECK(start);
        }
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.overfullExecutors == 0);
    }
    MESSAGE("days " << range.count << ", takeovers " << takeovers << ", moves " << moves);
}

// In these days an order without an answer is carried out seconds later, by a life that began after it was sent.
TEST_CASE("a late start isn't carried out by an executor's next life")
{
    for (const std::uint64_t seed : {703, 858}) {
        CAPTURE(seed);
        CHECK(playTakeovers(seed).doubleStarts.empty());
    }
}
