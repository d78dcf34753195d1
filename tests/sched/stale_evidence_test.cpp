#include "fleet_order_fixtures.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t firstStartUnixMs = 1'000;
constexpr std::int64_t secondStartUnixMs = 2'000;

vms_listed listOf(const std::string &vm, const std::string &executor, vm_state state = vm_state::Up)
{
    vms_listed list;
    list.vms.push_back({vm, "booking", state, "zone", {"a"}, executor});
    return list;
}

executor_entry incarnationOf(const std::string &id, std::int64_t startedUnixMs)
{
    executor_entry entry = scheduler_fixture::entry(id);
    entry.startedUnixMs = startedUnixMs;
    return entry;
}

} // namespace

// The registry is read again while a VM names an executor that isn't registered. Every executor with a record counted as registered, also
// one whose record a reservation had created before its entry was read.
TEST_CASE("an executor that is reserved before its entry is read still counts as unregistered")
{
    scheduler_fixture world;
    world.taskScheduler.handle(listOf("vm-1", "current"), world.now);
    REQUIRE(world.taskScheduler.hasUnregisteredExecutor());
    world.taskScheduler.handle(wave_requested{waveOf(1, "vm-1"), 0}, world.now);
    world.advance(200);
    REQUIRE(world.take<maintain_vm>().size() == 1);
    CHECK(world.taskScheduler.hasUnregisteredExecutor());
}

// A stop that an earlier incarnation acknowledged isn't known to the next one, which would carry out a late start.
TEST_CASE("a stop's answer from an earlier incarnation doesn't free the task once a later incarnation is known")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    const start_run start = world.take<start_run>().at(0);
    world.addExecutor("e2");
    world.answerStart(start, order_status::Unknown);
    world.now += 10;
    world.answerPoll("e1", {}, {}, order_status::Ok, firstStartUnixMs);
    REQUIRE(world.take<stop_run>().size() == 1);

    world.taskScheduler.handle(executor_entry_changed{incarnationOf("e1", secondStartUnixMs)}, world.now);
    world.planAndCommit();
    world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok, {start.address, firstStartUnixMs}}, world.now);
    world.advance(10);
    world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
    CHECK(world.take<start_run>().empty());
}

// Maintenance of the VM ended the earlier incarnation. A slow list of VMs that showed this arrived after the later incarnation had got
// runs, and marked that one dead.
TEST_CASE("a list of VMs that is older than an executor's incarnation doesn't mark it dead")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(listOf("vm-e1", "e1"), world.now);
    const time_ms askedAt = world.now;
    world.advance(100);
    world.taskScheduler.handle(executor_entry_changed{incarnationOf("e1", secondStartUnixMs)}, world.now);
    world.planAndCommit();
    world.answerPoll("e1", {}, {}, order_status::Ok, secondStartUnixMs);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    const start_run start = world.take<start_run>().at(0);
    world.taskScheduler.handle(start_answered{start.task, start.run, "e1", order_status::Ok, 10, secondStartUnixMs}, world.now);
    world.addExecutor("e2");
    vms_listed list = listOf("vm-e1", "", vm_state::Maintenance);

    SUBCASE("the list was requested before the incarnation was known")
    {
        list.askedAt = askedAt;
        world.taskScheduler.handle(list, world.now);
        world.planAndCommit();
        CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("the list was requested after it was known")
    {
        list.askedAt = world.now;
        world.taskScheduler.handle(list, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().size() == 1);
    }
}

