#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t formerBorn = 500;
constexpr std::int64_t currentBorn = 1'000;

executor_entry entryOnVm(const std::string &id, const std::string &vm, std::int64_t born)
{
    executor_entry one = scheduler_fixture::entry(id);
    one.vm = vm;
    one.bornUnixMs = born;
    return one;
}

vm_entry vmWith(const std::string &vm, const std::string &executor)
{
    vm_entry one;
    one.vm = vm;
    one.pool = "booking";
    one.state = vm_state::Up;
    one.executor = executor;
    return one;
}

} // namespace

// Issue 14: the list of VMs came before the registry's rows, and a live executor was taken as the former one of its VM.
TEST_CASE("a run isn't started twice when a former executor's entry is read before its successor's")
{
    scheduler_fixture first;
    first.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, first.now);
    first.planAndCommit();
    first.answerHold("current", {}, {}, order_status::Ok, currentBorn);
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("other");
    second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
    second.taskScheduler.handle(executor_seen{entryOnVm("former", "vm-1", formerBorn)}, second.now);
    second.planAndCommit();
    CHECK(second.take<start_run>().empty());

    SUBCASE("its own entry and list follow: the run goes on")
    {
        second.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, second.now);
        second.planAndCommit();
        second.answerHold("current", {scheduler_fixture::running(start)}, {}, order_status::Ok, currentBorn);
        second.advance(100);
        CHECK(second.take<start_run>().empty());
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("its list says that the run is done: the job is completed")
    {
        second.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, second.now);
        second.planAndCommit();
        second.answerHold("current", {}, {scheduler_fixture::ended(start, 1, run_end::Done)}, order_status::Ok, currentBorn);
        CHECK(second.phaseOf("j1") == "completed");
        CHECK(second.take<start_run>().empty());
    }
}

// Guards the speed of recovery: a run is placed again as soon as its executor is known to be over, not when its lease is.
TEST_CASE("the former executor of a VM is given up in whichever order the facts come")
{
    scheduler_fixture first;
    first.taskScheduler.handle(executor_seen{entryOnVm("former", "vm-1", formerBorn)}, first.now);
    first.planAndCommit();
    first.answerHold("former", {}, {}, order_status::Ok, formerBorn);
    first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("other");

    SUBCASE("its entry, then its successor's")
    {
        second.taskScheduler.handle(executor_seen{entryOnVm("former", "vm-1", formerBorn)}, second.now);
        second.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its successor's entry, then its own")
    {
        second.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, second.now);
        second.taskScheduler.handle(executor_seen{entryOnVm("former", "vm-1", formerBorn)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its entry has lapsed: a later list of VMs names its successor")
    {
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "former")}}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its entry has lapsed and no list has named it: its lease has to end")
    {
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
        second.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
    }
}

// Zero stands for a birth that isn't known, which is no earlier than any other.
TEST_CASE("an executor whose entry names no birth isn't given up for another one of its VM")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", 0)}, world.now);
    world.taskScheduler.handle(executor_seen{entryOnVm("former", "vm-1", formerBorn)}, world.now);
    CHECK_FALSE(world.taskScheduler.executors().at("current").dead);
    CHECK_FALSE(world.taskScheduler.executors().at("former").dead);
}

TEST_CASE("an executor that has started again on its VM is the one that lives")
{
    constexpr std::int64_t nextBorn = 2'000;
    scheduler_fixture world;
    world.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-1", formerBorn)}, world.now);
    world.taskScheduler.handle(executor_seen{entryOnVm("between", "vm-1", currentBorn)}, world.now);
    REQUIRE(world.taskScheduler.executors().at("e1").dead);
    world.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-1", nextBorn)}, world.now);
    CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    CHECK(world.taskScheduler.executors().at("between").dead);
}

