#include "scheduler_fixture.h"

using namespace daisypass::sched;

namespace {

class queue_fixture : public scheduler_fixture
{
public:
    std::int64_t waiting() const
    {
        const std::map<queue_key, std::int64_t> counts = taskScheduler.waitingJobs();
        const auto found = counts.find({"shop.example", "/book/"});
        return found == counts.end() ? 0 : found->second;
    }
};

} // namespace

// Guards against a count of 0 while jobs wait: a job counted as begun as soon as it was placed, although its start orders had no answer
// for seconds.
TEST_CASE("a job waits until an executor has confirmed the start of a task")
{
    queue_fixture world;
    world.addExecutor("e1");
    const start_run order = world.placeTask("j1");
    CHECK(world.waiting() == 1);

    SUBCASE("by its answer to the order")
    {
        world.answerStart(order);
        CHECK(world.waiting() == 0);
    }
    SUBCASE("by its list of runs, after the answer was lost")
    {
        world.answerStart(order, order_status::Unknown);
        CHECK(world.waiting() == 1);
        world.answerPoll("e1", {scheduler_fixture::running(order)});
        CHECK(world.waiting() == 0);
    }
    SUBCASE("by the end of the run")
    {
        world.answerPoll("e1", {}, {scheduler_fixture::ended(order, 1, run_end::Failed)});
        CHECK(world.waiting() == 0);
    }
    SUBCASE("not by a refusal")
    {
        world.answerStart(order, order_status::Unhealthy);
        CHECK(world.waiting() == 1);
    }
    SUBCASE("also after a takeover, since the stored placement doesn't show that the run started")
    {
        queue_fixture next;
        next.takeOver(world, "j1");
        CHECK(next.waiting() == 1);
        next.addExecutor("e1");
        next.answerPoll("e1", {scheduler_fixture::running(order)});
        CHECK(next.waiting() == 0);
    }
}

TEST_CASE("a job of which a run has ended doesn't wait after a takeover")
{
    queue_fixture world;
    world.addExecutor("e1");
    const start_run order = world.runTask("j1");
    world.answerPoll("e1", {}, {scheduler_fixture::ended(order, 1, run_end::Failed)});
    queue_fixture next;
    next.takeOver(world, "j1");
    CHECK(next.waiting() == 0);
}
