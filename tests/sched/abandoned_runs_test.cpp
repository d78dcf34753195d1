#include "scheduler_fixture.h"

using namespace daisypass::sched;

namespace {

constexpr std::int64_t mostOfAnExecutor = 3'000;

/**
 * A task's first run was given up with its silent executor and turned out to be done after all. The start of its second run, on the
 * executor e2, has had no answer.
 */
class done_after_all_fixture : public scheduler_fixture
{
public:
    done_after_all_fixture()
    {
        addExecutor("e1");
        const start_run first = runTask("j1", mostOfAnExecutor);
        addExecutor("e2");
        answerPoll("e1", {}, {}, order_status::Unknown);
        while (take<start_run>().empty() && now < 20'000) {
            advance(100);
            for (const action &next : actions) {
                if (const start_run *order = std::get_if<start_run>(&next)) {
                    second = *order;
                }
            }
        }
        REQUIRE(second.executor == "e2");
        answerStart(second, order_status::Unknown);
        answerPoll("e1", {}, {ended(first, 1, run_end::Done)});
        REQUIRE(phaseOf("j1") == "completed");
    }

    /** Submits two jobs, which need an executor each, and returns the number of those that were placed. */
    std::size_t placeTwoJobs()
    {
        for (const char *id : {"j2", "j3"}) {
            taskScheduler.handle(job_submitted{job(id, {step(1, mostOfAnExecutor)})}, now);
        }
        advance(400);
        return take<start_run>().size();
    }

    void confirmStop()
    {
        taskScheduler.handle(stop_answered{second.task, second.run, "e2", order_status::Ok}, now);
        planAndCommit();
    }

    start_run second;
};

} // namespace

// Guards against starts over an executor's capacity: the room of a run that was no longer needed was given away although its start order
// could still be carried out.
TEST_CASE("a run that is no longer needed uses capacity until its executor can't start it any more")
{
    done_after_all_fixture world;
    REQUIRE(world.take<stop_run>().size() == 1);
    world.answerPoll("e2");
    CHECK(world.placeTwoJobs() == 1);

    SUBCASE("because it has confirmed the stop, and a later list doesn't show the run")
    {
        world.confirmStop();
        world.now += 10;
        world.answerPoll("e2");
        world.advance(100);
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("because it has listed the run's end")
    {
        world.answerPoll("e2", {}, {scheduler_fixture::ended(world.second, 1, run_end::Stopped)});
        world.advance(100);
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("because late orders aren't carried out that late")
    {
        world.advance(maxOrderDelayMs);
        world.answerPoll("e2");
        world.advance(100);
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("not because the start was late and the run is there now")
    {
        world.answerPoll("e2", {scheduler_fixture::running(world.second)});
        world.advance(100);
        CHECK(world.take<start_run>().empty());
    }
}

// Guards against a single stop that is lost: the run was then stopped only by chance.
TEST_CASE("the stop of a run that is no longer needed is repeated until it is confirmed")
{
    done_after_all_fixture world;
    REQUIRE(world.take<stop_run>().size() == 1);
    world.answerPoll("e2");
    world.advance(stopRetryMs + 100);
    const std::vector<stop_run> repeated = world.take<stop_run>();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].task == world.second.task);
    CHECK(repeated[0].executor == "e2");
    world.confirmStop();
    world.advance(stopRetryMs + 100);
    CHECK(world.take<stop_run>().empty());
}

// Guards against an executor that has left for good, whose record was kept and to which stops were sent for the rest of the term.
TEST_CASE("no stops are sent to an executor that can't start the run any more because it has left")
{
    done_after_all_fixture world;
    world.answerPoll("e2", {}, {}, order_status::Unreachable);
    const time_ms ordersAreOver = world.now + maxOrderDelayMs;
    while (world.now <= ordersAreOver) {
        world.advance(100);
    }
    world.take<stop_run>();
    world.advance(stopRetryMs + 100);
    CHECK(world.take<stop_run>().empty());
}
