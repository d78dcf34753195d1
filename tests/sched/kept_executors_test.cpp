#include "trial_world.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace daisypass::sched;

// Guards against an executor that stays kept, idle, for a first task of a step that no longer needs a trial (LOST).
TEST_CASE("an executor kept for the first task of a step is free again when no more crashes are expected")
{
    watched_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("busy");
    constexpr time_ms almostMemory = 9'700;
    world.advance(almostMemory);
    const start_run other = story.runOfOtherQueue("other", 1'000);
    story.submit(scheduler_fixture::job("first", {scheduler_fixture::step(1, 2'000)}));
    REQUIRE(world.take<start_run>().empty());
    REQUIRE_FALSE(world.taskScheduler.executors().at("busy").probation.empty());

    // A task that is placed before it has the same demand.
    job_spec lasts = story.jobOfOtherQueue("lasts");
    lasts.steps[0].demand.cpu = 2'000;
    lasts.steps[0].longRunning = true;
    story.submit(lasts);
    REQUIRE(world.take<start_run>().empty());
    world.advance(400);
    std::size_t starts = world.take<start_run>().size();
    starts += starts == 0 ? story.startsWithin(20'000, "busy", {other}).size() : 0;
    CHECK(starts > 0);
}

// Guards against an executor that stays kept for a task whose queue has left the pool (LOST).
TEST_CASE("an executor kept for the first task of a step is free again when the queue leaves the pool")
{
    watched_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("busy");
    const start_run other = story.runOfOtherQueue("other", 1'000);
    story.submit(scheduler_fixture::job("first", {scheduler_fixture::step(1, 2'000)}));
    REQUIRE_FALSE(world.taskScheduler.executors().at("busy").probation.empty());

    configuration_view view = scheduler_fixture::singleQueueConfiguration();
    view.version = 3;
    view.queues.push_back(view.queues[0]);
    view.queues[1].key.prefix = "/other/";
    view.queues[0].pool = "elsewhere";
    world.taskScheduler.handle(configuration_changed{view}, world.now);
    story.submit(story.jobOfOtherQueue("next"));
    CHECK_FALSE(story.startsWithin(20'000, "busy", {other}).empty());
}

// Guards against an executor that stays kept for a suspect that isn't started while executors crash for other reasons (LOST).
TEST_CASE("an executor kept for a suspect is free again while executors crash for other reasons")
{
    trial_world story;
    scheduler_fixture &world = story.world;
    constexpr int sound = 12;
    for (int number = 1; number <= sound; ++number) {
        const std::string executor = "x" + std::to_string(number);
        world.addExecutor(executor);
        const start_run run = world.runTask("on-" + executor, 4'000);
        REQUIRE(run.executor == executor);
        story.survive(executor, {run});
    }
    int crashed = 0;
    const auto crashUnexplained = [&] {
        const std::string executor = "x" + std::to_string(++crashed);
        world.taskScheduler.handle(job_cancelled{"on-" + executor}, world.now);
        story.crashAndLeavePool(executor);
    };
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("suspect", {scheduler_fixture::step(1, 2'000)})}, world.now);
    for (int crash = 1; crash <= 3; ++crash) {
        const std::string executor = "s" + std::to_string(crash);
        world.addExecutor(executor);
        const start_run trial = world.takeStart();
        REQUIRE(trial.executor == executor);
        world.answerStart(trial);
        story.crashAndLeavePool(executor);
        if (crash < 3) {
            crashUnexplained();
        }
    }
    crashUnexplained();
    world.addExecutor("busy");
    REQUIRE(world.take<start_run>().empty());
    // The quiet begins while a start on the only executor isn't survived yet.
    world.advance(4'900);
    REQUIRE(world.take<start_run>().empty());
    job_spec otherSpec = story.jobOfOtherQueue("other");
    otherSpec.steps[0].demand.cpu = 1'000;
    world.taskScheduler.handle(job_submitted{otherSpec}, world.now);
    world.planAndCommit();
    const start_run other = world.takeStart();
    world.answerStart(other);
    world.advance(150);
    REQUIRE(world.take<start_run>().empty());
    REQUIRE_FALSE(world.taskScheduler.executors().at("busy").probation.empty());
    crashUnexplained();
    REQUIRE(world.take<start_run>().empty());

    job_spec innocent = story.jobOfOtherQueue("innocent");
    innocent.steps[0].demand.cpu = 2'000;
    innocent.steps[0].longRunning = true;
    world.taskScheduler.handle(job_submitted{innocent}, world.now);
    SUBCASE("within a second")
    {
        story.survive("busy", {other});
        story.survive("busy", {other});
        story.survive("busy", {other});
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("however long they go on crashing")
    {
        std::size_t starts = 0;
        for (int crash = 0; crash < 8 && starts == 0; ++crash) {
            world.advance(2'500);
            story.survive("busy", {other});
            starts += world.take<start_run>().size();
            crashUnexplained();
        }
        CHECK(starts == 1);
    }
}

// Guards against advice that is asked for executors without room only, while others have room (LOST).
TEST_CASE("advice is asked for executors with room when those with tickets have none")
{
    scheduler_fixture world;
    configuration_view view = scheduler_fixture::singleQueueConfiguration();
    view.version = 2;
    view.queues.push_back(view.queues[0]);
    view.queues[1].key.prefix = "/advised/";
    view.queues[1].requiresAdvice = true;
    view.queues[1].adviceValidMs = 4'000;
    world.taskScheduler.handle(configuration_changed{view}, world.now);
    constexpr int fullExecutors = 40;
    for (int number = 10; number < 10 + fullExecutors; ++number) {
        const std::string executor = "e" + std::to_string(number);
        world.addExecutor(executor);
        REQUIRE(world.runTask("on-" + executor, 4'000).executor == executor);
    }
    for (const std::string free : {"f1", "f2", "f3"}) {
        world.addExecutor(free);
    }
    job_spec spec = scheduler_fixture::job("lasts", {scheduler_fixture::step(1)});
    spec.queue.prefix = "/advised/";
    spec.steps[0].longRunning = true;
    world.taskScheduler.handle(job_submitted{spec}, world.now);
    world.planAndCommit();
    std::size_t starts = 0;
    int requests = 0;
    for (int round = 0; round < 60 && starts == 0; ++round) {
        for (const request_advice &request : world.take<request_advice>()) {
            ++requests;
            advice_answered answer;
            answer.job = request.job;
            answer.occurrence = request.occurrence;
            answer.step = request.step;
            answer.status = order_status::Ok;
            answer.asked = request.executors;
            answer.validMs = 4'000;
            answer.call = request.call;
            for (const std::string &executor : request.executors) {
                answer.tickets.emplace_back(executor, "ticket");
            }
            world.taskScheduler.handle(answer, world.now);
        }
        world.advance(300);
        starts += world.take<start_run>().size();
    }
    CHECK(starts == 1);
    MESSAGE("requests for advice: " << requests);
}
