#include "sched/arrival_rate.h"

#include <doctest/doctest.h>

#include <limits>

using namespace daisypass::sched;

namespace {

// Ten core-seconds.
constexpr resource_time work{10'000.0 * 1'000, 1'000.0 * 1'000};

arrival_rate jobsEvery(time_ms gap, int jobs)
{
    arrival_rate rate;
    for (int i = 0; i < jobs; ++i) {
        rate.add(work, 1'000 + i * gap);
    }
    return rate;
}

} // namespace

TEST_CASE("the rate of arriving work")
{
    struct row
    {
        const char *what;
        time_ms gapMs;
        int jobs;
        time_ms afterLastMs;
        std::int64_t cores;
    };

    const row rows[] = {
        {"no job", 100, 0, 0, 0},
        {"a single job gives no rate", 100, 1, 0, 0},
        {"ten jobs per second of ten core-seconds each", 100, 10, 0, 100},
        {"more jobs than the window at the same rate", 100, 50, 0, 100},
        {"the rate halves within a second after the last job", 100, 10, 900, 50},
        {"rare jobs", 1'000, 10, 0, 10},
        {"no job within the longest window", 100, 10, 4'000, 0},
        {"jobs that arrive at once are spread over the shortest window", 0, 10, 0, 300},
    };
    for (const row &one : rows) {
        CAPTURE(one.what);
        const arrival_rate rate = jobsEvery(one.gapMs, one.jobs);
        const time_ms now = 1'000 + std::max(0, one.jobs - 1) * one.gapMs + one.afterLastMs;
        CHECK(rate.at(now).cpu == one.cores * 1'000);
        CHECK(rate.at(now).memoryMb == one.cores * 100);
    }
}

// A conversion out of range gave a rate far below zero on x86-64, so that the pool got no VMs for the work that arrived.
TEST_CASE("a rate of arriving work that can't be counted is the greatest one")
{
    constexpr resource_time endlessWork{1e38, 1e38};
    arrival_rate rate;
    rate.add(endlessWork, 1'000);
    rate.add(endlessWork, 1'100);
    CHECK(rate.at(1'100).cpu == std::numeric_limits<std::int64_t>::max());
    CHECK(rate.at(1'100).memoryMb == std::numeric_limits<std::int64_t>::max());
}

TEST_CASE("the work of a job is the sum over its tasks, without long-running ones")
{
    job_spec job;
    step_spec step;
    step.taskCount = 4;
    step.demand = {2'000, 100, 0};
    step.estimateMs = 500;
    step_spec lasting = step;
    lasting.longRunning = true;
    job.steps = {step, lasting};
    CHECK(workOf(job).cpu == doctest::Approx(4 * 500.0 * 2'000));
    CHECK(workOf(job).memoryMb == doctest::Approx(4 * 500.0 * 100));
}
