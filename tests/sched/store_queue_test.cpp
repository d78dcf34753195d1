#include "sched/store_queue.h"
#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

std::vector<std::string> takeAll(store_queue &queue)
{
    std::vector<std::string> taken;
    while (std::optional<std::string> next = queue.takeNext()) {
        taken.push_back(*next);
    }
    return taken;
}

} // namespace

// Guards against rows with high ids that wait while those with lower ids are stored again and again.
TEST_CASE("rows are stored in the order in which they began to wait")
{
    store_queue queue;
    queue.add("c", row_wait::StartOrEnd);
    queue.add("a", row_wait::StartOrEnd);
    SUBCASE("whatever their ids are")
    {
        queue.add("b", row_wait::StartOrEnd);
        CHECK(takeAll(queue) == std::vector<std::string>{"c", "a", "b"});
        CHECK(queue.empty());
    }
    SUBCASE("each once, however often it changes before")
    {
        queue.add("c", row_wait::StartOrEnd);
        queue.add("c", row_wait::Acknowledgement);
        CHECK(takeAll(queue) == std::vector<std::string>{"c", "a"});
    }
    SUBCASE("those for which callers wait go first, and the others get one turn in four")
    {
        queue = {};
        queue.add("x", row_wait::Acknowledgement);
        queue.add("y", row_wait::Acknowledgement);
        for (const char *job : {"a", "b", "c", "d"}) {
            queue.add(job, row_wait::StartOrEnd);
        }
        CHECK(takeAll(queue) == std::vector<std::string>{"a", "b", "c", "x", "d", "y"});
    }
    SUBCASE("one that gets a start moves to the first group")
    {
        queue.add("x", row_wait::Acknowledgement);
        queue.add("x", row_wait::StartOrEnd);
        CHECK(queue.startsAndEnds() == 3);
        CHECK(takeAll(queue) == std::vector<std::string>{"c", "a", "x"});
    }
}

// Guards against executors whose room is held by placements that wait for batch after batch of the store.
TEST_CASE("placements wait for at most two batches of the store")
{
    constexpr int jobs = 400;
    constexpr std::size_t rowsPerBatch = 80;
    scheduler_fixture world;
    world.addExecutor("e1", std::int64_t{1'000} * jobs);
    world.storeReachable = false;
    for (int number = 0; number < jobs; ++number) {
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j" + std::to_string(number), {scheduler_fixture::step(1)})}, world.now);
    }
    world.planAndCommit();
    std::optional<commit_batch> batch = world.taskScheduler.takeBatch(world.now);
    REQUIRE(batch);
    CHECK(batch->rows.size() == rowsPerBatch);
    for (int pass = 0; pass < 5; ++pass) {
        world.planAndCommit();
    }
    CHECK(world.taskScheduler.counts().placed == 2 * static_cast<std::int64_t>(rowsPerBatch));
    SUBCASE("and go on when a batch is stored")
    {
        world.taskScheduler.handle(batch_committed{batch->number}, world.now);
        world.planAndCommit();
        CHECK(world.taskScheduler.counts().started == static_cast<std::int64_t>(rowsPerBatch));
        CHECK(world.taskScheduler.counts().placed == 3 * static_cast<std::int64_t>(rowsPerBatch));
    }
}
