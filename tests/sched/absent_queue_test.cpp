#include "platform/records.h"
#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace daisypass;
using namespace daisypass::sched;

namespace {

constexpr int promisedAttempts = 3;

/** A lease holder whose configuration has no queue, or has one again. */
struct configured_world
{
    scheduler_fixture world;
    std::int64_t version = 1;
    std::int64_t listedEnds = 0;

    void setQueues(const std::vector<queue_config> &queues)
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = ++version;
        view.queues = queues;
        world.taskScheduler.handle(configuration_changed{view}, world.now);
        world.planAndCommit();
    }

    void removeQueue()
    {
        setQueues({});
    }

    void restoreQueue(int maxAttempts = promisedAttempts)
    {
        setQueues(scheduler_fixture::singleQueueConfiguration(maxAttempts).queues);
    }

    start_run submit(const job_spec &job)
    {
        world.taskScheduler.handle(job_submitted{job}, world.now);
        world.planAndCommit();
        return start();
    }

    start_run start()
    {
        start_run order = world.takeStart();
        world.answerStart(order);
        return order;
    }

    void fail(const start_run &order)
    {
        world.answerPoll(order.executor, {}, {world.ended(order, ++listedEnds, run_end::Failed)});
        world.advance(1'100);
        world.answerPoll(order.executor);
    }
};

job_spec acceptedJob(bool requiresAdvice = false)
{
    job_spec job = scheduler_fixture::job("j1", {scheduler_fixture::step(1)});
    job.terms = queue_terms{promisedAttempts, requiresAdvice, 0};
    return job;
}

/** A job whose submission a former version stored. */
job_spec formerJob()
{
    return scheduler_fixture::job("j1", {scheduler_fixture::step(1)});
}

} // namespace

// Guards against jobs that are given up after one failed run while their route is away.
TEST_CASE("a job has its promised attempts while the configuration doesn't have its queue")
{
    configured_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    start_run order;

    SUBCASE("after its queue was removed")
    {
        order = story.submit(acceptedJob());
        story.removeQueue();
    }
    SUBCASE("after its queue was removed, if a former version stored the submission")
    {
        order = story.submit(formerJob());
        story.removeQueue();
    }
    SUBCASE("at a lease holder that has never known its queue")
    {
        story.removeQueue();
        order = story.submit(acceptedJob());
    }
    SUBCASE("at a lease holder that has the terms of a former version's job from the row only")
    {
        configured_world former;
        former.world.addExecutor("e1");
        order = former.submit(formerJob());
        story.removeQueue();
        world.takeOver(former.world, "j1");
        world.answerPoll("e1", {world.running(order)});
    }
    for (int failure = 1; failure < promisedAttempts; ++failure) {
        story.fail(order);
        CHECK(world.phaseOf("j1") == "running");
        order = story.start();
        CHECK(order.run == failure + 1);
    }
    story.fail(order);
    CHECK(world.phaseOf("j1") == "failed");
    CHECK(world.take<start_run>().empty());
}

