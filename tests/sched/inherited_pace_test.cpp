#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

// Listed progress of the three runs, in percent.
struct progress
{
    int first;
    int second;
    int third;
};

// A step with three running tasks on three executors, taken over by a new lease holder.
class inherited_runs : public scheduler_fixture
{
public:
    inherited_runs()
    {
        scheduler_fixture former;
        for (const char *executor : {"e1", "e2", "e3"}) {
            former.addExecutor(executor);
        }
        step_spec step = former.step(3, 3'000);
        step.estimateMs = 10'000;
        const job_spec spec = former.job("j1", {step});
        former.taskScheduler.handle(job_submitted{spec}, former.now);
        former.planAndCommit();
        m_starts = former.take<start_run>();
        REQUIRE(m_starts.size() == 3);
        REQUIRE(taskScheduler.restore(spec, former.rows.at("j1"), now));
        for (const start_run &start : m_starts) {
            taskScheduler.handle(executor_entry_changed{entry(start.executor)}, now);
        }
        planAndCommit();
    }

    void listProgress(const progress &percents)
    {
        const int all[] = {percents.first, percents.second, percents.third};
        for (std::size_t i = 0; i < m_starts.size(); ++i) {
            answerPoll(m_starts[i].executor, {running(m_starts[i], all[i])});
        }
    }

    void listThirdProgress(int percent)
    {
        answerPoll(m_starts[2].executor, {running(m_starts[2], percent)});
    }

    void end(std::size_t index)
    {
        answerPoll(m_starts[index].executor, {}, {ended(m_starts[index], 1, run_end::Done)});
    }

    /** Lets the scheduler plan, and returns the executors of the runs that it stops. */
    std::vector<std::string> stoppedOn()
    {
        advance(150);
        std::vector<std::string> executors;
        for (const stop_run &stop : take<stop_run>()) {
            executors.push_back(stop.executor);
        }
        return executors;
    }

private:
    std::vector<start_run> m_starts;
};

} // namespace

// Guards against a new lease holder that takes all progress of an inherited run as made since the takeover and stops the run.
TEST_CASE("a run isn't taken for a straggler because a new holder hasn't seen its beginning")
{
    inherited_runs world;

    SUBCASE("all runs have the same speed, and one was started later")
    {
        world.listProgress({70, 70, 10});
        world.advance(600);
        world.listProgress({76, 76, 16});
        CHECK(world.stoppedOn().empty());
    }
    SUBCASE("the other runs end soon after the takeover, so how long they took isn't known")
    {
        world.listProgress({70, 70, 10});
        world.advance(300);
        world.end(0);
        world.end(1);
        world.advance(600);
        world.listThirdProgress(19);
        CHECK(world.stoppedOn().empty());
    }
    SUBCASE("one run has a tenth of the others' speed: it is stopped once enough progress has been observed")
    {
        world.listProgress({20, 20, 10});
        std::vector<std::string> stopped;
        for (int second = 1; second <= 15 && stopped.empty(); ++second) {
            world.advance(850);
            world.listProgress({20 + 5 * second, 20 + 5 * second, 10 + second / 2});
            stopped = world.stoppedOn();
        }
        CHECK(stopped == std::vector<std::string>{"e3"});
    }
}