// An unanswered start may still be carried out by the executor's next incarnation, whether or not the order has timed out.
TEST_CASE("a run whose start wasn't answered is kept when its executor is marked dead")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    const start_run start = world.take<start_run>().at(0);
    world.addExecutor("e2");
    SUBCASE("the start's answer is still awaited")
    {
    }
    SUBCASE("the start has timed out")
    {
        world.answerStart(start, order_status::Unknown);
    }
    world.taskScheduler.handle(poll_answered{"e1", order_status::WrongExecutor, 0, 7, std::nullopt, {}, {}, false, {start.address, firstStartUnixMs}},
                               world.now);
    REQUIRE(world.taskScheduler.executors().at("e1").dead);
    world.planAndCommit();
    CHECK(world.take<start_run>().empty());
    SUBCASE("the next incarnation has the run: it continues")
    {
        world.taskScheduler.handle(executor_entry_changed{incarnationOf("e1", secondStartUnixMs)}, world.now);
        world.planAndCommit();
        world.answerPoll("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, secondStartUnixMs);
        CHECK(world.take<start_run>().empty());
        CHECK(world.take<stop_run>().empty());
    }
    SUBCASE("no next incarnation appears: the run is placed again when its lease has expired")
    {
        world.advance(7'000);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// The answer to a maintenance order released the reservation that a later order had made.
TEST_CASE("an executor stays reserved for the maintenance that was ordered last")
{
    maintenance_fixture world("e1");
    world.answer(world.first, fleet_status::Ok);
    world.list();
    world.requestWave(2);
    world.takeMaintenance();
    world.answerPoll("e1");
    CHECK(world.taskScheduler.executors().at("e1").reserved);
}

// The answer to a refused move released the executor's reservation, and the executor got runs that the maintenance then ended.
TEST_CASE("no maintenance is ordered while a move of the VM has no answer")
{
    idle_fixture world;
    const move_vm move = world.takeMove();
    world.taskScheduler.handle(wave_requested{waveOf(1, move.vm), 0}, world.now);
    world.advance(200);
    CHECK(world.take<maintain_vm>().empty());

    SUBCASE("the move is refused: the maintenance follows")
    {
        world.answer(move, fleet_status::Refused);
    }
    SUBCASE("the move gets no answer until it is ordered again")
    {
        world.answer(move, fleet_status::Unknown);
        world.advance(200);
        CHECK(world.take<maintain_vm>().empty());
        world.advance(1'000);
        CHECK(world.take<move_vm>().size() == 1);
        CHECK(world.take<maintain_vm>().empty());
        // The first order may still be carried out.
        world.answer(move, fleet_status::Refused);
        world.advance(200);
        CHECK(world.take<maintain_vm>().empty());
        world.advance(1'000);
        CHECK(world.take<move_vm>().size() == 1);
        world.answer(move, fleet_status::Rejected);
    }
    world.advance(200);
    CHECK(world.take<maintain_vm>().size() == 1);
    CHECK(world.taskScheduler.executors().at(move.occupant.executor).reserved);
}

// A fleet order of the former holder that was still in flight ended runs that its successor had placed.
TEST_CASE("a VM gets no runs while a fleet order of the former holder may still take it down")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    first.taskScheduler.handle(listOf("vm-e1", "e1"), first.now);
    first.taskScheduler.handle(wave_requested{waveOf(1, "vm-e1"), 0}, first.now);
    first.advance(200);
    REQUIRE(first.take<maintain_vm>().size() == 1);

    scheduler_fixture second;
    second.addExecutor("e1");
    second.taskScheduler.handle(job_submitted{second.job("j1", {second.step(1)})}, second.now);

    SUBCASE("a maintenance order that may be in flight")
    {
        REQUIRE(second.taskScheduler.restoreFleetOrders(first.rows.at(fleetOrdersRowKey), second.now));
        second.advance(100);
        CHECK(second.take<start_run>().empty());
        second.advance(4'000);
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("a move to another pool")
    {
        REQUIRE(second.taskScheduler.restoreFleetOrders(R"({"vm-e1":"spare"})", second.now));
        second.advance(100);
        CHECK(second.take<start_run>().empty());
    }
    SUBCASE("a move that has been carried out doesn't keep runs away")
    {
        REQUIRE(second.taskScheduler.restoreFleetOrders(R"({"vm-e1":"booking"})", second.now));
        second.advance(100);
        CHECK(second.take<start_run>().size() == 1);
    }
}

// An executor that was wrongly marked dead got neither polls nor runs for the rest of the term.
TEST_CASE("an executor that was marked dead is polled again when a later list of VMs names it")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(poll_answered{"e1", order_status::WrongExecutor, 0, 7, std::nullopt, {}, {}, false, {"10.0.0.1:80", firstStartUnixMs}},
                               world.now);
    REQUIRE(world.taskScheduler.executors().at("e1").dead);
    world.take<poll_executor>();
    vms_listed list = listOf("vm-e1", "e1");

    SUBCASE("the list was requested before: the executor stays dead")
    {
        list.askedAt = world.now - 1;
        world.advance(100);
        world.taskScheduler.handle(list, world.now);
        world.advance(100);
        CHECK(world.taskScheduler.executors().at("e1").dead);
        CHECK(world.take<poll_executor>().empty());
    }
    SUBCASE("the list was requested later: nothing is started on the executor before it answers")
    {
        world.advance(100);
        list.askedAt = world.now;
        world.taskScheduler.handle(list, world.now);
        world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.advance(100);
        REQUIRE(world.take<poll_executor>().size() == 1);
        CHECK(world.take<start_run>().empty());
        world.answerPoll("e1");
        CHECK(world.take<start_run>().size() == 1);
    }
}

// Guards against orders to an executor that is being taken down, and against runs that it gets because of an answer to a poll that was
// sent before it was marked dead.
TEST_CASE("outdated evidence doesn't revive an executor that was marked dead")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.take<poll_executor>();
    world.advance(3'000);
    const time_ms polledAt = world.now;
    REQUIRE(world.take<poll_executor>().size() == 1);
    world.taskScheduler.handle(stop_answered{{"j0", 0, 0, 0}, 1, "e1", order_status::WrongExecutor, {"10.0.0.1:80", firstStartUnixMs}}, world.now);
    REQUIRE(world.taskScheduler.executors().at("e1").dead);
    world.advance(100);

    SUBCASE("a later list shows its VM in maintenance: it stays dead")
    {
        vms_listed list = listOf("vm-e1", "e1", vm_state::Maintenance);
        list.askedAt = world.now;
        world.taskScheduler.handle(list, world.now);
        world.advance(100);
        CHECK(world.taskScheduler.executors().at("e1").dead);
        CHECK(world.take<poll_executor>().empty());
    }
    SUBCASE("a poll that was sent before is answered: nothing is started before the executor answers a poll that was sent later")
    {
        world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, polledAt, world.now, firstStartUnixMs, {}, {}}, world.now);
        vms_listed list = listOf("vm-e1", "e1");
        list.askedAt = world.now;
        world.taskScheduler.handle(list, world.now);
        world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
        world.advance(100);
        CHECK(world.take<start_run>().empty());
        REQUIRE(world.take<poll_executor>().size() == 1);
        world.answerPoll("e1");
        world.advance(100);
        CHECK(world.take<start_run>().size() == 1);
    }
}
