#include "sched/entry_versions.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

bool nobody(const std::string &)
{
    return false;
}

bool everybody(const std::string &)
{
    return true;
}

} // namespace

// Guards against an older row of the registry that is applied after a newer one or after the row's removal.
TEST_CASE("a row is outdated if a newer one of its executor was applied")
{
    entry_versions versions;
    CHECK_FALSE(versions.isOutdated("e1", 5, 100));
    CHECK_FALSE(versions.isOutdated("e1", 9, 110));
    CHECK(versions.isOutdated("e1", 5, 120));
    CHECK_FALSE(versions.isOutdated("e1", 9, 130));
    CHECK_FALSE(versions.isOutdated("e1", 0, 140));
    CHECK_FALSE(versions.isOutdated("e2", 5, 150));

    SUBCASE("for as long as the executor is known")
    {
        versions.forgetGone(everybody, 1'000'000);
        CHECK(versions.isOutdated("e1", 5, 1'000'000));
    }
    SUBCASE("for as long as a read that began before its removal may take")
    {
        versions.forgetGone(nobody, 20'000);
        CHECK(versions.isOutdated("e1", 5, 20'000));
    }
    SUBCASE("an outdated row doesn't prolong that")
    {
        CHECK(versions.isOutdated("e1", 5, 30'000));
        versions.forgetGone(nobody, 31'000);
        CHECK(versions.size() == 0);
    }
}

// Guards against memory that grows with every executor there ever was.
TEST_CASE("the versions of executors that are gone are forgotten")
{
    constexpr int lives = 200;
    constexpr time_ms lifeMs = 5'000;
    scheduler_fixture world;
    std::size_t most = 0;
    for (int life = 1; life <= lives; ++life) {
        const std::string id = "e" + std::to_string(life);
        world.taskScheduler.handle(executor_seen{scheduler_fixture::entry(id), 2 * life}, world.now);
        world.advance(lifeMs);
        world.taskScheduler.handle(executor_gone{id, 2 * life + 1}, world.now);
        world.advance(lifeMs);
        most = std::max(most, world.taskScheduler.rememberedEntries());
    }
    CHECK(most < 10);
}
