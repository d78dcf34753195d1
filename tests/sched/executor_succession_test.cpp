#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t formerStartUnixMs = 500;
constexpr std::int64_t currentStartUnixMs = 1'000;

executor_entry entryOnVm(const std::string &id, const std::string &vm, std::int64_t startedUnixMs)
{
    executor_entry entry = scheduler_fixture::entry(id);
    entry.vm = vm;
    entry.startedUnixMs = startedUnixMs;
    return entry;
}

vm_entry vmWith(const std::string &vm, const std::string &executor)
{
    vm_entry entry;
    entry.vm = vm;
    entry.pool = "booking";
    entry.state = vm_state::Up;
    entry.executor = executor;
    return entry;
}

} // namespace

// The list of VMs was read before the registry's rows, and a live executor was taken for the former executor of its VM (issue 14).
TEST_CASE("a run isn't started twice when a former executor's entry is read before its successor's")
{
    scheduler_fixture first;
    first.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, first.now);
    first.planAndCommit();
    first.answerPoll("current", {}, {}, order_status::Ok, currentStartUnixMs);
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("other");
    second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
    second.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, second.now);
    second.planAndCommit();
    CHECK(second.take<start_run>().empty());

    SUBCASE("its own entry and list follow: the run continues")
    {
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, second.now);
        second.planAndCommit();
        second.answerPoll("current", {scheduler_fixture::running(start)}, {}, order_status::Ok, currentStartUnixMs);
        second.advance(100);
        CHECK(second.take<start_run>().empty());
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("its list shows the run as done: the job is completed")
    {
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, second.now);
        second.planAndCommit();
        second.answerPoll("current", {}, {scheduler_fixture::ended(start, 1, run_end::Done)}, order_status::Ok, currentStartUnixMs);
        CHECK(second.phaseOf("j1") == "completed");
        CHECK(second.take<start_run>().empty());
    }
}

// Guards the speed of recovery: a run is placed again as soon as its executor is known to be dead, without waiting for its lease to expire. An
// entry alone doesn't show that, as it may come from another writer.
TEST_CASE("the former executor of a VM is marked dead in whichever order entries and lists are read")
{
    scheduler_fixture first;
    first.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, first.now);
    first.planAndCommit();
    first.answerPoll("former", {}, {}, order_status::Ok, formerStartUnixMs);
    first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("other");

    SUBCASE("its entry, then its successor's")
    {
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, second.now);
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        second.answerPoll("former", {}, {}, order_status::Unreachable);
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its successor's entry, then its own")
    {
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, second.now);
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        second.answerPoll("former", {}, {}, order_status::Unreachable);
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its entry has expired: a later list of VMs names its successor")
    {
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "former")}}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().size() == 1);
    }
    SUBCASE("its entry has expired and no list has named it: its lease has to expire first")
    {
        second.taskScheduler.handle(vms_listed{{vmWith("vm-1", "current")}}, second.now);
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, second.now);
        second.planAndCommit();
        CHECK(second.take<start_run>().empty());
    }
}

// A start time of 0 means unknown, and must not compare as earlier than any other.
TEST_CASE("an executor whose entry names no start time isn't marked dead because of another one on its VM")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", 0)}, world.now);
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, world.now);
    world.answerPoll("current", {}, {}, order_status::Unreachable);
    world.answerPoll("former", {}, {}, order_status::Unreachable);
    CHECK_FALSE(world.taskScheduler.executors().at("current").dead);
    CHECK_FALSE(world.taskScheduler.executors().at("former").dead);
}

TEST_CASE("of two executors on a VM the one that started last is alive, also if it is a restart of the first one")
{
    constexpr std::int64_t nextStartUnixMs = 2'000;
    scheduler_fixture world;
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-1", formerStartUnixMs)}, world.now);
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("between", "vm-1", currentStartUnixMs)}, world.now);
    world.answerPoll("e1", {}, {}, order_status::Unreachable);
    REQUIRE(world.taskScheduler.executors().at("e1").dead);
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-1", nextStartUnixMs)}, world.now);
    world.answerPoll("between", {}, {}, order_status::Unreachable);
    CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    CHECK(world.taskScheduler.executors().at("between").dead);
}