// Guards against decisions of a lease holder that can't know how often the task may fail.
TEST_CASE("a failed task whose attempts aren't known waits for the configuration")
{
    configured_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    story.removeQueue();
    step_spec kind = world.step(1);
    SUBCASE("as a single task")
    {
    }
    SUBCASE("as a gang")
    {
        kind.gang = true;
    }
    story.fail(story.submit(world.job("j1", {kind})));
    world.advance(5'000);
    world.answerPoll("e1");
    world.advance(100);
    CHECK(world.phaseOf("j1") == "running");
    CHECK(world.take<start_run>().empty());

    SUBCASE("and is started again if it may")
    {
        story.restoreQueue();
        CHECK(story.start().run == 2);
        CHECK(world.phaseOf("j1") == "running");
    }
    SUBCASE("and is given up if it mayn't")
    {
        story.restoreQueue(1);
        CHECK(world.phaseOf("j1") == "failed");
        CHECK(world.take<start_run>().empty());
    }
}

// Guards against starts without a ticket, which executors refuse, while the route is away.
TEST_CASE("a job's steps need tickets while the configuration doesn't have its queue")
{
    configured_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    story.removeQueue();
    job_spec job = acceptedJob(true);
    job.terms->adviceValidMs = 5'000;
    world.taskScheduler.handle(job_submitted{job}, world.now);
    world.planAndCommit();
    CHECK(world.take<start_run>().empty());
    const std::vector<request_advice> asked = world.take<request_advice>();
    REQUIRE(asked.size() == 1);
    world.taskScheduler.handle(advice_answered{"j1", 0, 0, order_status::Ok, {"e1"}, {{"e1", "ticket-1"}}, 0, asked[0].call}, world.now);
    world.planAndCommit();
    CHECK(world.takeStart().ticket == "ticket-1");
}

TEST_CASE("the terms of a job's queue are stored once")
{
    SUBCASE("with the submission")
    {
        failure reason;
        job_spec job = acceptedJob(true);
        job.terms->adviceValidMs = 700;
        const std::optional<job_spec> read = readJob(writeJob(job), reason);
        REQUIRE(read.has_value());
        REQUIRE(read->terms.has_value());
        CHECK(read->terms->maxAttempts == promisedAttempts);
        CHECK(read->terms->requiresAdvice);
        CHECK(read->terms->adviceValidMs == 700);
        CHECK(writeState(job_record(*read)).find("attempts") == std::string::npos);
    }
    SUBCASE("which callers can't set")
    {
        failure reason;
        const std::optional<job_spec> read = readSubmission(R"({"Steps":[{"Count":1}],"attempts":9})", reason);
        REQUIRE(read.has_value());
        CHECK_FALSE(read->terms.has_value());
    }
    SUBCASE("or with the state, if a former version stored the submission")
    {
        failure reason;
        const std::optional<job_spec> read = readJob(writeJob(formerJob()), reason);
        REQUIRE(read.has_value());
        REQUIRE_FALSE(read->terms.has_value());
        job_record job(*read);
        job.openDueOccurrences(0);
        job.terms = queue_terms{2, true, 0};
        job_record restored(*read);
        REQUIRE(readState(writeState(job), restored));
        REQUIRE(restored.terms.has_value());
        CHECK(restored.terms->maxAttempts == 2);
        CHECK(restored.terms->requiresAdvice);
        job_record withoutTerms(*read);
        REQUIRE(readState(R"({"phase":"running"})", withoutTerms));
        CHECK_FALSE(withoutTerms.terms.has_value());
    }
}

// Guards against a second set of rules for tasks that were lost with a crashed executor.
TEST_CASE("a suspect keeps its job's terms while the configuration doesn't have its queue")
{
    configured_world story;
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    const auto crash = [&world](const std::string &executor) {
        executor_entry next = world.taskScheduler.executors().at(executor).entry;
        next.id = executor + "+";
        next.startedUnixMs += 1;
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.answerPoll(executor, {}, {}, order_status::Unreachable);
        world.answerPoll(next.id, {}, {}, order_status::Ok, next.startedUnixMs);
        return next.id;
    };

    SUBCASE("it needs a ticket")
    {
        story.removeQueue();
        job_spec job = acceptedJob(true);
        job.terms->adviceValidMs = 5'000;
        world.taskScheduler.handle(job_submitted{job}, world.now);
        world.planAndCommit();
        const std::vector<request_advice> first = world.take<request_advice>();
        REQUIRE(first.size() == 1);
        world.taskScheduler.handle(advice_answered{"j1", 0, 0, order_status::Ok, {"e1"}, {{"e1", "ticket-1"}}, 0, first[0].call}, world.now);
        world.planAndCommit();
        story.start();
        world.take<request_advice>();
        const std::string next = crash("e1");
        CHECK(world.take<start_run>().empty());
        const std::vector<request_advice> second = world.take<request_advice>();
        REQUIRE(second.size() == 1);
        world.taskScheduler.handle(advice_answered{"j1", 0, 0, order_status::Ok, {next}, {{next, "ticket-2"}}, 0, second[0].call}, world.now);
        world.planAndCommit();
        CHECK(world.takeStart().ticket == "ticket-2");
    }
    SUBCASE("it waits for the configuration after a failed run if its attempts aren't known")
    {
        story.removeQueue();
        story.submit(scheduler_fixture::job("j1", {scheduler_fixture::step(1)}));
        const std::string next = crash("e1");
        const start_run trial = story.start();
        world.answerPoll(next, {}, {world.ended(trial, 1, run_end::Failed)}, order_status::Ok, trial.startedUnixMs);
        world.advance(5'000);
        world.answerPoll(next, {}, {}, order_status::Ok, trial.startedUnixMs);
        world.advance(100);
        CHECK(world.phaseOf("j1") == "running");
        CHECK(world.take<start_run>().empty());
        story.restoreQueue();
        CHECK(story.start().run == 3);
    }
}

namespace {

/** Two queues of one pool, whose only executor has room for one task; one queue's jobs go before the other's. */
struct busy_world : configured_world
{
    static std::vector<queue_config> twoQueues()
    {
        std::vector<queue_config> queues(2, scheduler_fixture::singleQueueConfiguration().queues[0]);
        queues[1].key.prefix = "/bulk/";
        queues[1].priority = 1;
        return queues;
    }

    static job_spec bulkJob(const std::string &id)
    {
        job_spec spec = scheduler_fixture::job(id, {scheduler_fixture::step(1)});
        spec.queue.prefix = "/bulk/";
        return spec;
    }

    busy_world()
    {
        world.addExecutor("e1", 1'000);
        setQueues(twoQueues());
        busy = submit(bulkJob("busy"));
    }

    void removeUrgentQueue()
    {
        setQueues({twoQueues()[1]});
    }

    /** Ends the run that is at work and returns the next one. */
    start_run next()
    {
        world.answerPoll("e1", {}, {world.ended(busy, ++listedEnds, run_end::Done)});
        busy = start();
        return busy;
    }

    start_run busy;
};

} // namespace

// Guards against jobs that wait behind all others of their pool while their route is away (LOST).
TEST_CASE("a job keeps its place among others while the configuration doesn't have its queue")
{
    busy_world story;
    scheduler_fixture &world = story.world;
    world.taskScheduler.handle(job_submitted{world.job("urgent", {world.step(1)})}, world.now);
    story.removeUrgentQueue();
    for (const char *id : {"bulk-1", "bulk-2"}) {
        world.taskScheduler.handle(job_submitted{story.bulkJob(id)}, world.now);
    }
    CHECK(story.next().task.job == "urgent");
}
