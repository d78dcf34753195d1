#include "scheduler_fixture.h"

using namespace daisypass::sched;

namespace {

constexpr time_ms slowFor = 400;
constexpr int slowPercent = 10;

} // namespace

// Guards against an executor that turns slow and gets one task after the other, each of which is stopped there as a straggler: runs that
// are stopped never end as done, so they didn't count for the executor's speed.
TEST_CASE("an executor whose runs are stopped as stragglers gets further work only when the others are full")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    std::vector<start_run> slow;
    std::vector<listed_run> list;
    for (const char *id : {"j1", "j2", "j3", "j4"}) {
        slow.push_back(world.runTask(id));
        list.push_back(scheduler_fixture::running(slow.back(), slowPercent));
    }
    world.addExecutor("e2", 10'000);
    world.now += slowFor;
    world.answerPoll("e1", list);
    world.advance(100);
    REQUIRE(world.take<stop_run>().size() == slow.size());

    std::vector<listed_end> ends;
    for (const start_run &order : slow) {
        ends.push_back(scheduler_fixture::ended(order, static_cast<std::int64_t>(ends.size()) + 1, run_end::Stopped));
    }
    world.answerPoll("e1", {}, ends);
    world.advance(100);
    for (const start_run &order : world.take<start_run>()) {
        CHECK(order.executor == "e2");
        world.answerStart(order);
    }

    // The best fit for it would be the slow executor, which has less free capacity.
    CHECK(world.placeTask("j5").executor == "e2");
    CHECK(world.placeTask("j6", 4'000).executor == "e2");
    CHECK(world.placeTask("j7", 4'000).executor == "e1");
}
