#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <vector>

using namespace daisypass::sched;

// Guards against members of a gang that are started with different checkpoints, which executors don't take as one run.
TEST_CASE("all members of a gang go on from the same checkpoint")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    step_spec step = scheduler_fixture::step(3);
    step.gang = true;
    step.checkpointing = true;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j1", {step})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> first = world.take<start_run>();
    REQUIRE(first.size() == 3);
    for (const start_run &start : first) {
        world.answerStart(start);
    }
    std::vector<listed_end> ends{scheduler_fixture::ended(first[0], 1, run_end::Failed),
                                 scheduler_fixture::ended(first[1], 2, run_end::GangMemberEnded),
                                 scheduler_fixture::ended(first[2], 3, run_end::GangMemberEnded)};
    ends[1].checkpoint = "of the second";
    ends[2].checkpoint = "of the third";
    world.answerPoll("e1", {}, ends);
    world.advance(100);

    const std::vector<start_run> next = world.take<start_run>();
    REQUIRE(next.size() == 3);
    for (const start_run &start : next) {
        CHECK(start.checkpoint == "of the second");
        CHECK(start.run == 2);
    }
}
