#include "cases.h"

namespace review {
namespace {

constexpr const char *service = "alpha";
constexpr int executorCount = 5;
constexpr int taskCount = 20;
constexpr std::int64_t taskCpu = 2'000;
const executor_kind largeKind{"a", 8'000, 16'384};
const executor_kind smallKind{"b", 2'000, 16'384};
constexpr millis crashAfterCutMs = 500;
constexpr millis downMs = 1'000;
constexpr millis submitAfterRestartMs = 1'000;
constexpr millis cutMs = 5'000;
constexpr millis finishMs = 30'000;

verdict run(deployment &world, bool trouble)
{
    const std::shared_ptr<std::atomic<int>> breaches = std::make_shared<std::atomic<int>>(0);
    world.onStart([&world, breaches](const std::string &id, const executor::run &started, const std::vector<executor::run> &all, const executor_kind &kind) {
        const std::int64_t used = taskCpu * static_cast<std::int64_t>(all.size());
        if (used > kind.cpu) {
            world.record().add("LIMIT: " + started.task + " brings " + id + " to Cpu " + std::to_string(used) + " of " + std::to_string(kind.cpu));
        }
        if (kind.label != largeKind.label) {
            ++*breaches;
            world.record().add("ROUTE: " + started.task + " requires the label " + largeKind.label + ", and " + id + " has " + kind.label);
        }
    });
    executor &reborn = *world.executors().front();
    if (trouble) {
        reborn.cutFromStore(true);
    }
    const millis cutAt = steadyMs();
    sleepMs(crashAfterCutMs);
    if (trouble) {
        reborn.crash();
    }
    sleepMs(downMs);
    if (trouble && !reborn.restart(smallKind)) {
        return verdict::CouldNotRun;
    }
    sleepMs(submitAfterRestartMs);
    const std::string job = "000000000000001a";
    const json step{{"Count", taskCount}, {"Cpu", taskCpu}, {"MemMb", 256}, {"EstimateMs", 800}, {"Requires", largeKind.label}};
    if (!world.submit(service, job, "ms=800", step)) {
        return verdict::CouldNotRun;
    }
    sleepMs(cutAt + cutMs - steadyMs());
    if (trouble) {
        reborn.cutFromStore(false);
    }
    if (world.awaitState(service, job, {"completed"}, finishMs) != "completed") {
        return verdict::CouldNotRun;
    }
    return *breaches > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

case_definition smallerKindCase()
{
    return {{{service, largeKind, executorCount}}, run};
}

} // namespace review
