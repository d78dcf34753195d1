#include "load_model.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

TEST_CASE("load peaks that alternate between queues are served")
{
    load_outcome outcome;
    SUBCASE("a calm day")
    {
        outcome = load_model(referenceDay(1)).run();
        CHECK(outcome.inObjective >= outcome.jobs * 85 / 100);
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    SUBCASE("executors that fail every run don't make jobs fail")
    {
        load_settings settings = referenceDay(2);
        settings.failingExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed <= outcome.jobs / 50);
    }
    SUBCASE("tasks that make no progress are placed elsewhere")
    {
        load_settings settings = referenceDay(3);
        settings.stalledExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    SUBCASE("executors that become unresponsive lose their runs, and no task runs twice")
    {
        load_settings settings = referenceDay(4);
        settings.unresponsiveExecutors = 3;
        outcome = load_model(settings).run();
        CHECK(outcome.unfinished == 0);
        CHECK(outcome.failed == 0);
    }
    MESSAGE("jobs " << outcome.jobs << ", in objective " << outcome.inObjective << ", late " << outcome.late << ", largest " << outcome.largestInObjective
                    << '/' << outcome.largestJobs << ", moves " << outcome.moves << ", VM seconds " << outcome.vmSecondsInPools);
    CHECK(outcome.duplicateRuns == 0);
    CHECK(outcome.capacityViolations == 0);
}
