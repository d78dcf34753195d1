#pragma once

// Settings of a simulated day: its queues, its VMs and the faults that are injected.
//
//     load_settings settings = referenceDay(1);
//     settings.failingExecutors = 3;

#include "sched/model.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace daisypass::sched {

struct load_queue
{
    std::string pool;
    double jobsPerSecond = 8;
    double stepsMean = 1.6;
    double tasksMean = 6;
    double taskCpuMean = 1'800;
    double taskMsMean = 680;
    int priority = 0;
    int maxAttempts = 4;
    /** Share of jobs whose runs all fail. */
    double alwaysFailingShare = 0;
    /** Value of a job of average work that meets its objective. */
    double value = 1;
    /** Share of jobs whose tasks save checkpoints. */
    double checkpointingShare = 0;
    /** Sigma of the lognormal distributions of a step's task durations, and of its estimate. */
    double taskSpread = 0.15;
    double estimateSpread = 0.2;
    /** Tasks of each of the queue's two long-running jobs, at most one per executor; 0 for no such jobs. */
    int longRunningTasks = 0;
    /** Upper bound of the mean task duration that is drawn for a step. */
    double taskMsMax = 20'000;
    /** Share of jobs whose first task crashes every executor that starts it. */
    double crashingShare = 0;
    /** When such jobs arrive, from the first arrival on. */
    time_ms crashingFrom = 0;
    time_ms crashingUntil = std::numeric_limits<time_ms>::max();
    /** The queue's name if it isn't the pool's; queues can share a pool. */
    std::string ownName{};

    const std::string &name() const;
};

/** Processor time that parts of the lease holder's work take, in microseconds. */
struct processor_costs
{
    /** An event or an action, with its part of the messages. */
    double message = 0;
    /** A waiting job or an executor that a placement pass looks at. */
    double jobConsidered = 0;
    double executorConsidered = 0;
    /** A run that a sweep checks, and a VM that a fleet plan looks at. */
    double runChecked = 0;
    double vmPlanned = 0;

    /** The costs on a processor that is slower by this factor. */
    processor_costs slowedBy(double factor) const;
};

struct load_settings
{
    std::uint64_t seed = 1;
    std::vector<load_queue> queues;
    /** VMs of each queue's pool at the start. */
    int vmsPerPool = 10;
    int spareVms = 8;
    resources vmCapacity{32'000, 65'536, 0};
    time_ms lengthMs = 34'000;
    /** Rate limit of the fleet service. */
    double fleetOrdersPerSecond = 64;
    /** The queues peak in turn, each for `peakMs` at this multiple of its mean rate. Outside its peak a queue gets `offPeakFactor` of it. */
    double peakFactor = 4.0;
    double offPeakFactor = 0.05;
    time_ms peakMs = 8'000;
    /** Executors that fail every run, and executors whose runs make no progress. */
    int failingExecutors = 0;
    int stalledExecutors = 0;
    /** Executors that become unresponsive for good at the middle of the day. */
    int unresponsiveExecutors = 0;
    /** The store answers no call of the lease holder from this time after the first arrival, for `storeOutageMs`. */
    time_ms storeOutageAt = 0;
    time_ms storeOutageMs = 0;
    /** Time until the VM of an executor that crashed has its next one. */
    time_ms restartMs = 3'100;
    /** Polls of an executor that crashed fail at once and not after a timeout, and its entry remains until the VM has its next executor. */
    bool crashBreaksConnections = false;
    /** All zero for a processor that takes no time. */
    processor_costs costs;
};

/** The first user's day: four queues of short and longer work, each with its pool, and the spare pool. */
load_settings referenceDay(std::uint64_t seed);
/** The reference day with arrivals at the mean rates, on executors that crash and start again as on the platform. */
load_settings steadyDay(std::uint64_t seed);
/** The same day, job for job, without tasks that crash executors. */
load_settings withoutCrashingTasks(load_settings settings);
/** A day of a fleet of 1,097 VMs with the same kinds of queues, on a real processor. */
load_settings largeFleetDay(std::uint64_t seed);

} // namespace daisypass::sched
