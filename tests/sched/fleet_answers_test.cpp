#include "fleet_order_fixtures.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

vms_listed listOf(const std::string &vm, const std::string &pool, const std::string &executor, vm_state state = vm_state::Up)
{
    vms_listed list;
    list.vms.push_back({vm, pool, state, "zone", {"a"}, executor});
    return list;
}

executor_entry entryOnVm(const std::string &id, const std::string &vm, std::int64_t startedUnixMs)
{
    executor_entry one = scheduler_fixture::entry(id);
    one.vm = vm;
    one.startedUnixMs = startedUnixMs;
    return one;
}

wave_request waveOf(const std::string &vm)
{
    wave_request wave;
    wave.wave = 1;
    wave.vms = {vm};
    wave.durationMs = 20'000;
    return wave;
}

} // namespace

// Guards against an answer that doesn't name the executor of its order: the VM's current executor was declared dead with its runs.
TEST_CASE("the answer to a move doesn't mark an executor dead that started on the VM after the order")
{
    scheduler_fixture world;
    world.taskScheduler.handle(listOf("vm-a", "spare", ""), world.now);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.advance(200);
    const std::vector<move_vm> first = world.take<move_vm>();
    REQUIRE(first.size() == 1);
    world.taskScheduler.handle(move_answered{"vm-a", "booking", fleet_status::Unknown, first[0].occupant}, world.now);
    world.advance(1'200);
    const std::vector<move_vm> again = world.take<move_vm>();
    REQUIRE(again.size() == 1);

    world.taskScheduler.handle(listOf("vm-a", "booking", "new"), world.now);
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("new", "vm-a", 1'000)}, world.now);
    world.planAndCommit();
    world.answerPoll("new");
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 1);
    world.answerStart(starts[0]);
    world.addExecutor("other");

    SUBCASE("the repeated move had been carried out before")
    {
        world.taskScheduler.handle(move_answered{"vm-a", "booking", fleet_status::Ok, again[0].occupant}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        CHECK_FALSE(world.taskScheduler.executors().at("new").dead);
    }
    SUBCASE("the repeated move is refused: the new executor stays reserved for its maintenance")
    {
        world.taskScheduler.handle(wave_requested{waveOf("vm-a"), 0}, world.now);
        world.advance(200);
        REQUIRE(world.taskScheduler.executors().at("new").reserved);
        world.taskScheduler.handle(move_answered{"vm-a", "booking", fleet_status::Busy, again[0].occupant}, world.now);
        CHECK(world.taskScheduler.executors().at("new").reserved);
    }
}

// Guards against a repeated order that ends the runs of an executor which isn't reserved for it.
TEST_CASE("a move without an answer isn't repeated when another executor runs on the VM")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    CHECK(move.occupant.startedUnixMs == 1'000);
    world.answer(move, fleet_status::Unknown);
    world.list(move.vm, vm_state::Up, "new");
    world.advance(1'200);
    for (const move_vm &later : world.take<move_vm>()) {
        CHECK(later.vm != move.vm);
    }
}

TEST_CASE("the answer to a move applies only to the executor incarnation that the order was for")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    const std::string id = move.occupant.executor;

    SUBCASE("the same incarnation has ended")
    {
        world.answer(move, fleet_status::Ok);
        CHECK(world.taskScheduler.executors().at(id).dead);
        SUBCASE("and a later incarnation with the same id isn't reserved any more")
        {
            world.advance(100);
            world.answerPoll(id, {}, {}, order_status::Ok, 2'000);
            world.taskScheduler.handle(executor_entry_changed{entryOnVm(id, move.vm, 2'000)}, world.now);
            CHECK(world.taskScheduler.executors().at(id).takesNewRuns(world.now));
        }
    }
    SUBCASE("a later incarnation that responds afterwards is alive, and no longer reserved")
    {
        world.taskScheduler.handle(executor_entry_changed{entryOnVm(id, move.vm, 2'000)}, world.now);
        world.answer(move, fleet_status::Ok);
        CHECK_FALSE(world.taskScheduler.executors().at(id).dead);
        CHECK(world.taskScheduler.executors().at(id).reserved);
        world.advance(100);
        world.answerPoll(id, {}, {}, order_status::Ok, 2'000);
        CHECK(world.taskScheduler.executors().at(id).takesNewRuns(world.now));
    }
}

// The fleet service also returns 200 for maintenance that was carried out before. Guards against an executor that then stays unused for
// the rest of the term.
TEST_CASE("an executor that responds after the answer to its VM's maintenance is used again")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(listOf("vm-e1", "booking", "e1"), world.now);
    world.taskScheduler.handle(wave_requested{waveOf("vm-e1"), 0}, world.now);
    world.advance(200);
    const std::vector<maintain_vm> orders = world.take<maintain_vm>();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].occupant.executor == "e1");
    const time_ms before = world.now;
    world.advance(100);
    world.taskScheduler.handle(maintenance_answered{"vm-e1", 1, fleet_status::Ok, orders[0].occupant}, world.now);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);

    SUBCASE("the maintenance was carried out before this executor started")
    {
        world.advance(100);
        world.answerPoll("e1");
        world.taskScheduler.handle(listOf("vm-e1", "booking", "e1"), world.now);
        world.advance(100);
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("a list that was requested before the answer doesn't count")
    {
        world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, before, world.now, 1'000, {}, {}}, world.now);
        world.advance(100);
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("the executor has ended: its successor gets the work")
    {
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        world.taskScheduler.handle(listOf("vm-e1", "booking", "", vm_state::Maintenance), world.now);
        world.advance(2'000);
        world.taskScheduler.handle(listOf("vm-e1", "booking", "e2"), world.now);
        world.taskScheduler.handle(executor_entry_changed{entryOnVm("e2", "vm-e1", 2'000)}, world.now);
        world.planAndCommit();
        world.answerPoll("e2", {}, {}, order_status::Ok, 2'000);
        const std::vector<start_run> starts = world.take<start_run>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].executor == "e2");
        CHECK(world.taskScheduler.executors().at("e1").dead);
    }
}
