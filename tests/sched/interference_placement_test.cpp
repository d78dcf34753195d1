#include "scheduler_fixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

constexpr std::int64_t executorCpu = 4'000;
// An executor's memory has room for one of these tasks only.
constexpr std::int64_t fillMemoryMb = 40'000;
constexpr std::int64_t calmTailMs = 40;
constexpr std::int64_t disturbedTailMs = 120;

/** Four executors on each of which a task of image `web` serves; on the first two, tasks of image `index` have been seen to lengthen its tail. */
class learned_world
{
public:
    learned_world()
    {
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            world.addExecutor(id, executorCpu);
        }
        step_spec serving = scheduler_fixture::step(4, 3'000);
        serving.longRunning = true;
        serving.image = "web";
        serving.latencyTargetMs = 100;
        serving.maxTasksPerExecutor = 1;
        submit("web", serving);
        for (const start_run &order : world.take<start_run>()) {
            started(order);
        }
        const std::string first = placeFill("fill1", "index");
        const std::string second = placeFill("fill2", "index");
        REQUIRE(first != second);
        for (int list = 0; list < 60 && world.taskScheduler.interference().knownPairs() == 0; ++list) {
            listAll();
            world.advance(500);
        }
        REQUIRE(world.taskScheduler.interference().knownPairs() == 1);
        endFills();
        world.addExecutor("e5", executorCpu);
    }

    void submit(const std::string &id, const step_spec &step)
    {
        world.taskScheduler.handle(job_submitted{scheduler_fixture::job(id, {step})}, world.now);
        world.planAndCommit();
    }

    static step_spec fillStep(const std::string &image)
    {
        step_spec fill = scheduler_fixture::step(1, 1'000);
        fill.demand.memoryMb = fillMemoryMb;
        fill.bestEffortCpu = true;
        fill.image = image;
        return fill;
    }

    /** Submits a job of one best-effort task and returns the executor on which it is started. */
    std::string placeFill(const std::string &id, const std::string &image)
    {
        submit(id, fillStep(image));
        const start_run order = world.takeStart();
        started(order);
        return order.executor;
    }

    void started(const start_run &order)
    {
        runs[order.executor].push_back(order);
        world.answerStart(order);
    }

    void listAll()
    {
        for (const std::pair<const std::string, std::vector<start_run>> &executor : runs) {
            const bool disturbed = executor.second.size() > 1;
            std::vector<listed_run> listed;
            for (const start_run &order : executor.second) {
                const bool serves = order.task.job == "web";
                listed.push_back(scheduler_fixture::running(order, serves ? 100 : 10));
                listed.back().load = serves ? (disturbed ? disturbedTailMs : calmTailMs) : 1'000;
            }
            world.answerPoll(executor.first, listed);
        }
    }

    void endFills()
    {
        for (std::pair<const std::string, std::vector<start_run>> &executor : runs) {
            std::vector<listed_run> listed{scheduler_fixture::running(executor.second.front(), 100)};
            std::vector<listed_end> ends;
            for (std::size_t fill = 1; fill < executor.second.size(); ++fill) {
                ends.push_back(scheduler_fixture::ended(executor.second[fill], static_cast<std::int64_t>(fill), run_end::Done));
            }
            executor.second.resize(1);
            listed[0].load = calmTailMs;
            world.answerPoll(executor.first, listed, ends);
        }
    }

    std::int64_t keptApart() const
    {
        return world.taskScheduler.counts().placementsKeptApart;
    }

    scheduler_fixture world;
    /** The runs on each executor, that of the serving task first. */
    std::map<std::string, std::vector<start_run>> runs;
};

} // namespace

// Guards against a known pair that is placed together while another executor has room, and against room that is left unused for its sake.
TEST_CASE("images that are known to interfere are kept apart where there is room, and only there")
{
    learned_world learned;
    CHECK(learned.world.taskScheduler.executors().at("e1").images.size() == 1);

    SUBCASE("the task goes where the image isn't, though another executor fits better")
    {
        CHECK(learned.placeFill("fill3", "index") == "e5");
        CHECK(learned.keptApart() == 1);

        SUBCASE("with no such executor left it runs beside the image")
        {
            CHECK(learned.placeFill("fill4", "index") != "e5");
            CHECK(learned.keptApart() == 1);
        }
    }
    SUBCASE("an image that isn't known to interfere is placed by best fit")
    {
        CHECK(learned.placeFill("fill3", "video") == "e1");
        CHECK(learned.keptApart() == 0);
    }
    SUBCASE("while another task waits for room, tasks are packed by best fit")
    {
        learned.submit("large", scheduler_fixture::step(1, executorCpu + 1));
        learned.world.advance(100);
        CHECK(learned.placeFill("fill3", "index") == "e1");
        CHECK(learned.keptApart() == 0);
    }
    SUBCASE("the rack of the task's data comes first")
    {
        executor_entry near = scheduler_fixture::entry("e1", executorCpu);
        near.rack = "r1";
        learned.world.taskScheduler.handle(executor_entry_changed{near}, learned.world.now);
        step_spec fill = learned_world::fillStep("index");
        fill.dataRack = "r1";
        learned.submit("fill3", fill);
        CHECK(learned.world.takeStart().executor == "e1");
    }
    SUBCASE("the change is logged")
    {
        const std::vector<log_event> events = learned.world.take<log_event>();
        CHECK(std::any_of(events.begin(), events.end(), [](const log_event &event) {
            return event.event == "interference_known" && event.fields[0].second == "web" && event.fields[1].second == "index";
        }));
    }
}
