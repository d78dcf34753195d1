#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

// The percents at which the runs of three executors are listed.
struct progress
{
    int first;
    int second;
    int third;
};

// A step of three tasks on three executors, and a holder that takes them over at work.
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
            taskScheduler.handle(executor_seen{entry(start.executor)}, now);
        }
        planAndCommit();
    }

    void list(const progress &percents)
    {
        const int all[] = {percents.first, percents.second, percents.third};
        for (std::size_t i = 0; i < m_starts.size(); ++i) {
            answerHold(m_starts[i].executor, {running(m_starts[i], all[i])});
        }
    }

    void listThird(int percent)
    {
        answerHold(m_starts[2].executor, {running(m_starts[2], percent)});
    }

    void end(std::size_t index)
    {
        answerHold(m_starts[index].executor, {}, {ended(m_starts[index], 1, run_end::Done)});
    }

    /** Executors of the runs that are stopped now. */
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

// rcm-bogota trouble-2: three quarters of all runs that were stopped as stragglers were stopped within a second of a takeover.
TEST_CASE("a run isn't taken for a straggler because a new holder hasn't seen its beginning")
{
    inherited_runs world;

    SUBCASE("all go on at one speed; one was started later")
    {
        world.list({70, 70, 10});
        world.advance(600);
        world.list({76, 76, 16});
        CHECK(world.stoppedOn().empty());
    }
    SUBCASE("the others end soon after the takeover, which says nothing of how long they took")
    {
        world.list({70, 70, 10});
        world.advance(300);
        world.end(0);
        world.end(1);
        world.advance(600);
        world.listThird(19);
        CHECK(world.stoppedOn().empty());
    }
    SUBCASE("one goes on at a tenth of the others' speed: it is stopped once enough has been seen")
    {
        world.list({20, 20, 10});
        std::vector<std::string> stopped;
        for (int second = 1; second <= 15 && stopped.empty(); ++second) {
            world.advance(850);
            world.list({20 + 5 * second, 20 + 5 * second, 10 + second / 2});
            stopped = world.stoppedOn();
        }
        CHECK(stopped == std::vector<std::string>{"e3"});
    }
}
