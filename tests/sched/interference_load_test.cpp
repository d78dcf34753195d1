#include "interference_world.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>

using namespace daisypass::sched;

namespace {

constexpr time_ms dayMs = 90'000;
constexpr std::uint64_t seeds = 6;

interference_outcome playDay(const interference_settings &settings, bool disturbs = true)
{
    interference_world world(settings);
    if (disturbs) {
        world.effects = {{{"web", "index"}, 3.0}, {{"search", "video"}, 3.0}};
    }
    world.play(dayMs);
    return world.outcome();
}

std::int64_t countEvents(std::span<const log_event> events, const std::string &name)
{
    return std::count_if(events.begin(), events.end(), [&](const log_event &event) {
        return event.event == name;
    });
}

} // namespace

// Guards against best-effort tasks that are placed where they disturb while there is room where they don't: pacing alone then keeps
// the tails down at the price of the best-effort work.
TEST_CASE("callers of serving tasks wait less and more best-effort work is done when interfering images are kept apart")
{
    double overWithout = 0;
    double overWith = 0;
    double workWithout = 0;
    double workWith = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const interference_outcome without = playDay({.seed = seed, .imagesNamed = false});
        const interference_outcome with = playDay({.seed = seed});
        MESSAGE("seed " << seed << ": share of time over target " << without.shareOverTarget() << " without, " << with.shareOverTarget()
                        << " with; best-effort work done " << without.shareOfFillWork() << " without, " << with.shareOfFillWork() << " with; kept apart "
                        << with.keptApart << " of " << with.fillsSubmitted);
        CHECK(without.keptApart == 0);
        CHECK(countEvents(without.events, "interference_known") == 0);
        overWithout += without.shareOverTarget();
        overWith += with.shareOverTarget();
        workWithout += without.shareOfFillWork();
        workWith += with.shareOfFillWork();
    }
    CHECK(overWith <= 0.5 * overWithout);
    CHECK(workWith >= workWithout);
}

// Guards against pairs that are found where there are none, which would spread tasks over executors for nothing.
TEST_CASE("nothing is kept apart where no image disturbs another")
{
    const interference_outcome outcome = playDay({.seed = 4}, false);
    CHECK(outcome.keptApart == 0);
    CHECK(countEvents(outcome.events, "interference_known") == 0);
    CHECK(outcome.overTargetMs == 0);
}

// Guards against harm by a change of the holder, which begins without any pair and learns them anew.
TEST_CASE("a holder that takes over learns the interfering images anew")
{
    const interference_outcome without = playDay({.seed = 5, .imagesNamed = false, .takeoverAt = dayMs / 2});
    const interference_outcome with = playDay({.seed = 5, .takeoverAt = dayMs / 2});
    MESSAGE("share of time over target " << without.shareOverTarget() << " without, " << with.shareOverTarget() << " with; best-effort work done "
                                         << without.shareOfFillWork() << " without, " << with.shareOfFillWork() << " with");
    CHECK(with.shareOverTarget() < without.shareOverTarget());
    const std::span<const log_event> events = with.events;
    CHECK(countEvents(events.first(with.eventsBeforeTakeover), "interference_known") >= 1);
    CHECK(countEvents(events.subspan(with.eventsBeforeTakeover), "interference_known") >= 1);
}
