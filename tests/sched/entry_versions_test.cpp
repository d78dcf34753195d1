#include "sched/entry_versions.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

bool noneKnown(const std::string &)
{
    return false;
}

bool allKnown(const std::string &)
{
    return true;
}

} // namespace

// Guards against applying an older registry row after a newer one or after the row's removal.
TEST_CASE("a registry row is outdated if a newer one of the same executor was applied")
{
    entry_versions versions;
    CHECK_FALSE(versions.isOutdated("e1", 5, 100));
    CHECK_FALSE(versions.isOutdated("e1", 9, 110));
    CHECK(versions.isOutdated("e1", 5, 120));
    CHECK_FALSE(versions.isOutdated("e1", 9, 130));
    CHECK_FALSE(versions.isOutdated("e1", 0, 140));
    CHECK_FALSE(versions.isOutdated("e2", 5, 150));

    SUBCASE("the version is kept while the executor is known")
    {
        versions.forgetGone(allKnown, 1'000'000);
        CHECK(versions.isOutdated("e1", 5, 1'000'000));
    }
    SUBCASE("the version is kept until a read that began before the removal must have ended")
    {
        versions.forgetGone(noneKnown, 20'000);
        CHECK(versions.isOutdated("e1", 5, 20'000));
    }
    SUBCASE("an outdated row doesn't extend that time")
    {
        CHECK(versions.isOutdated("e1", 5, 30'000));
        versions.forgetGone(noneKnown, 31'000);
        CHECK(versions.size() == 0);
    }
}

// Guards against memory use that grows with every executor that was ever registered.
TEST_CASE("the versions of removed executors are dropped")
{
    constexpr int executorCount = 200;
    constexpr time_ms lifetimeMs = 5'000;
    scheduler_fixture world;
    std::size_t most = 0;
    for (int number = 1; number <= executorCount; ++number) {
        const std::string id = "e" + std::to_string(number);
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry(id), std::int64_t{2} * number}, world.now);
        world.advance(lifetimeMs);
        world.taskScheduler.handle(executor_entry_removed{id, 2 * number + 1}, world.now);
        world.advance(lifetimeMs);
        most = std::max(most, world.taskScheduler.entryVersionCount());
    }
    CHECK(most < 10);
}
