#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

constexpr time_ms planMs = 200;

// A pool whose VMs run long-running tasks, and a maintenance wave for one of them.
class drain_fixture : public scheduler_fixture
{
public:
    static step_spec longRunningStep(int count, std::int64_t cpu)
    {
        step_spec spec = step(count, cpu);
        spec.longRunning = true;
        spec.allowedUnavailable = 1;
        return spec;
    }

    void submit(const job_spec &job)
    {
        taskScheduler.handle(job_submitted{job}, now);
        planAndCommit();
        listRuns();
    }

    void addVm(const std::string &executor)
    {
        addExecutor(executor);
        m_list.vms.push_back({"vm-" + executor, "booking", vm_state::Up, "zone", {"a"}, executor});
        taskScheduler.handle(m_list, now);
        listRuns();
    }

    void beginWave(const std::string &executor)
    {
        wave_request wave;
        wave.wave = 1;
        wave.vms = {"vm-" + executor};
        wave.durationMs = 60'000;
        taskScheduler.handle(wave_requested{wave, 0}, now);
    }

    /** Answers the start orders, and lists all runs at 100 percent, at which a long-running task counts as available. */
    void listRuns()
    {
        for (const start_run &start : take<start_run>()) {
            m_runs.push_back(start);
            answerStart(start);
        }
        for (const std::pair<const std::string, executor_record> &item : taskScheduler.executors()) {
            std::vector<listed_run> runs;
            for (const start_run &run : m_runs) {
                if (run.executor == item.first) {
                    runs.push_back(running(run, 100));
                }
            }
            answerPoll(item.first, runs);
        }
    }

    /** Lets the scheduler plan `times` times; returns its stop orders. */
    std::vector<stop_run> runPlanner(int times = 5)
    {
        for (int i = 0; i < times; ++i) {
            advance(planMs);
            listRuns();
        }
        return take<stop_run>();
    }

    void end(const task_id &task, run_end how)
    {
        const auto run = std::find_if(m_runs.begin(), m_runs.end(), [&task](const start_run &other) {
            return other.task == task;
        });
        REQUIRE(run != m_runs.end());
        const start_run order = *run;
        m_runs.erase(run);
        std::vector<listed_run> left;
        for (const start_run &other : m_runs) {
            if (other.executor == order.executor) {
                left.push_back(running(other, 100));
            }
        }
        answerPoll(order.executor, left, {ended(order, ++m_ends, how)});
    }

    const std::vector<start_run> &runs() const
    {
        return m_runs;
    }

private:
    vms_listed m_list;
    std::vector<start_run> m_runs;
    std::int64_t m_ends = 0;
};

} // namespace

