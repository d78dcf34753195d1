// Measures the memory and the processor time that the lease holder needs for tasks that are accepted and wait for their turn.
//
//     daisypass-job-memory-bench [--jobs N]
//
// The tasks are spread over N jobs of five steps. Memory is the growth of the heap (mallinfo2); times are of this process. Executors for 512
// tasks are at work, so that a pass has tasks to place.

#include "sched/job_account.h"
#include "sched/job_state.h"
#include "sched/scheduler.h"

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace daisypass::sched {
namespace {

constexpr int stepsPerJob = 5;
constexpr int executors = 8;
constexpr time_ms passIntervalMs = 300;
constexpr int passes = 5;
constexpr double usPerMs = 1'000.0;

const queue_key benchQueue{"bench.example", "/jobs/"};

configuration_view oneQueue()
{
    configuration_view view;
    view.version = 1;
    queue_config queue;
    queue.key = benchQueue;
    queue.pool = "pool";
    view.queues = {queue};
    pool_config pool;
    pool.name = "pool";
    view.pools = {pool};
    return view;
}

job_spec jobOf(int number, int tasks)
{
    step_spec step;
    step.taskCount = tasks / stepsPerJob;
    step.demand = {500, 256, 0};
    step.estimateMs = 900;
    job_spec spec;
    spec.id = "job-" + std::to_string(number);
    spec.queue = benchQueue;
    spec.pool = "pool";
    spec.payload = std::string(400, 'x');
    spec.steps = std::vector<step_spec>(stepsPerJob, step);
    return spec;
}

void addExecutor(scheduler &holder, int number, time_ms now)
{
    executor_entry entry;
    entry.id = "e" + std::to_string(number);
    entry.pool = "pool";
    entry.address = "10.0.0.1:80";
    entry.capacity = {32'000, 65'536, 0};
    entry.startedUnixMs = 1'000;
    entry.vm = "vm-" + entry.id;
    holder.handle(executor_entry_changed{entry}, now);
    holder.plan(now);
    holder.handle(poll_answered{entry.id, order_status::Ok, now, now, entry.startedUnixMs, {}, {}}, now);
}

double microseconds(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

struct cost
{
    std::size_t heapBytes = 0;
    std::size_t chargedBytes = 0;
    /** Time to accept all jobs, and of one placement pass over them. */
    double acceptUs = 0;
    double passUs = 0;
};

cost measure(int jobs, int tasks)
{
    scheduler holder(bounds{}, term_times{});
    time_ms now = 1'000;
    holder.handle(configuration_changed{oneQueue()}, now);
    for (int number = 0; number < executors; ++number) {
        addExecutor(holder, number, now);
    }
    cost result;
    const std::size_t heapBefore = mallinfo2().uordblks;
    const std::chrono::steady_clock::time_point acceptedFrom = std::chrono::steady_clock::now();
    for (int number = 0; number < jobs; ++number) {
        holder.handle(job_submitted{jobOf(number, tasks / jobs)}, now);
    }
    result.acceptUs = microseconds(std::chrono::steady_clock::now() - acceptedFrom);
    const std::chrono::steady_clock::time_point passFrom = std::chrono::steady_clock::now();
    for (int pass = 0; pass < passes; ++pass) {
        now += passIntervalMs;
        holder.handle(tick{now}, now);
        holder.plan(now);
        holder.takeActions();
    }
    result.passUs = microseconds(std::chrono::steady_clock::now() - passFrom) / passes;
    result.heapBytes = mallinfo2().uordblks - heapBefore;
    result.chargedBytes = static_cast<std::size_t>(holder.jobAccount().usedBytes());
    return result;
}

} // namespace
} // namespace daisypass::sched

int main(int argc, char **argv)
{
    CLI::App app{"memory and processor time of accepted tasks"};
    int jobs = 20;
    app.add_option("--jobs", jobs, "jobs over which the tasks are spread");
    CLI11_PARSE(app, argc, argv);
    std::printf("%10s %12s %12s %12s %12s\n", "tasks", "heap KB", "charged KB", "accept ms", "pass ms");
    for (const int tasks : {1'000, 10'000, 100'000, 1'000'000}) {
        const daisypass::sched::cost result = daisypass::sched::measure(jobs, tasks);
        std::printf("%10d %12zu %12zu %12.2f %12.2f\n",
                    tasks,
                    result.heapBytes / 1'024,
                    result.chargedBytes / 1'024,
                    result.acceptUs / daisypass::sched::usPerMs,
                    result.passUs / daisypass::sched::usPerMs);
    }
    return 0;
}
