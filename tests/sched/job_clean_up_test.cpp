#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

/** A job that was completed longer ago than its status is kept for callers. */
struct expired_job_fixture
{
    expired_job_fixture()
    {
        world.addExecutor("e1");
        world.taskScheduler.handle(job_submitted{spec}, world.now);
        world.planAndCommit();
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        world.answerStart(starts[0]);
        world.answerPoll("e1", {}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
        REQUIRE(world.phaseOf("j1") == "completed");
        world.advance(2 * bounds{}.statusKeepMs + 1'000);
        world.answerPoll("e1");
    }

    scheduler_fixture world;
    job_spec spec = scheduler_fixture::job("j1", {scheduler_fixture::step(1)});
};

} // namespace

// A job without a state row counts as new. Guards against running an ended job again whose state row was deleted before its submission.
TEST_CASE("a job that has ended isn't run again while its submission may still be read")
{
    expired_job_fixture fixture;
    scheduler_fixture &world = fixture.world;

    SUBCASE("by the next lease holder")
    {
        scheduler_fixture next;
        next.addExecutor("e1");
        const std::string row = world.rows.contains("j1") ? world.rows.at("j1") : "";
        REQUIRE(next.taskScheduler.restore(fixture.spec, row, next.now));
        next.advance(100);
        CHECK(next.take<start_run>().empty());
    }
    SUBCASE("when the store has lost its change history and all submissions are read again")
    {
        world.taskScheduler.handle(job_submitted{fixture.spec}, world.now);
        world.advance(100);
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("its state row is deleted after its submission")
    {
        const std::vector<delete_submissions> drops = world.take<delete_submissions>();
        REQUIRE(drops.size() == 1);
        CHECK(drops[0].jobs == std::vector<std::string>{"j1"});
        CHECK(world.rows.contains("j1"));
        world.advance(3'000);
        CHECK(world.take<delete_submissions>().empty());
        SUBCASE("the deletion is requested again if it gets no answer")
        {
            world.advance(3'000);
            CHECK(world.take<delete_submissions>().size() == 1);
        }
        SUBCASE("a read of the submissions that began before the deletion delivers it late")
        {
            world.taskScheduler.handle(submissions_deleted{{"j1"}}, world.now);
            world.planAndCommit();
            CHECK_FALSE(world.rows.contains("j1"));
            CHECK(world.taskScheduler.jobCount() == 0);
            world.taskScheduler.handle(job_submitted{fixture.spec}, world.now);
            world.advance(100);
            CHECK(world.take<start_run>().empty());
        }
    }
}

// Guards against a lease holder that ends because a job changed between the order to delete it and the answer.
TEST_CASE("a job that changes while its submission is deleted isn't stored any more")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run lost = world.runTask("j1");
    world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
    world.planAndCommit();
    world.answerPoll("e1", {}, {scheduler_fixture::ended(lost, 1, run_end::Stopped)});
    world.advance(2 * bounds{}.statusKeepMs + 1'000);
    REQUIRE(world.take<delete_submissions>().size() == 1);
    world.storeReachable = false;
    world.answerPoll("e1", {}, {scheduler_fixture::ended(lost, 2, run_end::Failed)});
    world.taskScheduler.handle(submissions_deleted{{"j1"}}, world.now);
    world.storeReachable = true;
    CHECK_NOTHROW(world.planAndCommit());
    CHECK_FALSE(world.rows.contains("j1"));
}

TEST_CASE("the row of a submission that was barred is deleted when its status isn't asked for any more")
{
    scheduler_fixture world;
    world.taskScheduler.handle(submission_barred{"never"}, world.now);
    world.advance(bounds{}.statusKeepMs);
    CHECK(world.take<delete_submissions>().empty());
    world.advance(bounds{}.statusKeepMs + 1'000);
    const std::vector<delete_submissions> drops = world.take<delete_submissions>();
    REQUIRE(drops.size() == 1);
    CHECK(drops[0].jobs == std::vector<std::string>{"never"});

    SUBCASE("again if the deletion gets no answer")
    {
        world.advance(6'000);
        CHECK(world.take<delete_submissions>().size() == 1);
    }
    SUBCASE("once if it is deleted")
    {
        world.taskScheduler.handle(submissions_deleted{{"never"}}, world.now);
        world.advance(6'000);
        CHECK(world.take<delete_submissions>().empty());
    }
}
