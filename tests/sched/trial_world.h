#pragma once

// Test fixtures for suspects: pools whose executors crash under tasks, and come back or leave.
//
//     trial_world story;
//     story.world.addExecutor("e1");
//     story.world.runTask("deadly");
//     story.crash("e1");

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace daisypass::sched {

/** A pool whose executors' clocks and lives the test plays. */
struct trial_world
{
    trial_world()
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = 2;
        view.queues.push_back(view.queues[0]);
        view.queues[1].key.prefix = "/other/";
        world.taskScheduler.handle(configuration_changed{view}, world.now);
    }

    scheduler_fixture world;

    /** A job of one task whose queue leads to the same pool. */
    static job_spec jobOfOtherQueue(const std::string &id)
    {
        job_spec spec = scheduler_fixture::job(id, {scheduler_fixture::step(1, 3'000)});
        spec.queue.prefix = "/other/";
        return spec;
    }

    executor_entry successorOf(const std::string &executor)
    {
        executor_entry next = world.taskScheduler.executors().at(executor).entry;
        next.id = executor + "+";
        next.startedUnixMs += 1;
        return next;
    }

    /** Ends the executor; its VM's next one belongs to another pool. */
    void crashAndLeavePool(const std::string &executor)
    {
        executor_entry next = successorOf(executor);
        next.pool = "spare";
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        fallSilent(executor);
    }

    /** Ends the executor; its VM's next one answers its first poll. */
    void crash(const std::string &executor)
    {
        const executor_entry next = successorOf(executor);
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        fallSilent(executor);
        world.answerPoll(next.id, {}, {}, order_status::Ok, next.startedUnixMs);
    }

    void fallSilent(const std::string &executor)
    {
        world.answerPoll(executor, {}, {}, order_status::Unreachable);
    }

    /** Lets the executor survive the starts of these runs. */
    void survive(const std::string &executor, const std::vector<start_run> &runs)
    {
        world.advance(300);
        std::vector<listed_run> listed;
        for (const start_run &run : runs) {
            listed.push_back(scheduler_fixture::running(run, 100));
        }
        world.answerPoll(executor, listed);
    }

    /** Four jobs crash one executor each alone. Returns the starts on the executor "large", which is added after that. */
    std::vector<start_run> startsAfterFourCrashes(const std::string &prefix)
    {
        const std::vector<std::string> executors{"e1", "e2", "e3", "e4"};
        for (const std::string &executor : executors) {
            world.addExecutor(executor);
            REQUIRE(world.runTask(prefix + executor, 3'000).executor == executor);
        }
        for (const std::string &executor : executors) {
            crashAndLeavePool(executor);
        }
        constexpr std::int64_t largeCpu = 32'000;
        world.addExecutor("large", largeCpu);
        return world.take<start_run>();
    }
};

/** A pool without executors; three jobs of the queue /book/ have crashed one each a moment ago. */
struct watched_world : trial_world
{
    watched_world()
    {
        const std::vector<std::string> executors{"c1", "c2", "c3"};
        for (const std::string &executor : executors) {
            world.addExecutor(executor);
            REQUIRE(world.runTask("deadly-" + executor, 3'000).executor == executor);
        }
        for (const std::string &executor : executors) {
            crashAndLeavePool(executor);
        }
        for (const std::string &executor : executors) {
            world.taskScheduler.handle(job_cancelled{"deadly-" + executor}, world.now);
        }
        world.planAndCommit();
        REQUIRE(world.take<start_run>().empty());
    }

    start_run runOfOtherQueue(const std::string &id, std::int64_t cpu)
    {
        job_spec spec = jobOfOtherQueue(id);
        spec.steps[0].demand.cpu = cpu;
        world.taskScheduler.handle(job_submitted{spec}, world.now);
        world.planAndCommit();
        const start_run order = world.takeStart();
        world.answerStart(order);
        return order;
    }

    void submit(const job_spec &spec)
    {
        world.taskScheduler.handle(job_submitted{spec}, world.now);
        world.planAndCommit();
    }

    /** Lets the executor answer with these runs for so long; returns the starts that the scheduler orders meanwhile. */
    std::vector<start_run> startsWithin(time_ms ms, const std::string &executor, const std::vector<start_run> &runs)
    {
        std::vector<start_run> found;
        for (time_ms passed = 0; passed < ms && found.empty(); passed += 300) {
            survive(executor, runs);
            found = world.take<start_run>();
        }
        return found;
    }
};

} // namespace daisypass::sched