// A holder ordered maintenance of a VM before it had read the registry, and then placed runs on the VM's executor.
TEST_CASE("an executor whose VM is ordered into maintenance before its entry is read gets no runs")
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
    const std::vector<maintain_vm> ordered = world.take<maintain_vm>();
    REQUIRE(ordered.size() == 1);
    world.advance(200);
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("current", "vm-1", currentStartUnixMs)}, world.now);
    world.planAndCommit();
    world.answerPoll("current", {}, {}, order_status::Ok, currentStartUnixMs);
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.planAndCommit();
    CHECK(world.take<start_run>().empty());

    SUBCASE("the order is refused: the executor gets runs")
    {
        world.taskScheduler.handle(maintenance_answered{"vm-1", 1, fleet_status::NotInWave, ordered[0].occupant}, world.now);
        world.advance(200);
        CHECK(world.take<start_run>().size() == 1);
    }
}

// An executor restarted under its id, and a start reached the next incarnation before the scheduler knew of it (takeover model, seed 767).
TEST_CASE("a run that was started after its executor's restart isn't started twice")
{
    constexpr std::int64_t nextStartUnixMs = 2'000;
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    world.addExecutor("e2");

    SUBCASE("no list has shown the run: the next incarnation's list decides")
    {
        world.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-e1", nextStartUnixMs)}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());

        SUBCASE("the list shows the run: it continues")
        {
            world.now += 10;
            world.answerPoll("e1", {scheduler_fixture::running(start)}, {}, order_status::Ok, nextStartUnixMs);
            world.advance(100);
            CHECK(world.take<start_run>().empty());
            CHECK(world.take<stop_run>().empty());
        }
        SUBCASE("the list doesn't show it: it is placed again once a stop has ruled out a late start")
        {
            world.now += 10;
            world.answerPoll("e1", {}, {}, order_status::Ok, nextStartUnixMs);
            CHECK(world.take<start_run>().empty());
            const std::vector<stop_run> stops = world.take<stop_run>();
            REQUIRE(stops.size() == 1);
            world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
            world.now += 10;
            world.answerPoll("e1", {}, {}, order_status::Ok, nextStartUnixMs);
            CHECK(world.take<start_run>().size() == 1);
        }
    }
    SUBCASE("the former incarnation has listed the run: it is lost, and placed again at once")
    {
        world.answerPoll("e1", {scheduler_fixture::running(start)});
        world.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-e1", nextStartUnixMs)}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().size() == 1);
    }
}

// The acknowledgement cursor of a former incarnation made the next one delete the end of a run (takeover model, seed 1398).
TEST_CASE("a former incarnation's ends aren't acknowledged to the next one")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    world.take<poll_executor>();
    world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
    const std::vector<poll_executor> acknowledging = world.take<poll_executor>();
    REQUIRE(acknowledging.size() == 1);
    REQUIRE(acknowledging[0].acknowledged == 1);

    SUBCASE("the list no longer has them: later polls acknowledge none")
    {
        world.answerPoll("e1");
        world.advance(3'000);
        const std::vector<poll_executor> later = world.take<poll_executor>();
        REQUIRE_FALSE(later.empty());
        CHECK(later[0].acknowledged == 0);
    }
    SUBCASE("the poll gets no answer: the next poll acknowledges none, and the one after a list that has them acknowledges them again")
    {
        world.answerPoll("e1", {}, {}, order_status::Unknown);
        world.advance(500);
        const std::vector<poll_executor> unacknowledging = world.take<poll_executor>();
        REQUIRE(unacknowledging.size() == 1);
        CHECK(unacknowledging[0].acknowledged == 0);
        world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Done)});
        world.advance(500);
        const std::vector<poll_executor> again = world.take<poll_executor>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].acknowledged == 1);
    }
}