// Found by rcm-bogota trouble-2 --seed 933374963006: a holder ordered upkeep before it had read the registry, then placed runs there.
TEST_CASE("an executor whose VM is ordered down before its entry is read gets no runs")
{
    scheduler_fixture world;
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-1"};
    wave.durationMs = 20'000;
    wave.cap = 1;
    world.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, world.now);
    world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
    world.advance(200);
    const std::vector<upkeep_vm> ordered = world.take<upkeep_vm>();
    REQUIRE(ordered.size() == 1);
    world.advance(200);
    world.taskScheduler.handle(executor_seen{entryOnVm("current", "vm-1", currentBorn)}, world.now);
    world.planAndCommit();
    world.answerHold("current", {}, {}, order_status::Ok, currentBorn);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    CHECK(world.take<start_run>().empty());

    SUBCASE("the order is refused: the executor gets runs")
    {
        world.taskScheduler.handle(upkeep_answered{"vm-1", 1, fleet_status::NotInWave, ordered[0].occupant}, world.now);
        world.advance(200);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// Found by the model of takeovers, seed 767: an executor restarts under its id, and a start reaches its next life before the news does.
TEST_CASE("a run that was started after its executor's restart isn't started twice")
{
    constexpr std::int64_t nextBorn = 2'000;
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    world.addExecutor("e2");

    SUBCASE("no list has shown it: the next life's list decides")
    {
        world.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-e1", nextBorn)}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());

        SUBCASE("it is there and goes on")
        {
            world.now += 10;
            world.answerHold("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, nextBorn);
            world.advance(100);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().empty());
        }
        SUBCASE("it isn't: it is placed again once a stop keeps it from arriving late")
        {
            world.now += 10;
            world.answerHold("e1", {}, {}, order_status::Ok, nextBorn);
            CHECK(world.take<start_run>().empty());
            const std::vector<stop_run> stops = world.take<stop_run>();
            REQUIRE(stops.size() == 1);
            world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
            world.now += 10;
            world.answerHold("e1", {}, {}, order_status::Ok, nextBorn);
            CHECK(world.take<start_run>().size() == 1);
        }
    }
    SUBCASE("the former life has listed it: it is over, and placed again at once")
    {
        world.answerHold("e1", {scheduler_fixture::running(start)});
        world.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-e1", nextBorn)}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().size() == 1);
    }
}

// Found by the model of takeovers, seed 1398: the cursor of a former life made the next one forget the end of a run.
TEST_CASE("a former life's ends aren't acknowledged to the next one")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    world.take<hold_executor>();
    world.answerHold("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
    const std::vector<hold_executor> acknowledging = world.take<hold_executor>();
    REQUIRE(acknowledging.size() == 1);
    REQUIRE(acknowledging[0].acknowledged == 1);

    SUBCASE("the list no longer has them: later holds name none")
    {
        world.answerHold("e1");
        world.advance(3'000);
        const std::vector<hold_executor> later = world.take<hold_executor>();
        REQUIRE_FALSE(later.empty());
        CHECK(later[0].acknowledged == 0);
    }
    SUBCASE("the hold gets no answer: the next one only looks, and the one after a list that has them acknowledges again")
    {
        world.answerHold("e1", {}, {}, order_status::Unknown);
        world.advance(500);
        const std::vector<hold_executor> looking = world.take<hold_executor>();
        REQUIRE(looking.size() == 1);
        CHECK(looking[0].acknowledged == 0);
        world.answerHold("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
        world.advance(500);
        const std::vector<hold_executor> again = world.take<hold_executor>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].acknowledged == 1);
    }
}

// Found by the model of takeovers, seed 4840: a late start reached the next life, which didn't know that it had been stopped.
TEST_CASE("a start without an answer is stopped again when its executor restarts")
{
    constexpr std::int64_t nextBorn = 2'000;
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.placeTask("j1");
    world.answerStart(start, order_status::Unknown);
    world.answerHold("e1");
    world.now += 10;
    world.answerHold("e1");
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
    world.now += 10;
    world.answerHold("e1");
    world.advance(400);
    const start_run again = world.takeStart();
    REQUIRE(again.run == start.run + 1);
    world.answerStart(again);

    SUBCASE("while the order may still be carried out")
    {
        world.answerHold("e1", {scheduler_fixture::running(again)}, {}, order_status::Ok, nextBorn);
        const std::vector<stop_run> repeated = world.take<stop_run>();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].run == start.run);
        CHECK(repeated[0].bornUnixMs == nextBorn);
    }
    SUBCASE("also when its entry had vanished, and the task is done")
    {
        world.answerHold("e1", {}, {scheduler_fixture::ended(again, 1, run_end::Done)});
        world.answerHold("e1", {}, {}, order_status::Unknown);
        world.taskScheduler.handle(executor_gone{"e1"}, world.now);
        world.advance(1'000);
        world.take<stop_run>();
        executor_entry next = scheduler_fixture::entry("e1");
        next.bornUnixMs = nextBorn;
        world.taskScheduler.handle(executor_seen{next}, world.now);
        world.planAndCommit();
        const std::vector<stop_run> repeated = world.take<stop_run>();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].run == start.run);
        CHECK(repeated[0].bornUnixMs == nextBorn);
    }
    SUBCASE("not later")
    {
        world.now += 13'000;
        world.answerHold("e1", {scheduler_fixture::running(again)}, {}, order_status::Ok, nextBorn);
        CHECK(world.take<stop_run>().empty());
    }
}

// The row doesn't say whether the former holder's start was answered, so it may still be on its way.
TEST_CASE("a former holder's late start isn't carried out by an executor's next life")
{
    constexpr std::int64_t nextBorn = 2'000;
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");

    SUBCASE("its executor answers without it, and restarts")
    {
        second.addExecutor("e1");
        second.takeStart();
        second.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-e1", nextBorn)}, second.now);
    }
    SUBCASE("its executor is silent until the lease is over, and restarts")
    {
        second.taskScheduler.handle(executor_seen{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.answerHold("e1", {}, {}, order_status::Unknown);
        second.advance(7'000);
        second.taskScheduler.handle(executor_seen{entryOnVm("e1", "vm-e1", nextBorn)}, second.now);
    }
    second.planAndCommit();
    const std::vector<stop_run> stops = second.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == start.run);
    CHECK(stops[0].bornUnixMs == nextBorn);
}

// Guards against an index of executors by VM that keeps the place of a former life.
TEST_CASE("an executor that starts again on another VM is compared with the executors there")
{
    scheduler_fixture world;
    executor_entry entry = scheduler_fixture::entry("e1");
    entry.vm = "vm-a";
    world.taskScheduler.handle(executor_seen{entry}, world.now);
    entry.vm = "vm-b";
    entry.bornUnixMs = 2'000;
    world.taskScheduler.handle(executor_seen{entry}, world.now);

    executor_entry next = scheduler_fixture::entry("e2");
    next.bornUnixMs = 3'000;
    SUBCASE("not with a successor on the VM that it has left")
    {
        next.vm = "vm-a";
        world.taskScheduler.handle(executor_seen{next}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    }
    SUBCASE("it is over when a later one comes there")
    {
        next.vm = "vm-b";
        world.taskScheduler.handle(executor_seen{next}, world.now);
        CHECK(world.taskScheduler.executors().at("e1").dead);
    }
}
