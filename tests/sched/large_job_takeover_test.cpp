#include "large_job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace daisypass::sched;

namespace {

constexpr int tasksOfSeveralTransactions = 10'000;

int countStored(const std::map<std::string, std::string> &taskRows, const job_spec &spec)
{
    job_record job(spec);
    REQUIRE(readState("", taskRows, job));
    const task_table &tasks = job.occurrences.at(0).steps.at(0).tasks;
    int occupying = 0;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        occupying += tasks[index].occupies() ? 1 : 0;
    }
    return occupying;
}

} // namespace

// Guards against a large job that no later lease holder runs, because its first row wasn't stored before a takeover (LOST).
TEST_CASE("a new large job of which only some rows with tasks are stored")
{
    const job_spec spec = largeJob(tasksOfSeveralTransactions);
    large_job_world former(17);
    former.world.taskScheduler.handle(job_submitted{spec}, former.world.now);
    former.world.now += 300;
    former.world.taskScheduler.plan(former.world.now);
    REQUIRE(former.storeBatch());
    REQUIRE_FALSE(former.world.rows.contains("large"));
    const std::map<std::string, std::string> taskRows = former.world.taskRowsOf("large");
    REQUIRE_FALSE(taskRows.empty());

    large_job_world story(17);
    scheduler_fixture &world = story.world;
    world.rows = former.world.rows;
    REQUIRE(world.taskScheduler.restore(spec, "", world.now, taskRows));
    const int stored = countStored(taskRows, spec);
    REQUIRE(stored > 0);
    REQUIRE(stored < tasksOfSeveralTransactions);

    SUBCASE("has those tasks as placed for the next lease holder, who starts the others")
    {
        story.storeAll();
        CHECK(static_cast<int>(world.take<start_run>().size()) == tasksOfSeveralTransactions - stored);
        CHECK(world.phaseOf("large") == "running");
    }
    SUBCASE("is cancelled as any other")
    {
        world.taskScheduler.handle(job_cancelled{"large"}, world.now);
        story.storeAll();
        CHECK(world.phaseOf("large") == "cancelled");
        CHECK(world.take<start_run>().empty());
    }
}
