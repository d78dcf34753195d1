#include "cases.h"

#include <deque>

namespace review {
namespace {

constexpr const char *service = "alpha";
constexpr int executorCount = 7;
const executor_kind kind{"a", 8'000, 16'384};
constexpr int crashCount = 2;
constexpr millis crashAfterStartMs = 120;
constexpr millis downMs = 3'000;
constexpr millis startTimeoutMs = 25'000;
constexpr millis finishMs = 15'000;
constexpr const char *job = "00000000000000c1";

/** The executors on which the job's task has started, oldest first. */
struct start_queue
{
    std::mutex lock;
    std::condition_variable changed;
    std::deque<std::string> startedOn;
};

verdict run(deployment &world, bool trouble)
{
    const std::shared_ptr<start_queue> starts = std::make_shared<start_queue>();
    world.onStart([starts](const std::string &id, const executor::run &started, const std::vector<executor::run> &, const executor_kind &) {
        const std::lock_guard<std::mutex> guard(starts->lock);
        if (started.task.starts_with(job)) {
            starts->startedOn.push_back(id);
            starts->changed.notify_all();
        }
    });
    const json step{{"Count", 1}, {"Cpu", 1'000}, {"MemMb", 256}, {"EstimateMs", 1'000}, {"LongRunning", true}};
    if (!world.submit(service, job, "lasts", step)) {
        return verdict::CouldNotRun;
    }
    for (int crash = 0; trouble && crash < crashCount; ++crash) {
        std::string id;
        {
            std::unique_lock<std::mutex> guard(starts->lock);
            const bool started = starts->changed.wait_for(guard, std::chrono::milliseconds(startTimeoutMs), [&] {
                return !starts->startedOn.empty();
            });
            if (!started) {
                return verdict::CouldNotRun;
            }
            id = starts->startedOn.front();
            starts->startedOn.pop_front();
        }
        sleepMs(crashAfterStartMs);
        executor &crashing = world.find(id);
        crashing.crash();
        sleepMs(downMs);
        if (!crashing.restart(kind)) {
            return verdict::CouldNotRun;
        }
    }
    const std::string state = world.awaitState(service, job, {"failed"}, finishMs);
    int failedEnds = 0;
    for (executor *one : world.executors()) {
        failedEnds += one->failedEnds();
    }
    world.record().add("runs that ended failed: " + std::to_string(failedEnds) + ", MaxAttempts is " + std::to_string(deployment::maxAttempts));
    if (state == "failed" && failedEnds < deployment::maxAttempts) {
        world.record().add("LOST: the job, which nobody cancelled, is shown as failed without cause");
        return verdict::Broken;
    }
    return state == "running" ? verdict::Held : verdict::CouldNotRun;
}

} // namespace

case_definition twoCrashesCase()
{
    return {{{service, kind, executorCount}}, run};
}

} // namespace review
