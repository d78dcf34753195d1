#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

/** A job that has been completed for longer than callers may ask for it. */
struct old_job
{
    old_job()
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

// A state row that is missing means that nothing has happened to the job.
TEST_CASE("a job that has ended isn't run again as long as its submission may be read")
{
    old_job story;
    scheduler_fixture &world = story.world;

    SUBCASE("by the lease's next holder")
    {
        scheduler_fixture next;
        next.addExecutor("e1");
        const std::string row = world.rows.contains("j1") ? world.rows.at("j1") : "";
        REQUIRE(next.taskScheduler.restore(story.spec, row, next.now));
        next.advance(100);
        CHECK(next.take<start_run>().empty());
    }
    SUBCASE("when the store has lost its history and the submissions are read again")
    {
        world.taskScheduler.handle(job_submitted{story.spec}, world.now);
        world.advance(100);
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("its state is deleted after its submission")
    {
        const std::vector<drop_jobs> drops = world.take<drop_jobs>();
        REQUIRE(drops.size() == 1);
        CHECK(drops[0].jobs == std::vector<std::string>{"j1"});
        CHECK(world.rows.contains("j1"));
        world.advance(3'000);
        CHECK(world.take<drop_jobs>().empty());
        SUBCASE("asked for again without an answer")
        {
            world.advance(3'000);
            CHECK(world.take<drop_jobs>().size() == 1);
        }
        SUBCASE("a read of the submissions that began before brings it late")
        {
            world.taskScheduler.handle(jobs_dropped{{"j1"}}, world.now);
            world.planAndCommit();
            CHECK_FALSE(world.rows.contains("j1"));
            CHECK(world.taskScheduler.jobCount() == 0);
            world.taskScheduler.handle(job_submitted{story.spec}, world.now);
            world.advance(100);
            CHECK(world.take<start_run>().empty());
        }
    }
}
