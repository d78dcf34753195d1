#include "sched/job_account.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::size_t megabyte = 1 << 20;
// Five steps of 10,000 tasks, in a request of 400 bytes.
constexpr int tasksOfLargeStep = 10'000;

job_spec largeJob(const std::string &id)
{
    return scheduler_fixture::job(id, std::vector<step_spec>(5, scheduler_fixture::step(tasksOfLargeStep)));
}

job_spec oftenRepeatedJob(const std::string &id)
{
    job_spec spec = scheduler_fixture::job(id, {scheduler_fixture::step(1)});
    spec.repeatCount = 100'000;
    spec.firstAtUnixMs = 1;
    spec.intervalMs = 1'000;
    return spec;
}

bounds withMemory(std::size_t jobBytes)
{
    bounds limits;
    limits.jobBytes = jobBytes;
    return limits;
}

} // namespace

// Guards against accepted jobs that together take each lease holder over the memory of its machine.
TEST_CASE("the account of jobs says what the lease holder can still take")
{
    job_account account(16 * megabyte);

    SUBCASE("twenty jobs of 50,000 tasks leave room for thousands of ordinary ones")
    {
        for (int i = 0; i < 20; ++i) {
            account.add(openJobSize(largeJob("large")));
        }
        CHECK(account.room(0).bytes > 1'000 * static_cast<std::int64_t>(openJobSize(scheduler_fixture::job("j", {scheduler_fixture::step(2)})).bytes));
    }
    SUBCASE("large jobs take half of the room at most")
    {
        const job_size size = openJobSize(oftenRepeatedJob("often"));
        REQUIRE(size.large);
        while (account.room(0).largeJobBytes >= static_cast<std::int64_t>(size.bytes)) {
            account.add(size);
        }
        CHECK(account.room(0).bytes >= static_cast<std::int64_t>(8 * megabyte));
    }
    SUBCASE("so do jobs with very much work, which keep their memory for long")
    {
        job_spec spec = scheduler_fixture::job("j", {scheduler_fixture::step(50, 32'000)});
        spec.steps[0].estimateMs = 60'000;
        CHECK(openJobSize(spec).large);
        CHECK_FALSE(openJobSize(scheduler_fixture::job("j", {scheduler_fixture::step(16, 9'700)})).large);
    }
    SUBCASE("what jobs have freed lately is told, and fades")
    {
        account.add({megabyte, true});
        account.remove({megabyte, true}, 1'000);
        CHECK(account.usedBytes() == 0);
        const std::int64_t freed = account.room(1'000).freedBytesPerSecond;
        CHECK(freed > 0);
        CHECK(account.room(31'000).freedBytesPerSecond < freed / 10);
    }
}

// Guards against memory that is charged for good, and against jobs that a takeover leaves out of the account.
TEST_CASE("a job is charged until its submission is deleted")
{
    scheduler_fixture world(withMemory(megabyte));
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    const std::int64_t open = static_cast<std::int64_t>(openJobSize(scheduler_fixture::job("j1", {scheduler_fixture::step(1)})).bytes);
    CHECK(world.taskScheduler.jobAccount().usedBytes() == open);

    SUBCASE("by the holder that takes over as well")
    {
        scheduler_fixture next(withMemory(megabyte));
        next.takeOver(world, "j1");
        CHECK(next.taskScheduler.jobAccount().usedBytes() == open);
    }
    SUBCASE("less when it has ended")
    {
        world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
        for (int i = 0; i < 5; ++i) {
            world.advance(500);
        }
        CHECK(world.taskScheduler.jobAccount().usedBytes() == static_cast<std::int64_t>(endedJobSize.bytes));
        CHECK(world.phaseOf("j1") == "completed");

        SUBCASE("and nothing when its submission is deleted")
        {
            world.taskScheduler.handle(submissions_deleted{{"j1"}}, world.now);
            CHECK(world.taskScheduler.jobAccount().usedBytes() == 0);
        }
    }
    SUBCASE("in full while a run of a cancelled job may go on")
    {
        world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
        for (int i = 0; i < 5; ++i) {
            world.advance(500);
            world.answerPoll("e1", {scheduler_fixture::running(start)});
        }
        CHECK(world.taskScheduler.jobAccount().usedBytes() == open);
    }
}