// A late start reached the next incarnation, which didn't know that the run had been stopped (takeover model, seed 4840).
TEST_CASE("the run of an unanswered start is stopped again when its executor restarts")
{
    constexpr std::int64_t nextStartUnixMs = 2'000;
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.placeTask("j1");
    world.answerStart(start, order_status::Unknown);
    world.answerPoll("e1");
    world.now += 10;
    world.answerPoll("e1");
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
    world.now += 10;
    world.answerPoll("e1");
    world.advance(400);
    const start_run again = world.takeStart();
    REQUIRE(again.run == start.run + 1);
    world.answerStart(again);

    SUBCASE("while the late start may still be carried out")
    {
        world.answerPoll("e1", {scheduler_fixture::running(again)}, {}, order_status::Ok, nextStartUnixMs);
        const std::vector<stop_run> repeated = world.take<stop_run>();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].run == start.run);
        CHECK(repeated[0].startedUnixMs == nextStartUnixMs);
    }
    SUBCASE("also if the executor's entry was removed and the task is done")
    {
        world.answerPoll("e1", {}, {scheduler_fixture::ended(again, 1, run_end::Done)});
        world.answerPoll("e1", {}, {}, order_status::Unknown);
        world.taskScheduler.handle(executor_entry_removed{"e1"}, world.now);
        world.advance(1'000);
        world.take<stop_run>();
        executor_entry next = scheduler_fixture::entry("e1");
        next.startedUnixMs = nextStartUnixMs;
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.planAndCommit();
        const std::vector<stop_run> repeated = world.take<stop_run>();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].run == start.run);
        CHECK(repeated[0].startedUnixMs == nextStartUnixMs);
    }
    SUBCASE("not after the time in which a late start may be carried out")
    {
        world.now += 13'000;
        world.answerPoll("e1", {scheduler_fixture::running(again)}, {}, order_status::Ok, nextStartUnixMs);
        CHECK(world.take<stop_run>().empty());
    }
}

// A job's row doesn't tell whether the former holder's start was answered, so the order may still be in flight.
TEST_CASE("a former holder's late start isn't carried out by an executor's next incarnation")
{
    constexpr std::int64_t nextStartUnixMs = 2'000;
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");

    SUBCASE("the executor's list doesn't show the run, and the executor restarts")
    {
        second.addExecutor("e1");
        second.takeStart();
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-e1", nextStartUnixMs)}, second.now);
    }
    SUBCASE("the executor is unresponsive until the lease has expired, and restarts")
    {
        second.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.answerPoll("e1", {}, {}, order_status::Unknown);
        second.advance(7'000);
        second.taskScheduler.handle(executor_entry_changed{entryOnVm("e1", "vm-e1", nextStartUnixMs)}, second.now);
    }
    second.planAndCommit();
    const std::vector<stop_run> stops = second.take<stop_run>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == start.run);
    CHECK(stops[0].startedUnixMs == nextStartUnixMs);
}

// Guards against an index of executors by VM that keeps a former incarnation's VM.
TEST_CASE("an executor that restarts on another VM is compared with the executors there")
{
    scheduler_fixture world;
    executor_entry entry = scheduler_fixture::entry("e1");
    entry.vm = "vm-a";
    world.taskScheduler.handle(executor_entry_changed{entry}, world.now);
    entry.vm = "vm-b";
    entry.startedUnixMs = 2'000;
    world.taskScheduler.handle(executor_entry_changed{entry}, world.now);

    executor_entry next = scheduler_fixture::entry("e2");
    next.startedUnixMs = 3'000;
    SUBCASE("not with a successor on the VM that it has left")
    {
        next.vm = "vm-a";
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        CHECK_FALSE(world.taskScheduler.executors().at("e1").dead);
    }
    SUBCASE("it is dead once a later executor is read for its new VM and it refuses a poll")
    {
        next.vm = "vm-b";
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Unreachable);
        CHECK(world.taskScheduler.executors().at("e1").dead);
    }
}

