#include "sched/run_pace.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

// A run that has done a tenth of its work in 2 s, so 18 s remain.
constexpr run_pace slowRun{2'000, 10, 0};

pace_evidence estimateOf(double estimateMs)
{
    pace_evidence evidence;
    evidence.estimateMs = estimateMs;
    return evidence;
}

} // namespace

TEST_CASE("a run is a straggler only if its executor is the reason")
{
    pace_evidence evidence = estimateOf(1'000);
    SUBCASE("an exceeded estimate alone is not enough evidence")
    {
        CHECK_FALSE(isStraggler(slowRun, evidence));
    }
    SUBCASE("the step's tasks on other executors take as long: the work is large")
    {
        evidence.siblingsMs = {19'000, 21'000, 18'000};
        evidence.executorSlowdown = 20;
        evidence.executorJobs = 2;
        CHECK_FALSE(isStraggler(slowRun, evidence));
    }
    SUBCASE("the step's tasks on other executors are much faster")
    {
        evidence.siblingsMs = {1'000, 1'200, 900};
        CHECK(isStraggler(slowRun, evidence));
    }
    SUBCASE("one sibling is not enough")
    {
        evidence.siblingsMs = {1'000};
        CHECK_FALSE(isStraggler(slowRun, evidence));
    }
    SUBCASE("without siblings the executor's other runs decide")
    {
        struct row
        {
            const char *what;
            double ratio;
            int jobs;
            bool slow;
            bool expected;
        };

        const row rows[] = {
            {"runs of two jobs at a third of the speed", 3.0, 2, false, true},
            {"runs of two jobs as estimated", 1.1, 2, false, false},
            {"runs of one job at a third of the speed: the estimate may be off", 3.0, 1, false, false},
            {"runs of one job at a sixth of the speed", 6.0, 1, false, true},
            {"runs that ended there were slow", 1.0, 1, true, true},
        };
        for (const row &one : rows) {
            CAPTURE(one.what);
            evidence.executorSlowdown = one.ratio;
            evidence.executorJobs = one.jobs;
            evidence.executorIsSlow = one.slow;
            CHECK(isStraggler(slowRun, evidence) == one.expected);
        }
    }
}

TEST_CASE("the projection of a run that was first observed after its start counts only the observed progress")
{
    // From 40% to 60% in 2 s.
    const run_pace observedLate{2'000, 60, 500, 40};
    CHECK(observedLate.totalMs() == 10'000);
    CHECK(observedLate.remainingMs() == 3'500);
    // The run may have been about to reach its next percent when it was first observed.
    CHECK_FALSE(run_pace{100, 41, 0, 40}.totalMs());
}

TEST_CASE("a run that is nearly finished, or has just started, is not a straggler")
{
    pace_evidence evidence = estimateOf(1'000);
    evidence.siblingsMs = {1'000, 1'000};
    CHECK_FALSE(isStraggler({500, 10, 0}, evidence));
    CHECK_FALSE(isStraggler({4'000, 80, 0}, evidence));
    CHECK_FALSE(isStraggler({4'000, 0, 0}, evidence));
    CHECK(isStraggler({4'000, 20, 0}, evidence));
}

TEST_CASE("the median of durations")
{
    CHECK(medianOf({}) == 0);
    const std::vector<double> odd{3, 1, 2};
    CHECK(medianOf(odd) == 2);
}
