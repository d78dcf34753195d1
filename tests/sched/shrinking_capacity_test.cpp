#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

// Guards against starts that bring an executor over a capacity that has shrunk since the placement.
TEST_CASE("an executor whose capacity shrinks gets no start beyond it")
{
    constexpr std::int64_t wholeCpu = 4'000;
    constexpr std::int64_t halfCpu = 2'000;
    scheduler_fixture world;
    world.addExecutor("e1", wholeCpu);
    world.storeReachable = false;
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j1", {scheduler_fixture::step(2, halfCpu)})}, world.now);
    world.planAndCommit();
    CHECK(world.taskScheduler.counts().placed == 2);
    const auto resize = [&world](std::int64_t cpu) {
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1", cpu)}, world.now);
    };

    SUBCASE("also if the task was placed before")
    {
        resize(halfCpu);
        world.storeReachable = true;
        world.planAndCommit();
        const start_run order = world.takeStart();
        world.answerStart(order);
        SUBCASE("while it stays small")
        {
            world.advance(2'000);
            CHECK(world.take<start_run>().empty());
        }
        SUBCASE("until it has grown again")
        {
            resize(wholeCpu);
            world.advance(100);
            CHECK(world.takeStart().task.index != order.task.index);
        }
        SUBCASE("until the run that takes the rest is over")
        {
            world.answerPoll("e1", {}, {scheduler_fixture::ended(order, 1, run_end::Done)});
            world.advance(100);
            CHECK(world.takeStart().task.index != order.task.index);
        }
        SUBCASE("and a run that is being stopped still counts")
        {
            world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j2", {scheduler_fixture::step(1, halfCpu)})}, world.now);
            world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
            world.advance(100);
            CHECK(world.take<start_run>().empty());
            world.answerPoll("e1", {}, {scheduler_fixture::ended(order, 1, run_end::Stopped)});
            world.advance(100);
            CHECK(world.takeStart().task.job == "j2");
        }
    }
    SUBCASE("and all of them if it is large enough again by then")
    {
        resize(halfCpu);
        resize(wholeCpu);
        world.storeReachable = true;
        world.planAndCommit();
        CHECK(world.take<start_run>().size() == 2);
    }
}
