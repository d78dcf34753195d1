#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

/** One executor on which runs fail. */
struct failing_world
{
    failing_world()
    {
        world.addExecutor("e1");
    }

    void fail(const start_run &order, const std::vector<listed_run> &others = {})
    {
        world.answerPoll("e1", others, {scheduler_fixture::ended(order, ++listedEnds, run_end::Failed)});
    }

    scheduler_fixture world;
    std::int64_t listedEnds = 0;
};

} // namespace

// Guards against a job whose tasks fail by their own fault and that stops its pool's executors for all jobs (LOST).
TEST_CASE("a job that fails again and again on an executor")
{
    failing_world story;
    scheduler_fixture &world = story.world;
    step_spec lasting = scheduler_fixture::step(1);
    lasting.longRunning = true;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("failing", {lasting})}, world.now);
    world.planAndCommit();
    for (int failure = 0; failure < 6; ++failure) {
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        world.answerStart(starts[0]);
        story.fail(starts[0]);
        world.advance(1'100);
    }

    SUBCASE("is started again soon, as long-running tasks are however they end")
    {
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("doesn't keep other jobs from starting there")
    {
        world.take<start_run>();
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job("other", {scheduler_fixture::step(1)})}, world.now);
        world.planAndCommit();
        CHECK(world.takeStart().task.job == "other");
    }
}

TEST_CASE("an executor on which several jobs fail gets no runs for a while")
{
    failing_world story;
    scheduler_fixture &world = story.world;
    std::vector<start_run> starts;
    for (const char *job : {"j1", "j2", "j3"}) {
        starts.push_back(world.runTask(job));
    }
    story.fail(starts[0], {world.running(starts[1]), world.running(starts[2])});
    CHECK(world.take<start_run>().size() == 1);
    story.fail(starts[1], {world.running(starts[2])});
    world.advance(500);
    CHECK(world.take<start_run>().empty());
    world.advance(600);
    CHECK(world.take<start_run>().size() == 1);
}
