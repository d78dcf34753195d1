#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr time_ms stepMs = 250;
constexpr time_ms waveMs = 20'000;

// A running task on the first VM of a pool, and a maintenance wave for this VM.
class batch_drain : public scheduler_fixture
{
public:
    explicit batch_drain(bool checkpointing)
    {
        addVm("e1");
        step_spec spec = step(1, 3'000);
        spec.checkpointing = checkpointing;
        spec.estimateMs = 20'000;
        taskScheduler.handle(job_submitted{job("j1", {spec})}, now);
        planAndCommit();
        m_run = takeStart();
        answerStart(m_run);
        m_startedAt = now;
    }

    void addVm(const std::string &executor)
    {
        addExecutor(executor);
        m_list.vms.push_back({"vm-" + executor, "booking", vm_state::Up, "zone", {"a"}, executor});
        taskScheduler.handle(m_list, now);
    }

    void beginWave()
    {
        wave_request wave;
        wave.wave = 1;
        wave.vms = {"vm-e1"};
        wave.durationMs = waveMs;
        taskScheduler.handle(wave_requested{wave, 0}, now);
    }

    /** Lets the run progress until it is stopped, it is done or `forMs` has passed; returns the stop orders. */
    std::vector<stop_run> continueRun(time_ms taskMs, time_ms forMs)
    {
        std::vector<stop_run> stops;
        for (time_ms elapsedMs = 0; elapsedMs < forMs && stops.empty(); elapsedMs += stepMs) {
            advance(stepMs);
            const time_ms percent = (now - m_startedAt) * 100 / taskMs;
            if (percent >= 100) {
                break;
            }
            answerPoll("e1", {running(m_run, static_cast<int>(percent))});
            answerPoll("e2");
            stops = take<stop_run>();
        }
        return stops;
    }

    void endStopped(const std::string &checkpoint)
    {
        listed_end end = ended(m_run, 1, run_end::Stopped);
        end.checkpoint = checkpoint;
        answerPoll("e1", {}, {end});
    }

private:
    vms_listed m_list;
    start_run m_run;
    time_ms m_startedAt = 0;
};

} // namespace

// A run of 28 s was on a VM when a wave of 26 s began, and the VM's maintenance was late.
TEST_CASE("a run that outlasts the wave doesn't keep its VM from the upkeep in time")
{
    SUBCASE("a checkpointing run is resumed on another executor, and the maintenance begins")
    {
        batch_drain world(true);
        world.addVm("e2");
        world.beginWave();
        REQUIRE(world.continueRun(30'000, waveMs / 2).size() == 1);
        world.endStopped("half done");
        const start_run next = world.takeStart();
        CHECK(next.executor == "e2");
        CHECK(next.checkpoint == "half done");
        world.advance(stepMs);
        CHECK(world.take<maintain_vm>().size() == 1);
    }
    SUBCASE("a run that ends before the wave does is left to end")
    {
        batch_drain world(true);
        world.addVm("e2");
        world.beginWave();
        CHECK(world.continueRun(10'000, waveMs).empty());
    }
    SUBCASE("a run without checkpoints is left to end, because a stop would lose its work")
    {
        batch_drain world(false);
        world.addVm("e2");
        world.beginWave();
        CHECK(world.continueRun(30'000, waveMs / 2).empty());
    }
    SUBCASE("without free capacity on another executor the run isn't stopped, because it would only wait")
    {
        batch_drain world(true);
        world.beginWave();
        CHECK(world.continueRun(30'000, waveMs / 2).empty());
    }
}

TEST_CASE("a task that would outlast a wave is placed on a VM outside the wave")
{
    scheduler_fixture world;
    world.addExecutor("e1", 4'000);
    world.addExecutor("e2", 8'000);
    wave_request wave;
    wave.wave = 1;
    wave.vms = {"vm-e1"};
    wave.durationMs = waveMs;
    world.taskScheduler.handle(wave_requested{wave, 0}, world.now);
    step_spec longStep = scheduler_fixture::step(1);
    longStep.estimateMs = 30'000;

    SUBCASE("a short task goes to the fullest executor, although its VM is in the wave")
    {
        CHECK(world.placeTask("j1").executor == "e1");
    }
    SUBCASE("a long task goes to the executor outside the wave")
    {
        world.taskScheduler.handle(job_submitted{world.job("j1", {longStep})}, world.now);
        world.planAndCommit();
        CHECK(world.takeStart().executor == "e2");
    }
}

// Between a takeover and the new holder's first fleet plan, runs of 15 s were placed on VMs that were nearly drained.
TEST_CASE("a new lease holder places no runs on a VM that its predecessor is draining for maintenance")
{
    batch_drain former(true);
    former.beginWave();
    former.continueRun(10'000, 4 * stepMs);
    const std::string waveRow = std::string(wavesRowKey) + "/1";
    REQUIRE(former.rows.contains(waveRow));
    scheduler_fixture world;
    world.taskScheduler.restoreWave(waveRow, former.rows.at(waveRow));

    SUBCASE("the draining VM gets no runs before the first fleet plan")
    {
        world.addExecutor("e1");
        world.taskScheduler.handle(job_submitted{world.job("j2", {scheduler_fixture::step(1)})}, world.now);
        world.planAndCommit();
        CHECK(world.take<start_run>().empty());
    }
    SUBCASE("a VM that wasn't being drained gets runs")
    {
        world.addExecutor("e2");
        CHECK(world.placeTask("j2").executor == "e2");
    }
    SUBCASE("a VM whose maintenance is complete gets runs")
    {
        former.continueRun(500, waveMs);
        former.answerPoll("e1", {}, {});
        former.taskScheduler.handle(maintenance_answered{"vm-e1", 1, fleet_status::Ok, {"e1", 1'000}}, former.now);
        former.planAndCommit();
        scheduler_fixture later;
        later.taskScheduler.restoreWave(waveRow, former.rows.at(waveRow));
        later.addExecutor("e1");
        CHECK(later.placeTask("j2").executor == "e1");
    }
}
