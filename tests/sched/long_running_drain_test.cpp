#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass::sched;

namespace {

constexpr time_ms planMs = 200;

// A pool whose VMs run long-running tasks, and a wave for the first VM.
class drain_fixture : public scheduler_fixture
{
public:
    static step_spec lasting(int count, std::int64_t cpu)
    {
        step_spec one = step(count, cpu);
        one.longRunning = true;
        one.allowedUnavailable = 1;
        return one;
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

    /** Answers the start orders, and lists all runs as at work for long enough to count. */
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
            answerHold(item.first, runs);
        }
    }

    /** Lets the planner work for a while; returns the stops that it orders. */
    std::vector<stop_run> plans(int times = 5)
    {
        for (int i = 0; i < times; ++i) {
            advance(planMs);
            listRuns();
        }
        return take<stop_run>();
    }

    void end(const task_id &task, run_end how)
    {
        const auto run = std::find_if(m_runs.begin(), m_runs.end(), [&task](const start_run &one) {
            return one.task == task;
        });
        REQUIRE(run != m_runs.end());
        const start_run order = *run;
        m_runs.erase(run);
        std::vector<listed_run> left;
        for (const start_run &one : m_runs) {
            if (one.executor == order.executor) {
                left.push_back(running(one, 100));
            }
        }
        answerHold(order.executor, left, {ended(order, ++m_ends, how)});
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

// rcm-bogota trouble-2 (LOST): one of five tasks was stopped, and with its step's budget used up the others stayed for 10 s.
TEST_CASE("a long-running task isn't stopped for upkeep while it can neither go on elsewhere nor let the upkeep begin")
{
    drain_fixture world;
    world.addVm("e1");

    SUBCASE("more tasks than the budget allows to be away")
    {
        world.submit(world.job("j1", {world.lasting(2, 2'000)}));
        world.beginWave("e1");
        CHECK(world.plans().empty());

        SUBCASE("another executor joins the pool: they go there one after the other, and the upkeep begins")
        {
            world.addVm("e2");
            for (int task = 0; task < 2; ++task) {
                const std::vector<stop_run> stops = world.plans();
                REQUIRE(stops.size() == 1);
                world.end(stops[0].task, run_end::Stopped);
                world.listRuns();
                CHECK(world.runs().back().task == stops[0].task);
                CHECK(world.runs().back().executor == "e2");
            }
            world.plans();
            CHECK(world.take<upkeep_vm>().size() == 1);
        }
    }
    SUBCASE("the other executor has room for one task more, and two are there to go")
    {
        world.submit(world.job("j1", {world.lasting(1, 1'900), world.lasting(1, 1'900)}));
        world.submit(world.job("j2", {world.step(1, 100)}));
        world.addVm("e2");
        world.submit(world.job("j3", {world.lasting(1, 2'000)}));
        REQUIRE(world.runs().back().executor == "e2");
        world.beginWave("e1");
        CHECK(world.plans().size() == 1);
    }
    SUBCASE("tasks that end by themselves leave room on the other executor in a moment")
    {
        world.submit(world.job("j1", {world.lasting(2, 2'000)}));
        world.addVm("e2");
        world.submit(world.job("j2", {world.step(1, 4'000)}));
        REQUIRE(world.runs().back().executor == "e2");
        world.beginWave("e1");
        CHECK(world.plans().size() == 1);
    }
    SUBCASE("the other executor has as many of the step's tasks as it may")
    {
        step_spec spread = world.lasting(4, 1'000);
        spread.mostPerExecutor = 2;
        world.submit(world.job("j1", {spread}));
        world.addVm("e2");
        REQUIRE(world.runs().size() == 4);
        world.beginWave("e1");
        CHECK(world.plans().empty());
    }
    SUBCASE("a single task is stopped once nothing else keeps the executor from its upkeep")
    {
        world.submit(world.job("j1", {world.lasting(1, 2'000)}));
        world.submit(world.job("j2", {world.step(1, 1'000)}));
        REQUIRE(world.runs().size() == 2);
        const task_id batch = world.runs()[1].task;
        world.beginWave("e1");
        CHECK(world.plans().empty());
        world.end(batch, run_end::Done);
        const std::vector<stop_run> stops = world.plans();
        REQUIRE(stops.size() == 1);
        world.end(stops[0].task, run_end::Stopped);
        world.plans(1);
        CHECK(world.take<upkeep_vm>().size() == 1);
    }
}

// rcm-bogota trouble-2 (AVAIL): the list still shows a run that the former holder has told to stop, for as long as a stop may take.
TEST_CASE("a successor ends no long-running task while a stop of the former holder may be under way")
{
    bounds limits;
    limits.stopMs = 400;
    scheduler_fixture first(limits);
    first.addExecutor("e1");
    first.addExecutor("e2");
    step_spec lasting = first.step(2, 3'000);
    lasting.longRunning = true;
    lasting.allowedUnavailable = 1;
    first.taskScheduler.handle(job_submitted{first.job("j1", {lasting})}, first.now);
    first.planAndCommit();
    const std::vector<start_run> starts = first.take<start_run>();
    REQUIRE(starts.size() == 2);

    scheduler_fixture second(limits);
    REQUIRE(second.taskScheduler.restore(second.job("j1", {lasting}), first.rows.at("j1"), second.now));
    vms_listed list;
    for (const start_run &start : starts) {
        second.taskScheduler.handle(executor_seen{second.entry(start.executor)}, second.now);
        second.planAndCommit();
        list.vms.push_back({"vm-" + start.executor, "booking", vm_state::Up, "zone", {"a"}, start.executor});
        second.answerHold(start.executor, {scheduler_fixture::running(start, 100)});
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

    SUBCASE("the other task has been stopped: this one stays until that one is at work again")
    {
        second.answerHold(starts[1].executor, {}, {scheduler_fixture::ended(starts[1], 1, run_end::Stopped)});
        second.advance(150);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the other task is still listed after the longest stop: this one is ended")
    {
        second.advance(150);
        second.answerHold(starts[1].executor, {scheduler_fixture::running(starts[1], 100)});
        second.advance(150);
        CHECK(second.take<stop_run>().size() == 1);
    }
    SUBCASE("no list has come since: this one stays")
    {
        second.advance(150);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the latest list was asked for before the longest stop was over: this one stays")
    {
        const time_ms askedAt = second.now;
        second.advance(150);
        const std::vector<listed_run> runs{scheduler_fixture::running(starts[1], 100)};
        second.taskScheduler.handle(hold_answered{starts[1].executor, order_status::Ok, askedAt, second.now, 1'000, runs, {}}, second.now);
        second.advance(150);
        CHECK(second.take<stop_run>().empty());
    }
    SUBCASE("the executors are asked again as soon as the longest stop is over")
    {
        for (const hold_executor &hold : second.take<hold_executor>()) {
            CHECK(hold.waitMs <= limits.stopMs);
        }
        second.advance(150);
        second.answerHold(starts[1].executor, {scheduler_fixture::running(starts[1], 100)});
        const std::vector<hold_executor> next = second.take<hold_executor>();
        REQUIRE(next.size() == 1);
        CHECK(next[0].waitMs > limits.stopMs);
    }
}

// Days of late orders: the stop that makes sure that an unanswered start isn't there was repeated while the run was at work.
TEST_CASE("a run that shows up after its start had no answer isn't stopped again")
{
    scheduler_fixture world;
    world.addExecutor("e1");
    step_spec lasting = world.step(1);
    lasting.longRunning = true;
    world.taskScheduler.handle(job_submitted{world.job("j1", {lasting})}, world.now);
    world.planAndCommit();
    const start_run start = world.takeStart();
    world.answerStart(start, order_status::Unknown);
    world.now += 10;
    world.answerHold("e1");
    const std::vector<stop_run> stops = world.take<stop_run>();
    REQUIRE(stops.size() == 1);
    const listed_run atWork = scheduler_fixture::running(start, 100);

    SUBCASE("the stop has no answer: the run goes on")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Unknown}, world.now);
        world.now += 10;
        world.answerHold("e1", {atWork});
        world.advance(2'000);
        CHECK(world.take<stop_run>().empty());
        CHECK(world.take<start_run>().empty());
        SUBCASE("and is stopped when its job is cancelled")
        {
            world.taskScheduler.handle(job_cancelled{"j1"}, world.now);
            world.planAndCommit();
            CHECK(world.take<stop_run>().size() == 1);
        }
        SUBCASE("and is placed again when the first stop comes late")
        {
            world.answerHold("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Stopped)});
            world.advance(100);
            CHECK(world.takeStart().run == start.run + 1);
        }
    }
    SUBCASE("the stop has no answer and no list follows: it isn't repeated, as the run may be at work by now")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Unknown}, world.now);
        world.answerHold("e1", {}, {}, order_status::Unknown);
        world.advance(2'000);
        CHECK(world.take<stop_run>().empty());
        SUBCASE("until a list shows that it isn't there")
        {
            world.answerHold("e1");
            world.advance(200);
            CHECK(world.take<stop_run>().size() == 1);
        }
    }
    SUBCASE("the list was asked for before the stop: it says nothing yet")
    {
        world.taskScheduler.handle(hold_answered{"e1", order_status::Ok, world.now - 50, world.now, 1'000, {atWork}, {}}, world.now);
        world.advance(2'000);
        world.answerHold("e1");
        world.advance(200);
        CHECK(world.take<stop_run>().size() == 1);
    }
    SUBCASE("the stop was acknowledged: the run is about to end")
    {
        world.taskScheduler.handle(stop_answered{start.task, start.run, "e1", order_status::Ok}, world.now);
        world.now += 10;
        world.answerHold("e1", {atWork});
        world.answerHold("e1", {}, {scheduler_fixture::ended(start, 1, run_end::Stopped)});
        world.advance(400);
        CHECK(world.takeStart().run == start.run + 1);
    }
}
