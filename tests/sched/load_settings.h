#pragma once

// What a modelled day consists of: its queues, its machines and what goes wrong on it.

#include "sched/model.h"

#include <cstdint>
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
    /** Share of jobs of which every run fails. */
    double hopelessShare = 0;
    /** Worth of a job of average work. */
    double worth = 1;
    /** Share of jobs whose tasks save their progress. */
    double checkpointingShare = 0;
    /** Spread of the durations of a step's tasks, and of the estimate. */
    double taskSpread = 0.15;
    double estimateSpread = 0.2;
    /** Tasks of each of the queue's two long-running jobs, at most one on an executor; 0 for no such jobs. */
    int longRunningTasks = 0;
    double taskMsMost = 20'000;
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
    /** Each queue in turn asks this many times its mean for this long, and a twentieth in between. */
    double turnFactor = 4.0;
    time_ms turnMs = 8'000;
    /** Executors that fail every run, and executors on which tasks stand still. */
    int failingExecutors = 0;
    int stalledExecutors = 0;
    /** Executors that fall silent for good at the middle of the day. */
    int silentExecutors = 0;
};

/** The shape of the brief's first user: four queues of short and longer work over five pools. */
load_settings shopDay(std::uint64_t seed);

} // namespace daisypass::sched