// An entry of another writer that names a live executor's VM made all of its tasks run twice (review/1).
TEST_CASE("a live executor's runs aren't started again because an entry says that it was replaced")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("live", "vm-1", formerStartUnixMs)}, world.now);
    world.planAndCommit();
    world.answerPoll("live", {}, {}, order_status::Ok, formerStartUnixMs);
    const start_run start = world.runTask("j1");
    world.answerPoll("live", {scheduler_fixture::running(start)}, {}, order_status::Ok, formerStartUnixMs);
    world.addExecutor("other");
    world.take<poll_executor>();
    const time_ms earlierPollAt = world.now;
    world.now += 10;
    const executor_record &live = world.taskScheduler.executors().at("live");
    const auto answerAt = [&world](time_ms sentAt, order_status status, std::vector<listed_run> runs = {}) {
        world.taskScheduler.handle(poll_answered{"live", status, sentAt, world.now, formerStartUnixMs, std::move(runs), {}}, world.now);
        world.planAndCommit();
    };
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("claimant", "vm-1", currentStartUnixMs)}, world.now);

    SUBCASE("a poll before it is answered leaves that open: the executor gets no new runs")
    {
        answerAt(earlierPollAt, order_status::Ok, {scheduler_fixture::running(start)});
        CHECK_FALSE(live.takesNewRuns(world.now));
        CHECK_FALSE(live.dead);
        SUBCASE("the next poll is sent at once, and its answer refutes the entry")
        {
            const std::vector<poll_executor> polls = world.take<poll_executor>();
            CHECK(std::any_of(polls.begin(), polls.end(), [](const poll_executor &poll) {
                return poll.executor == "live" && poll.waitMs == 0;
            }));
            answerAt(world.now, order_status::Ok, {scheduler_fixture::running(start)});
            CHECK(live.takesNewRuns(world.now));
        }
    }
    SUBCASE("a poll before it fails: the retry decides")
    {
        answerAt(earlierPollAt, order_status::Unreachable);
        CHECK_FALSE(live.dead);
        answerAt(world.now, order_status::Ok, {scheduler_fixture::running(start)});
        CHECK(live.takesNewRuns(world.now));
    }
    SUBCASE("polls are lost for a short time")
    {
        for (int lost = 0; lost < 3; ++lost) {
            answerAt(world.now, order_status::Unknown);
            world.now += 400;
        }
        CHECK_FALSE(live.dead);
        answerAt(world.now, order_status::Ok, {scheduler_fixture::running(start)});
        CHECK(live.takesNewRuns(world.now));
    }
    world.advance(3'000);
    CHECK_FALSE(live.dead);
    CHECK(world.take<start_run>().empty());
    CHECK(world.take<stop_run>().empty());
}

// Guards the speed of recovery: callers of the lost runs wait.
TEST_CASE("a replaced executor's runs are started again as soon as its silence confirms it")
{
    scheduler_fixture world;
    world.taskScheduler.handle(executor_entry_changed{entryOnVm("former", "vm-1", formerStartUnixMs)}, world.now);
    world.planAndCommit();
    world.answerPoll("former", {}, {}, order_status::Ok, formerStartUnixMs);
    const start_run start = world.runTask("j1");
    world.answerPoll("former", {scheduler_fixture::running(start)}, {}, order_status::Ok, formerStartUnixMs);
    world.addExecutor("other");
    const executor_entry next = entryOnVm("next", "vm-1", currentStartUnixMs);

    SUBCASE("with the entry, if it has been silent until then")
    {
        world.answerPoll("former", {}, {}, order_status::Unknown);
        world.now += 1'600;
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
    }
    SUBCASE("with the first poll that is refused")
    {
        world.answerPoll("former", {}, {}, order_status::Unreachable);
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        CHECK_FALSE(world.taskScheduler.executors().at("former").dead);
        world.answerPoll("former", {}, {}, order_status::Unreachable);
    }
    SUBCASE("with the answer of another executor at its address")
    {
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        poll_answered misdirected{"former", order_status::WrongExecutor, world.now, 7, std::nullopt, {}, {}};
        misdirected.sentTo = {next.address, formerStartUnixMs};
        world.taskScheduler.handle(misdirected, world.now);
    }
    SUBCASE("after polls without any answer")
    {
        world.taskScheduler.handle(executor_entry_changed{next}, world.now);
        const time_ms readAt = world.now;
        while (!world.taskScheduler.executors().at("former").dead && world.now < readAt + 5'000) {
            world.advance(400);
            world.answerPoll("former", {}, {}, order_status::Unknown);
        }
        CHECK(world.now - readAt < 2'500);
    }
    world.planAndCommit();
    CHECK(world.taskScheduler.executors().at("former").dead);
    CHECK(world.take<start_run>().size() == 1);
}
