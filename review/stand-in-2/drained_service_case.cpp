#include "cases.h"

#include <algorithm>

namespace review {
namespace {

constexpr const char *service = "alpha";
constexpr const char *otherService = "beta";
const executor_kind kind{"a", 32'000, 65'536};
const executor_kind otherKind{"b", 32'000, 65'536};
constexpr int machineCount = 4;
constexpr int otherMachineCount = 15;
constexpr int otherMachinesInWave = 6;
constexpr int taskCount = 3;
constexpr int waveDurationS = 45;
constexpr millis startTimeoutMs = 10'000;
constexpr millis settleMs = 4'000;
constexpr millis watchedMs = 50'000;
constexpr millis sampleMs = 20;
// A task that lasts counts as lost 3 s after the 6 s that it has to be started again.
constexpr millis restartMs = 6'000;
constexpr millis idleMs = 3'000;
constexpr const char *job = "000000000000001d";

/** How many executors of the service are up and don't run a task of the step, so that each of them could run one. */
int freeExecutors(deployment &world, std::map<std::string, bool> &runs)
{
    int free = 0;
    for (int i = 1; i <= machineCount; ++i) {
        executor *one = world.executorOn("m-" + std::to_string(i));
        if (one == nullptr) {
            continue;
        }
        const std::vector<std::string> tasks = one->tasks();
        free += tasks.empty() ? 1 : 0;
        for (const std::string &task : tasks) {
            runs[task] = true;
        }
    }
    return free;
}

verdict run(deployment &world, bool trouble)
{
    const json step{{"Count", taskCount}, {"Cpu", 2'000}, {"MemMb", 256}, {"EstimateMs", 1'000}, {"AntiAffinity", 1}, {"LongRunning", true}, {"AllowMiss", 1}};
    if (!world.submit(service, job, "lasts", step) || world.awaitState(service, job, {"running"}, startTimeoutMs) != "running") {
        return verdict::CouldNotRun;
    }
    sleepMs(settleMs);
    std::vector<std::string> wave;
    for (int i = 1; i <= machineCount + otherMachinesInWave; ++i) {
        wave.push_back("m-" + std::to_string(i));
    }
    if (trouble) {
        world.requestWave(wave, waveDurationS, 1);
    }
    const millis watchedFrom = steadyMs();
    std::map<std::string, millis> ranAt;
    std::map<std::string, millis> starvedSince;
    millis longestMs = 0;
    while (steadyMs() - watchedFrom < watchedMs) {
        const millis now = steadyMs();
        std::map<std::string, bool> runs;
        const int free = freeExecutors(world, runs);
        for (int index = 0; index < taskCount; ++index) {
            const std::string task = std::string(job) + ".0.0." + std::to_string(index);
            millis &last = ranAt.try_emplace(task, now).first->second;
            last = runs[task] ? now : last;
            millis &since = starvedSince[task];
            // There is room for it twice over, and it should run again by now.
            const bool starved = now - last >= restartMs && free >= 2;
            since = !starved ? 0 : (since == 0 ? now : since);
            const millis starvedMs = since == 0 ? 0 : now - since;
            if (starvedMs >= idleMs && longestMs < idleMs) {
                world.record().add("LOST: " + task + " doesn't run since " + std::to_string(now - last) + " ms, with " + std::to_string(free)
                                   + " executors of its service free");
            }
            longestMs = std::max(longestMs, starvedMs);
        }
        sleepMs(sampleMs);
    }
    world.record().add("longest time that a task waited beyond " + std::to_string(restartMs) + " ms: " + std::to_string(longestMs) + " ms");
    return longestMs >= idleMs ? verdict::Broken : verdict::Held;
}

} // namespace

case_definition drainedServiceCase()
{
    return {{{service, kind, machineCount}, {otherService, otherKind, otherMachineCount}}, run};
}

} // namespace review
