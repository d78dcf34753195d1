#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// Guards against tasks that run again because a state that can't be read counts as no state (TWICE).
TEST_CASE("a job whose state row can't be read")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const job_spec spec = world.job("j1", {world.step(1)});
    REQUIRE_FALSE(world.taskScheduler.restore(spec, R"({"phase":"suspended"})", world.now));

    SUBCASE("isn't started when the feed of jobs repeats its submission")
    {
        world.taskScheduler.handle(job_submitted{spec}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        CHECK(world.rows.empty());
    }
    SUBCASE("leaves the other jobs alone")
    {
        CHECK(world.placeTask("j2").task.job == "j2");
    }
}
