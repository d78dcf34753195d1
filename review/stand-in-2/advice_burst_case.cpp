#include "cases.h"

#include <algorithm>
#include <set>

namespace review {
namespace {

constexpr const char *service = "alpha";
const executor_kind kind{"a", 32'000, 65'536};
constexpr int machineCount = 10;
constexpr int jobCount = 60;
constexpr millis calmGapMs = 400;
constexpr millis burstGapMs = 10;
constexpr millis finishMs = 14'000;
constexpr millis idleMs = 3'000;
constexpr millis watchedMs = 45'000;
constexpr millis sampleMs = 50;

/** The jobs that have started. */
struct started_jobs
{
    std::mutex lock;
    std::set<std::string> jobs;
};

// The ids end in a letter, so that the name of a task can't be read as an address.
std::string jobId(int number)
{
    constexpr int idLength = 16;
    constexpr int letterCount = 6;
    const std::string text = std::to_string(number) + static_cast<char>('a' + number % letterCount);
    return std::string(idLength - text.size(), '0') + text;
}

verdict run(deployment &world, bool trouble)
{
    const std::shared_ptr<started_jobs> started = std::make_shared<started_jobs>();
    world.onStart([started](const std::string &, const executor::run &one, const std::vector<executor::run> &, const executor_kind &) {
        const std::lock_guard<std::mutex> guard(started->lock);
        started->jobs.insert(one.task.substr(0, one.task.find('.')));
    });
    const json step{{"Count", 1}, {"Cpu", 1'000}, {"MemMb", 256}, {"EstimateMs", 500}};
    std::vector<std::string> accepted;
    for (int i = 0; i < jobCount; ++i) {
        const std::string job = jobId(i);
        if (world.submit(service, job, "ms=500", step)) {
            accepted.push_back(job);
        }
        sleepMs(trouble ? burstGapMs : calmGapMs);
    }
    const millis sentAt = steadyMs();
    std::size_t waiting = accepted.size();
    std::size_t waitingAtFinish = 0;
    std::size_t shown = 0;
    while (waiting > 0 && steadyMs() - sentAt < watchedMs) {
        {
            const std::lock_guard<std::mutex> guard(started->lock);
            waiting = accepted.size() - started->jobs.size() + (started->jobs.contains("000000000000001f") ? 1 : 0);
        }
        if (waiting != shown) {
            shown = waiting;
            world.record().add("accepted jobs that haven't started: " + std::to_string(waiting));
        }
        if (steadyMs() - sentAt >= finishMs + idleMs && waitingAtFinish == 0 && waiting > 0) {
            waitingAtFinish = waiting;
            world.record().add("LOST: " + std::to_string(waiting) + " accepted jobs have nothing running, with all executors nearly empty");
        }
        sleepMs(sampleMs);
    }
    world.record().add("accepted jobs that never started: " + std::to_string(waiting));
    return waitingAtFinish > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

case_definition adviceBurstCase()
{
    return {{{service, kind, machineCount, true}}, run};
}

} // namespace review
