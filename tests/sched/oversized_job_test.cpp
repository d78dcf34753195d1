#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

constexpr int tasksOfOversizedJob = 5'000;
constexpr time_ms longAfterTheObjective = 5'000;

bool startsTaskOf(const std::vector<start_run> &starts, const std::string &job)
{
    return std::any_of(starts.begin(), starts.end(), [&job](const start_run &start) {
        return start.task.job == job;
    });
}

} // namespace

// Guards against accepted jobs that wait for all tasks of a very large one that has started, once they are late themselves.
TEST_CASE("a late job doesn't wait for a job that would keep the whole fleet busy")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("huge", {scheduler_fixture::step(tasksOfOversizedJob)})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> first = world.take<start_run>();
    REQUIRE(first.size() == 4);
    std::vector<listed_run> runs;
    for (const start_run &start : first) {
        world.answerStart(start);
        runs.push_back(scheduler_fixture::running(start));
    }
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("small", {scheduler_fixture::step(1)})}, world.now);
    for (time_ms passed = 0; passed < longAfterTheObjective; passed += 500) {
        world.advance(500);
        for (listed_run &run : runs) {
            run.percent += 5;
        }
        world.answerPoll("e1", runs);
    }
    REQUIRE(world.take<start_run>().empty());

    SUBCASE("it gets the first room")
    {
        runs.erase(runs.begin());
        world.answerPoll("e1", runs, {scheduler_fixture::ended(first[0], 1, run_end::Done)});
        world.advance(500);
        CHECK(startsTaskOf(world.take<start_run>(), "small"));
    }
}