// One of five tasks on a VM was stopped, which used up its step's budget: the others stayed for 10 s, so that the maintenance couldn't
// begin.
TEST_CASE("a long-running task isn't stopped for upkeep while it can neither go on elsewhere nor let the upkeep begin")
{
    drain_fixture world;
    world.addVm("e1");

    SUBCASE("the executor has more of the step's tasks than the budget allows to be unavailable")
    {
        world.submit(world.job("j1", {world.longRunningStep(2, 2'000)}));
        world.beginWave("e1");
        CHECK(world.runPlanner().empty());

        SUBCASE("another executor joins the pool: the tasks move there one after the other, and the maintenance begins")
        {
            world.addVm("e2");
            for (int task = 0; task < 2; ++task) {
                const std::vector<stop_run> stops = world.runPlanner();
                REQUIRE(stops.size() == 1);
                world.end(stops[0].task, run_end::Stopped);
                world.listRuns();
                CHECK(world.runs().back().task == stops[0].task);
                CHECK(world.runs().back().executor == "e2");
            }
            world.runPlanner();
            CHECK(world.take<maintain_vm>().size() == 1);
        }
    }
    SUBCASE("the other executor has capacity for one of two tasks: one is stopped")
    {
        world.submit(world.job("j1", {world.longRunningStep(1, 1'900), world.longRunningStep(1, 1'900)}));
        world.submit(world.job("j2", {world.step(1, 100)}));
        world.addVm("e2");
        world.submit(world.job("j3", {world.longRunningStep(1, 2'000)}));
        REQUIRE(world.runs().back().executor == "e2");
        world.beginWave("e1");
        CHECK(world.runPlanner().size() == 1);
    }
    SUBCASE("a batch task on the other executor will soon end and free its capacity: one task is stopped")
    {
        world.submit(world.job("j1", {world.longRunningStep(2, 2'000)}));
        world.addVm("e2");
        world.submit(world.job("j2", {world.step(1, 4'000)}));
        REQUIRE(world.runs().back().executor == "e2");
        world.beginWave("e1");
        CHECK(world.runPlanner().size() == 1);
    }
    SUBCASE("the other executor already has the step's maximum of tasks per executor: none is stopped")
    {
        step_spec spread = world.longRunningStep(4, 1'000);
        spread.maxTasksPerExecutor = 2;
        world.submit(world.job("j1", {spread}));
        world.addVm("e2");
        REQUIRE(world.runs().size() == 4);
        world.beginWave("e1");
        CHECK(world.runPlanner().empty());
    }
    SUBCASE("a single task is stopped once no other run holds up the maintenance")
    {
        world.submit(world.job("j1", {world.longRunningStep(1, 2'000)}));
        world.submit(world.job("j2", {world.step(1, 1'000)}));
        REQUIRE(world.runs().size() == 2);
        const task_id batch = world.runs()[1].task;
        world.beginWave("e1");
        CHECK(world.runPlanner().empty());
        world.end(batch, run_end::Done);
        const std::vector<stop_run> stops = world.runPlanner();
        REQUIRE(stops.size() == 1);
        world.end(stops[0].task, run_end::Stopped);
        world.runPlanner(1);
        CHECK(world.take<maintain_vm>().size() == 1);
    }
}

// While a stop takes effect, the list still shows the run that the former holder has stopped, and the new holder counted it as available.
TEST_CASE("a new lease holder stops no long-running task while a stop of the former holder may be in progress")
{
    bounds limits;
    limits.stopMs = 400;
    scheduler_fixture first(limits);
    first.addExecutor("e1");
    first.addExecutor("e2");
    step_spec longRunningStep = first.step(2, 3'000);
    longRunningStep.longRunning = true;
    longRunningStep.allowedUnavailable = 1;
    first.taskScheduler.handle(job_submitted{first.job("j1", {longRunningStep})}, first.now);
    first.planAndCommit();
    const std::vector<start_run> starts = first.take<start_run>();
    REQUIRE(starts.size() == 2);

    scheduler_fixture second(limits);
    REQUIRE(second.taskScheduler.restore(second.job("j1", {longRunningStep}), first.rows.at("j1"), second.now));
    vms_listed list;
    for (const start_run &start : starts) {
        second.taskScheduler.handle(executor_entry_changed{second.entry(start.executor)}, second.now);
        second.planAndCommit();
        list.vms.push_back({"vm-" + start.executor, "booking", vm_state::Up, "zone", {"a"}, start.executor});
        second.answerPoll(start.executor, {scheduler_fixture::running(start, 100)});
    }
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-" + starts[0].executor};
    wave.durationMs = 60'000;
    second.taskScheduler.handle(list, second.now);
    second.taskScheduler.handle(wave_requested{wave, 0}, second.now);
    second.advance(150);
    second.advance(150);
    CHECK(second.take<stop_run>().empty());

    SUBCASE("the other task has been stopped: this one stays until the other is available again")
    {
        second.answerPoll(starts[1].executor, {}, {scheduler_fixture::ended(starts[1], 1, run_end::Stopped)});
        second.advance(150);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the other task is still listed after the maximum stop time: this one is stopped")
    {
        second.advance(150);
        second.answerPoll(starts[1].executor, {scheduler_fixture::running(starts[1], 100)});
        second.advance(150);
        CHECK(second.take<stop_run>().size() == 1);
    }
    SUBCASE("no list has arrived since: this one stays")
    {
        second.advance(150);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the latest list was requested before the maximum stop time was over: this one stays")
    {
        const time_ms askedAt = second.now;
        second.advance(150);
        const std::vector<listed_run> runs{scheduler_fixture::running(starts[1], 100)};
        second.taskScheduler.handle(poll_answered{starts[1].executor, order_status::Ok, askedAt, second.now, 1'000, runs, {}}, second.now);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the executors are polled again as soon as the maximum stop time is over")
    {
        for (const poll_executor &poll : second.take<poll_executor>()) {
            CHECK(poll.waitMs <= limits.stopMs);
        }
        second.advance(150);
        second.answerPoll(starts[1].executor, {scheduler_fixture::running(starts[1], 100)});
        const std::vector<poll_executor> next = second.take<poll_executor>();
        REQUIRE(next.size() == 1);
        CHECK(next[0].waitMs > limits.stopMs);
    }
}

// A start had no answer and the executor didn't list the run, so a stop was sent to rule out that the start takes effect. The stop was
// repeated although the run had started in the meantime (days with late orders).
TEST_CASE("a run that shows up after its start had no answer isn't stopped again")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    step_spec longRunningStep = world.step(1);
    longRunningStep.longRunning = true;
    world.taskScheduler.handle(job_submitted{world.job("j1", {longRunningStep})}, world.now);
    world.planAndCommit();
    const start_run start = world.takeStart();
    world.answerStart(start, order_status::Unknown);
    world.now += 10;
    world.answerPoll("e1");
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    const listed_run listedRun = scheduler_fixture::running(start, 100);

    SUBCASE("the stop has no answer: the run continues")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Unknown}, world.now);
        world.now += 10;
        world.answerPoll("e1", {listedRun});
        world.advance(2'000);
        CHECK(world.take<stop_run>().empty());
        CHECK(world.take<start_run>().empty());
        SUBCASE("and is stopped when its job is cancelled")
        {
            world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
            world.planAndCommit();
            CHECK(world.take<stop_run>().size() == 1);
        }
        SUBCASE("and is placed again when the first stop takes effect late")
        {
            world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Stopped)});
            world.advance(100);
            CHECK(world.takeStart().run == start.run + 1);
        }
    }
    SUBCASE("the stop has no answer and no list follows: it isn't repeated, because the run may have started by now")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Unknown}, world.now);
        world.answerPoll("e1", {}, {}, order_status::Unknown);
        world.advance(2'000);
        CHECK(world.take<stop_run>().empty());
        SUBCASE("until a list without the run arrives")
        {
            world.answerPoll("e1");
            world.advance(200);
            CHECK(world.take<stop_run>().size() == 1);
        }
    }
    SUBCASE("the list was requested before the stop: it doesn't tell whether the stop took effect")
    {
        world.taskScheduler.handle(poll_answered{"e1", order_status::Ok, world.now - 50, world.now, 1'000, {listedRun}, {}}, world.now);
        world.advance(2'000);
        world.answerPoll("e1");
        world.advance(200);
        CHECK(world.take<stop_run>().size() == 1);
    }
    SUBCASE("the stop was acknowledged: the run is about to end")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok}, world.now);
        world.now += 10;
        world.answerPoll("e1", {listedRun});
        world.answerPoll("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Stopped)});
        world.advance(400);
        CHECK(world.takeStart().run == start.run + 1);
    }
}
