#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <limits>

using namespace daisypass::sched;

TEST_CASE("a job runs from its submission to its stored end")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);
    world.now += 5;
    world.taskScheduler.plan(world.now);
    world.collectActions();

    SUBCASE("no start is sent before the placement is stored")
    {
        CHECK(world.take<start_run>().empty());
        const std::optional<commit_batch> batch = world.taskScheduler.takeBatch(world.now);
        REQUIRE(batch);
        REQUIRE(batch->rows.size() == 1);
        CHECK(batch->rows[0].second.find("e1") != std::string::npos);
        world.taskScheduler.handle(batch_committed{batch->number}, world.now);
        world.collectActions();
        CHECK(world.take<start_run>().size() == 1);
    }
    SUBCASE("the end is acknowledged only after the job's row is stored")
    {
        world.planAndCommit();
        const start_run start = world.takeStart();
        world.answerStart(start);
        world.take<poll_executor>();
        world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, world.now, world.now, 1'000, {}, {scheduler_fixture::ended(start, 1, run_end::Done)}},
                                   world.now);
        world.taskScheduler.plan(world.now);
        world.collectActions();
        CHECK(world.take<poll_executor>().empty());
        world.planAndCommit();
        CHECK(world.phaseOf("j1") == "completed");
        const std::vector<poll_executor> polls = world.take<poll_executor>();
        REQUIRE(polls.size() == 1);
        CHECK(polls[0].acknowledged == 1);
    }
}

TEST_CASE("a failed run counts once, however often its end is listed")
{
    // A new lease holder counted a failed run again whose end its predecessor had stored but not yet acknowledged, so a job failed after
    // three of its four attempts.
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.runTask("j1");
    const listed_end failed = scheduler_fixture::ended(start, 1, run_end::Failed);
    first.answerPoll("e1", {}, {failed});

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, second.now);
    second.planAndCommit();
    second.answerPoll("e1", {}, {failed});
    start_run again = second.takeStart();
    second.answerStart(again);
    second.answerPoll("e1", {}, {scheduler_fixture::ended(again, 2, run_end::Failed)});
    second.advance(10'000);
    CHECK(second.phaseOf("j1") == "running");
    again = second.takeStart();
    second.answerStart(again);
    second.answerPoll("e1", {}, {scheduler_fixture::ended(again, 3, run_end::Failed)});
    CHECK(second.phaseOf("j1") == "failed");
}

TEST_CASE("after a takeover a task runs at most once at a time")
{
    scheduler_fixture first;
    first.addExecutor("e1");
    const start_run start = first.placeTask("j1");

    scheduler_fixture second;
    second.takeOver(first, "j1");
    second.addExecutor("e2");
    CHECK(second.take<start_run>().empty());

    SUBCASE("a run that its executor lists continues")
    {
        second.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.answerPoll("e1", {scheduler_fixture::running(start)});
        second.advance(100);
        CHECK(second.take<start_run>().empty());
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("a run that its executor doesn't list never started: the task is placed again under the next run number")
    {
        second.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, second.now);
        second.planAndCommit();
        second.answerPoll("e1");
        const start_run again = second.takeStart();
        CHECK(again.run == start.run + 1);
    }
    SUBCASE("a run on an unreachable executor counts as active until its lease has expired on the slowest clock")
    {
        second.advance(5'400);
        CHECK(second.take<start_run>().empty());
        second.answerPoll("e2");
        second.advance(700);
        CHECK(second.take<start_run>().size() == 1);
    }
}

TEST_CASE("whether an unanswered start took effect is resolved before the task is placed again")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.placeTask("j1");
    world.addExecutor("e2");
    world.answerPoll("e1");
    world.now += 10;
    world.answerStart(start, order_status::Unknown);
    CHECK(world.take<start_run>().empty());

    SUBCASE("the executor lists the run: it continues")
    {
        world.now += 10;
        world.answerPoll("e1", {scheduler_fixture::running(start)});
        CHECK(world.take<stop_run>().empty());
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("the executor doesn't list the run: it is stopped, and placed again only after a list that follows the stop")
    {
        world.now += 10;
        world.answerPoll("e1");
        const std::vector<stop_run> stops = world.take<stop_run>();
        REQUIRE(stops.size() == 1);
        CHECK(world.take<start_run>().empty());
        world.now += 10;
        world.taskScheduler.handle(stop_answered{stops[0].task, stops[0].run, "e1", order_status::Ok}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        world.now += 10;
        world.answerPoll("e1");
        CHECK(world.take<start_run>().size() == 1);
    }
}

TEST_CASE("a cancelled job starts no more runs and its active runs are stopped")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(1)})}, world.now);

    SUBCASE("a task that is placed but whose start isn't sent yet is never started")
    {
        world.now += 5;
        world.taskScheduler.plan(world.now);
        world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
        CHECK(world.phaseOf("j1") == "cancelled");
    }
    SUBCASE("a running task is stopped")
    {
        world.planAndCommit();
        const start_run start = world.takeStart();
        world.answerStart(start);
        world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
        world.planAndCommit();
        CHECK(world.take<stop_run>().size() == 1);
    }
}

