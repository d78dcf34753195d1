#include "load_model.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

TEST_CASE("a day of turns is served")
{
    load_outcome outcome;
    SUBCASE("a calm day")
    {
        outcome = load_model(shopDay(1)).run();
        CHECK(outcome.inObjective >= outcome.jobs * 85 / 100);
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    SUBCASE("executors that fail whatever they start don't fail the jobs")
    {
        load_settings settings = shopDay(2);
        settings.failingExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed <= outcome.jobs / 50);
    }
    SUBCASE("tasks that stand still are placed elsewhere")
    {
        load_settings settings = shopDay(3);
        settings.stalledExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    SUBCASE("executors that fall silent lose their runs, and no task runs twice")
    {
        load_settings settings = shopDay(4);
        settings.silentExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    MESSAGE("jobs " << outcome.jobs << ", in objective " << outcome.inObjective << ", late " << outcome.late << ", largest " << outcome.largestInObjective
                    << '/' << outcome.largest << ", moves " << outcome.moves << ", VM seconds " << outcome.vmSecondsInPools);
    CHECK(outcome.doubleRuns == 0);
    CHECK(outcome.overfull == 0);
}
