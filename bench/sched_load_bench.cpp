// Simulates days of load on virtual time. Prints for each day how many jobs met their objective and what the scheduler's decisions cost.
//
//     daisypass-sched-load-bench --seeds 5 --scale 7

#include "sched/load_model.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>

using namespace daisypass::sched;

namespace {

// The first user's objective: weights of the two value shares, and prices as shares of the value of a day's jobs.
constexpr double wholeDayWeight = 0.5;
constexpr double worstWindowsWeight = 0.5;
constexpr double vmSecondPrice = 1.35e-4;
constexpr double movePrice = 1.52e-4;

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("simulates days of load on virtual time");
    int seeds = 5;
    int scale = 1;
    double load = 1.0;
    int failing = 0;
    int stalled = 0;
    int unresponsive = 0;
    app.add_option("--seeds", seeds, "number of days to simulate, with seeds from 1");
    app.add_option("--scale", scale, "multiple of the first user's VMs and jobs");
    app.add_option("--load", load, "further multiple of the jobs alone");
    app.add_option("--failing", failing, "number of executors that fail every run");
    app.add_option("--stalled", stalled, "number of executors whose runs make no progress");
    app.add_option("--silent", unresponsive, "number of executors that become unresponsive at the middle of the day");
    CLI11_PARSE(app, argc, argv);
    std::printf("%4s %6s %9s %6s %6s %9s %6s %8s %8s\n", "seed", "jobs", "in time", "late", "failed", "largest", "moves", "VM s", "cpu ms/s");
    double sums[4] = {};
    for (int seed = 1; seed <= seeds; ++seed) {
        load_settings settings = referenceDay(static_cast<std::uint64_t>(seed));
        settings.vmsPerPool *= scale;
        settings.spareVms *= scale;
        settings.fleetOrdersPerSecond *= scale;
        for (load_queue &queue : settings.queues) {
            queue.jobsPerSecond *= scale * load;
        }
        settings.failingExecutors = failing;
        settings.stalledExecutors = stalled;
        settings.unresponsiveExecutors = unresponsive;
        const double lengthS = static_cast<double>(settings.lengthMs) / 1'000.0;
        const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
        const load_outcome outcome = load_model(settings).run();
        const double elapsedMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
        std::printf("%4d %6d %8.1f%% %6d %6d %8.1f%% %6d %8.0f %8.2f\n",
                    seed,
                    outcome.jobs,
                    100.0 * outcome.inObjective / std::max(1, outcome.jobs),
                    outcome.late,
                    outcome.failed + outcome.unfinished,
                    100.0 * outcome.largestInObjective / std::max(1, outcome.largestJobs),
                    outcome.moves,
                    outcome.vmSecondsInPools,
                    elapsedMs / lengthS);
        sums[0] += outcome.earnedShare / seeds;
        sums[1] += outcome.worstWindowsShare / seeds;
        sums[2] += outcome.vmSecondsInPools / seeds / scale;
        sums[3] += outcome.moves / static_cast<double>(seeds) / scale;
    }
    std::printf("mean: earned %.3f, worst windows %.3f, VM seconds %.0f, moves %.0f, net value %.3f\n",
                sums[0],
                sums[1],
                sums[2],
                sums[3],
                wholeDayWeight * sums[0] + worstWindowsWeight * sums[1] - vmSecondPrice * sums[2] - movePrice * sums[3]);
    return 0;
}