TEST_CASE("a step starts only after all tasks of the step that it depends on are done")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    step_spec second = world.step(1);
    second.after = {0};
    world.taskScheduler.handle(job_submitted{world.job("j1", {world.step(2), second})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 2);
    world.answerStart(starts[0]);
    world.answerStart(starts[1]);
    world.answerPoll("e1", {scheduler_fixture::running(starts[1])}, {scheduler_fixture::ended(starts[0], 1, run_end::Done)});
    CHECK(world.take<start_run>().empty());
    world.answerPoll("e1", {}, {scheduler_fixture::ended(starts[1], 2, run_end::Done)});
    CHECK(world.take<start_run>().size() == 1);
}

TEST_CASE("upkeep ends long-running tasks only within their step's budget")
{
    // Tasks on a rack that had stopped answering still counted as available.
    scheduler_fixture world;
    const std::vector<std::string> names{"e1", "e2", "e3"};
    for (const std::string &name : names) {
        world.addExecutor(name);
    }
    vms_listed list;
    for (const std::string &name : names) {
        list.vms.push_back({"vm-" + name, "booking", vm_state::Up, "zone", {"a"}, name});
    }
    step_spec longRunningStep = world.step(3, 3'000);
    longRunningStep.longRunning = true;
    longRunningStep.maxTasksPerExecutor = 1;
    longRunningStep.allowedUnavailable = 1;
    world.taskScheduler.handle(job_submitted{world.job("j1", {longRunningStep})}, world.now);
    world.planAndCommit();
    const std::vector<start_run> starts = world.take<start_run>();
    REQUIRE(starts.size() == 3);
    for (const start_run &start : starts) {
        world.answerStart(start);
        world.answerPoll(start.executor, {scheduler_fixture::running(start, 100)});
    }
    world.advance(4'000);
    world.take<stop_run>();
    for (const start_run &start : starts) {
        world.answerPoll(start.executor, {scheduler_fixture::running(start, 100)});
    }
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-" + starts[0].executor, "vm-" + starts[1].executor};
    wave.durationMs = 20'000;
    wave.cap = 2;

    SUBCASE("the budget allows one unavailable task: one is stopped")
    {
        world.taskScheduler.handle(list, world.now);
        world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
        world.advance(200);
        world.advance(200);
        CHECK(world.take<stop_run>().size() == 1);
    }
    SUBCASE("a task on an unresponsive executor uses up the budget: none is stopped")
    {
        world.answerPoll(starts[2].executor, {}, {}, order_status::Unknown);
        world.taskScheduler.handle(list, world.now);
        world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
        world.advance(200);
        world.advance(200);
        CHECK(world.take<stop_run>().empty());
    }
}

TEST_CASE("a lost list is no standstill")
{
    // Runs were stopped as stalled because their executors' lists had been lost for a while.
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run start = world.runTask("j1");
    world.answerPoll("e1", {scheduler_fixture::running(start, 10)});

    SUBCASE("no list for three seconds")
    {
        world.advance(3'000);
        CHECK(world.take<stop_run>().empty());
    }
    SUBCASE("lists without progress for three seconds")
    {
        world.now += 3'000;
        world.answerPoll("e1", {scheduler_fixture::running(start, 10)});
        world.advance(200);
        CHECK(world.take<stop_run>().size() == 1);
    }
}

TEST_CASE("a run of a task with the longest possible estimate isn't stopped as stalled")
{
    // The limit of the time without progress was out of range: such runs were stopped at once, or after 2.5 s, depending on the machine.
    scheduler_fixture world;
    world.addExecutor("e1");
    step_spec step = scheduler_fixture::step(1);
    step.estimateMs = std::numeric_limits<std::int64_t>::max();
    world.taskScheduler.handle(job_submitted{scheduler_fixture::job("j1", {step})}, world.now);
    world.planAndCommit();
    const start_run start = world.takeStart();
    world.answerStart(start);
    world.answerPoll("e1", {scheduler_fixture::running(start, 10)});
    for (int poll = 0; poll < 4; ++poll) {
        world.now += 1'000;
        world.answerPoll("e1", {scheduler_fixture::running(start, 10)});
        world.advance(200);
    }
    CHECK(world.take<stop_run>().empty());
}

TEST_CASE("a move without an answer is ordered again")
{
    // A VM whose move order was lost stayed reserved for the rest of the term, until its pool had no usable VM left.
    scheduler_fixture world;
    const std::vector<std::string> names{"e1", "e2", "e3", "e4", "e5", "e6"};
    vms_listed list;
    for (const std::string &name : names) {
        world.addExecutor(name);
        list.vms.push_back({"vm-" + name, "booking", vm_state::Up, "zone", {"a"}, name});
    }
    world.taskScheduler.handle(list, world.now);
    world.advance(2'000);
    const std::vector<move_vm> moves = world.take<move_vm>();
    REQUIRE_FALSE(moves.empty());
    world.taskScheduler.handle(move_answered{moves[0].vm, moves[0].pool, fleet_status::Unknown, moves[0].occupant}, world.now);
    world.taskScheduler.handle(list, world.now);
    world.advance(200);
    CHECK(world.take<move_vm>().empty());
    world.advance(1'000);
    const std::vector<move_vm> again = world.take<move_vm>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].vm == moves[0].vm);
    CHECK(again[0].pool == moves[0].pool);
}

TEST_CASE("an end that comes late frees no room that a later run still takes")
{
    // Executors came back from a network partition and listed ends of runs that had been placed again in the meantime. The capacity of the
    // later runs was freed while they were still active.
    scheduler_fixture world;
    world.addExecutor("e1");
    const start_run first = world.runTask("j1", 4'000);
    world.answerPoll("e1", {}, {}, order_status::Unknown);
    world.advance(6'200);
    world.addExecutor("e2");
    world.planAndCommit();
    const start_run second = world.takeStart();
    REQUIRE(second.executor == "e2");
    world.answerStart(second);
    world.taskScheduler.handle(job_submitted{world.job("j2", {world.step(1, 4'000)})}, world.now);
    world.answerPoll("e1", {}, {}, order_status::Unknown);
    world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, world.now, world.now, 1'000, {}, {scheduler_fixture::ended(first, 1, run_end::Done)}},
                               world.now);
    world.planAndCommit();
    CHECK(world.phaseOf("j1") == "completed");
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE_FALSE(stops.empty());
    CHECK(stops[0].executor == "e2");
    CHECK(world.taskScheduler.executors().at("e2").freeCapacity().cpu == 0);
    for (const start_run &start : world.take<start_run>()) {
        CHECK(start.executor != "e2");
    }
}

TEST_CASE("a VM whose ends aren't stored stays where it is")
{
    // A VM was taken down for maintenance before the end of its run was stored. The holder that knew of the end was killed, and the task
    // ran a second time (soak seed 11).
    scheduler_fixture world;
    world.addExecutor("e1");
    vms_listed list;
    list.vms.push_back({"vm-e1", "booking", vm_state::Up, "zone", {"a"}, "e1"});
    world.taskScheduler.handle(list, world.now);
    const start_run start = world.runTask("j1");
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-e1"};
    wave.durationMs = 20'000;
    world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
    world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, world.now, world.now, 1'000, {}, {scheduler_fixture::ended(start, 1, run_end::Done)}},
                               world.now);
    world.now += 200;
    world.taskScheduler.handle(tick{world.now}, world.now);
    world.collectActions();
    CHECK(world.take<maintain_vm>().empty());
    world.planAndCommit();
    world.advance(200);
    CHECK(world.take<maintain_vm>().size() == 1);
}

TEST_CASE("a batch leaves room for the lease entries in the store's transaction")
{
    // A batch of 90 rows, 8 deletions and the rows of the lease and the waves exceeded the store's limit of 100 entries per transaction, so
    // the store refused it on every retry.
    constexpr std::size_t maxEntries = 100;
    // Entries that the lease holder adds: two conditions, the sequence and the lease.
    constexpr std::size_t leaseEntries = 4;
    constexpr int jobs = 200;
    scheduler_fixture world;
    const auto submitAndCancel = [&world](const std::string &prefix) {
        for (int i = 0; i < jobs; ++i) {
            const std::string id = prefix + std::to_string(i);
            world.taskScheduler.handle(job_submitted{scheduler_fixture::job(id, {scheduler_fixture::step(1)})}, world.now);
            world.taskScheduler.handle(job_cancelled{id}, world.now);
        }
    };
    submitAndCancel("old");
    world.planAndCommit();
    world.now += 2 * bounds{}.statusKeepMs + 1'000;
    world.taskScheduler.handle(tick{world.now}, world.now);
    world.collectActions();
    for (const delete_submissions &order : world.take<delete_submissions>()) {
        world.taskScheduler.handle(submissions_deleted{order.jobs}, world.now);
    }
    submitAndCancel("new");
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-1"};
    world.taskScheduler.handle(wave_requested{wave, world.now}, world.now);
    const std::optional<commit_batch> batch = world.taskScheduler.takeBatch(world.now);
    REQUIRE(batch);
    REQUIRE_FALSE(batch->deletedKeys.empty());
    CHECK(batch->rows.size() + batch->deletedKeys.size() + leaseEntries <= maxEntries);
}
