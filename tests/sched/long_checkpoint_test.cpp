#include "large_job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

/** Tasks whose first runs have failed, each with a checkpoint of its own of about this length, and run again. */
struct checkpoint_world : large_job_world
{
    checkpoint_world(int tasks, std::size_t checkpointBytes)
        : spec(largeJob(tasks))
        , bytes(checkpointBytes)
    {
        submit(spec);
        REQUIRE(started.size() == static_cast<std::size_t>(tasks));
        for (std::size_t i = 0; i < started.size(); ++i) {
            end(i, i + 1, checkpointOf(started[i].task));
        }
        storeAll();
    }

    std::string checkpointOf(const task_id &task) const
    {
        return std::string(bytes, 'c') + task.text();
    }

    /** The starts of a lease holder that takes over now and finds no run on the executors. */
    std::vector<start_run> startsAfterTakeover() const
    {
        large_job_world next;
        next.world.rows = world.rows;
        REQUIRE(next.world.taskScheduler.restore(spec, world.rows.at(spec.id), next.world.now, world.taskRowsOf(spec.id)));
        next.storeAll();
        for (int executor = 0; executor < 6; ++executor) {
            next.world.answerPoll("executor-" + std::to_string(executor));
        }
        next.storeAll();
        return next.world.take<start_run>();
    }

    job_spec spec;
    std::size_t bytes;
};

} // namespace

// Guards against a job that is shown as failed because its tasks' checkpoints don't fit into the store's transactions (LOST).
TEST_CASE("checkpoints that are too long to be stored")
{
    int tasks = 0;
    std::size_t bytes = 0;
    SUBCASE("of many tasks whose rows are stored together")
    {
        tasks = static_cast<int>(maxTasksPerRow);
        bytes = 6'000;
    }
    SUBCASE("of one task")
    {
        tasks = 1;
        bytes = maxRowBytes + 1;
    }
    checkpoint_world story(tasks, bytes);
    // The lease holder goes on from the checkpoints.
    CHECK(story.world.phaseOf("large") == "running");
    const std::vector<start_run> again = story.world.take<start_run>();
    REQUIRE(again.size() == static_cast<std::size_t>(tasks));
    CHECK(std::all_of(again.begin(), again.end(), [&](const start_run &start) {
        return start.checkpoint == story.checkpointOf(start.task);
    }));
    CHECK(story.longestRow <= maxRowBytes);
    CHECK(story.mostBytes <= maxTransactionBytes);

    // After a takeover the tasks run again, too.
    const std::vector<start_run> afterTakeover = story.startsAfterTakeover();
    REQUIRE(afterTakeover.size() == static_cast<std::size_t>(tasks));
    CHECK(std::all_of(afterTakeover.begin(), afterTakeover.end(), [](const start_run &start) {
        return start.run == 3 && start.checkpoint.empty();
    }));
}
