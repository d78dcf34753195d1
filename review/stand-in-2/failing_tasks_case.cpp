#include "cases.h"

#include <algorithm>
#include <array>

namespace review {
namespace {

constexpr const char *service = "alpha";
const executor_kind kind{"a", 32'000, 65'536};
constexpr int machineCount = 3;
constexpr int jobCount = 6;
// The times at which one task of each job fails, on the same executor.
constexpr std::array<millis, jobCount> failsAtMs{0, 6'000, 12'000, 18'000, 24'000, 27'000};
constexpr millis startTimeoutMs = 10'000;
constexpr millis settleMs = 3'000;
constexpr millis watchedMs = 45'000;
constexpr millis sampleMs = 20;
// A task that lasts counts as lost 3 s after the 6 s that it has to be started again.
constexpr millis restartMs = 6'000;
constexpr millis idleMs = 3'000;

std::string jobId(int number)
{
    return "00000000000000" + std::to_string(number) + 'e';
}

/** The task of the job that runs on the executor; empty if none does. */
std::string taskOn(executor &one, const std::string &job)
{
    for (const std::string &task : one.tasks()) {
        if (task.starts_with(job)) {
            return task;
        }
    }
    return {};
}

verdict run(deployment &world, bool trouble)
{
    // Each executor runs one task of each job, and has room for many more.
    const json step{
        {"Count", machineCount}, {"Cpu", 1'000}, {"MemMb", 256}, {"EstimateMs", 1'000}, {"AntiAffinity", 1}, {"LongRunning", true}, {"AllowMiss", 1}};
    for (int job = 0; job < jobCount; ++job) {
        if (!world.submit(service, jobId(job), "lasts", step) || world.awaitState(service, jobId(job), {"running"}, startTimeoutMs) != "running") {
            return verdict::CouldNotRun;
        }
    }
    sleepMs(settleMs);
    executor &failing = *world.executors().front();
    std::map<int, std::string> failed;
    std::map<std::string, millis> ranAt;
    millis longestMs = 0;
    const millis from = steadyMs();
    while (steadyMs() - from < watchedMs) {
        const millis now = steadyMs();
        for (int job = 0; trouble && job < jobCount; ++job) {
            if (!failed.contains(job) && now - from >= failsAtMs[static_cast<std::size_t>(job)]) {
                failed[job] = taskOn(failing, jobId(job));
                failing.failRun(failed[job]);
                ranAt[failed[job]] = now;
            }
        }
        const std::vector<std::string> running = failing.tasks();
        for (std::pair<const std::string, millis> &task : ranAt) {
            const bool runs = std::find(running.begin(), running.end(), task.first) != running.end();
            task.second = runs ? now : task.second;
            const millis awayMs = now - task.second;
            if (awayMs >= restartMs + idleMs && longestMs < restartMs + idleMs) {
                world.record().add("LOST: " + task.first + " doesn't run since " + std::to_string(awayMs) + " ms, with " + std::to_string(running.size())
                                   + " tasks of 1 core on the 32 cores of " + failing.id());
            }
            longestMs = std::max(longestMs, awayMs);
        }
        sleepMs(sampleMs);
    }
    world.record().add("longest time from the end of a task's run to its next start: " + std::to_string(longestMs) + " ms");
    return longestMs >= restartMs + idleMs ? verdict::Broken : verdict::Held;
}

} // namespace

case_definition failingTasksCase()
{
    return {{{service, kind, machineCount}}, run};
}

} // namespace review
