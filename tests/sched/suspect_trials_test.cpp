#include "sched/suspect_trials.h"

#include "sched/crash_watch.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

waiting_suspect suspect(const std::string &job, suspicion kind, time_ms waitingSince, bool longRunning = false)
{
    return {{job, 0, 0, 0}, kind, longRunning, kind == suspicion::Sole, waitingSince};
}

} // namespace

TEST_CASE("suspects are tried in the order that serves the innocent ones first")
{
    std::vector<waiting_suspect> waiting{suspect("sole", suspicion::Sole, 1),
                                         suspect("late", suspicion::Shared, 9),
                                         suspect("early", suspicion::Shared, 2),
                                         suspect("untried", suspicion::Untried, 1),
                                         suspect("long", suspicion::Shared, 20, true)};
    const auto jobsInOrder = [&waiting] {
        sortForTrials(waiting);
        std::vector<std::string> order;
        for (const waiting_suspect &one : waiting) {
            order.push_back(one.task.job);
        }
        return order;
    };
    CHECK(jobsInOrder() == std::vector<std::string>{"long", "early", "late", "untried", "sole"});

    SUBCASE("a group that fills a trial is tried before first tasks of new steps")
    {
        for (std::size_t other = 1; other < maxSuspectsPerTrial; ++other) {
            waiting.push_back(suspect("sole" + std::to_string(other), suspicion::Sole, 1));
        }
        CHECK(jobsInOrder().back() == "untried");
    }
}

TEST_CASE("trials take a part of a pool")
{
    SUBCASE("three quarters of it while nobody else waits for room")
    {
        trial_quota quota(8, false);
        for (int trial = 0; trial < 6; ++trial) {
            CHECK(quota.take(suspicion::Sole));
        }
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
    SUBCASE("half of it while others wait for room")
    {
        trial_quota quota(8, true);
        for (int trial = 0; trial < 4; ++trial) {
            CHECK(quota.take(suspicion::Shared));
        }
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
    SUBCASE("a quarter of it for those that will probably crash their executors, while others wait for room")
    {
        trial_quota quota(8, true);
        CHECK(quota.take(suspicion::Sole));
        CHECK(quota.take(suspicion::Sole));
        CHECK_FALSE(quota.take(suspicion::Sole));
        CHECK(quota.take(suspicion::Shared));
    }
    SUBCASE("executors that are kept already count")
    {
        trial_quota quota(4, true);
        quota.add(suspicion::Shared);
        quota.add(suspicion::Sole);
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
    SUBCASE("a pool of one executor tries one after the other")
    {
        trial_quota quota(1, true);
        CHECK(quota.take(suspicion::Sole));
        CHECK_FALSE(quota.take(suspicion::Shared));
    }
}

TEST_CASE("crashes of three jobs of a queue let further ones be expected")
{
    const queue_key queue{"host", "/booking/"};
    crash_watch watch;
    watch.crashed(queue, "a", 0);
    watch.crashed(queue, "a", 100);
    watch.crashed(queue, "b", 200);
    CHECK_FALSE(watch.expectsCrashes(queue, 200));
    watch.crashed(queue, "c", 300);
    CHECK(watch.expectsCrashes(queue, 300));
    CHECK_FALSE(watch.expectsCrashes({"host", "/other/"}, 300));

    SUBCASE("not if one of them had another reason")
    {
        watch.retract(queue, "b");
        CHECK_FALSE(watch.expectsCrashes(queue, 300));
    }
    SUBCASE("for some time")
    {
        CHECK_FALSE(watch.expectsCrashes(queue, 20'000));
        watch.forgetOld(20'000);
        CHECK_FALSE(watch.expectsCrashes(queue, 300));
    }
}
