#pragma once

// Types of the job scheduler: jobs and their steps, executors, VMs, queues and waves.
//
// Times are milliseconds. Unless a comment says otherwise they are read from one process's own clock that counts suspended time.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace daisypass::sched {

using time_ms = std::int64_t;

/** An amount of what an executor has and a task takes. */
struct resources
{
    /** Thousandths of a core. */
    std::int64_t cpu = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpu = 0;

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    bool fitsIn(const resources &room) const;
};

/** Like tasks of a job that may run at the same time. */
struct step_spec
{
    int taskCount = 1;
    resources demand;
    /** Rough estimate of one task's duration. */
    std::int64_t estimateMs = 0;
    /** Indices of the steps that must be done before this one starts. */
    std::vector<int> after;
    /** Label that the executor must have; empty for none. */
    std::string requiredLabel;
    /** Rack that holds the step's data; empty for none. */
    std::string dataRack;
    /** Most tasks of the step on one executor; 0 for no limit. */
    int maxTasksPerExecutor = 0;
    /** Tasks run at the same time or not at all. */
    bool gang = false;
    bool sameRack = false;
    bool checkpointing = false;
    /** Copies of a task may run in parallel. */
    bool speculative = false;
    /** Runs until the job is cancelled. */
    bool longRunning = false;
    /** Takes the processor time that others leave; its cpu does not count against an executor's capacity. */
    bool bestEffortCpu = false;
    std::string image;
    /** Bound of the response time of a long-running task's own users; 0 for none. */
    std::int64_t latencyTargetMs = 0;
    /** Most tasks of a long-running step that the system may make unavailable at a time. */
    int allowedUnavailable = 0;

    /** The part of the demand that counts against an executor's capacity. */
    resources countedDemand() const;
};

/** A queue is named by its host and path prefix. */
struct queue_key
{
    std::string host;
    std::string prefix;

    bool operator==(const queue_key &other) const
    {
        return std::tie(host, prefix) == std::tie(other.host, other.prefix);
    }
    bool operator<(const queue_key &other) const
    {
        return std::tie(host, prefix) < std::tie(other.host, other.prefix);
    }
};

struct job_spec
{
    std::string id;
    queue_key queue;
    /** Opaque text that each task gets. */
    std::string payload;
    std::vector<step_spec> steps;
    /** Number of runs of all steps at set times; 0 for one run at once. */
    int repeatCount = 0;
    /** Time of the first run, in Unix milliseconds. */
    std::int64_t firstAtUnixMs = 0;
    std::int64_t intervalMs = 0;
    /** When the submission was stored, in Unix milliseconds of the machine that took it. */
    std::int64_t acceptedUnixMs = 0;
    /** The pool at that time, used when no route leads to the queue any more. */
    std::string pool;
};

/** Names a task: job, occurrence, step and index in the step. */
struct task_id
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const task_id &other) const
    {
        return std::tie(job, occurrence, step, index) == std::tie(other.job, other.occurrence, other.step, other.index);
    }
    bool operator<(const task_id &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }
    std::string text() const;
    /** Empty if the text is no task's name. */
    static std::optional<task_id> parse(std::string_view text);
};

enum class run_end {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /** Another member of the gang ended. */
    GangMemberEnded,
    /** The other members of the gang did not come in time. */
    GangIncomplete,
};

/** A run that an executor says it has. */
struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;
    /** Tail of the response times in ms for a task with a latency target, else the cpu in use. */
    std::int64_t load = 0;
};

/** The end of a run as an executor lists it; `number` counts the ends of one incarnation from 1. */
struct listed_end
{
    std::int64_t number = 0;
    task_id task;
    int run = 0;
    run_end how = run_end::Failed;
    std::string checkpoint;
};

/** What the registry says of an executor. */
struct executor_entry
{
    std::string id;
    std::string pool;
    std::string address;
    std::string availabilityZone;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels;
    std::string rack;
    /** The VM; empty if the entry doesn't say. */
    std::string vm;
    /** Unix millisecond of the executor's start; 0 if not said. */
    std::int64_t startedUnixMs = 0;
    /** The executor's own clock. */
    std::int64_t clockMs = 0;
    std::int64_t warmupLeftMs = 0;
};

struct queue_config
{
    queue_key key;
    std::string name;
    std::string pool;
    /** 0 comes first. */
    int priority = 0;
    int maxAttempts = 1;
    double stretch = 1.0;
    std::int64_t targetDurationMs = 0;
    std::int64_t timeoutMs = 0;
    /** The queue's policy names the executors that may run a step. */
    bool requiresAdvice = false;
    std::int64_t adviceValidMs = 0;
};

struct pool_config
{
    std::string name;
    std::string healthPath;
    /** Executors reject what does not fit. */
    bool admissionCheck = false;
    /** VMs of a spare pool are off. */
    bool spare = false;
};

struct configuration_view
{
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<pool_config> pools;
    std::int64_t maxBodyBytes = 0;
};

enum class vm_state { Up, Moving, Maintenance, Down };

struct vm_entry
{
    std::string vm;
    std::string pool;
    vm_state state = vm_state::Down;
    std::string availabilityZone;
    std::vector<std::string> labels;
    /** Empty while no executor lives on it. */
    std::string executor;
};

struct wave_request
{
    std::int64_t wave = 0;
    std::vector<std::string> vms;
    std::int64_t durationMs = 0;
    /** Most VMs that may be down for it at once. */
    int cap = 1;
};

/** Bounds that the deployment sets. */
struct bounds
{
    std::int64_t maxLeaseMs = 6'000;
    std::int64_t stopMs = 400;
    std::int64_t gangWaitMs = 3'000;
    std::int64_t noticeMs = 4'500;
    std::int64_t moveMs = 1'500;
    std::int64_t maintenanceMs = 2'000;
    std::int64_t leaseMs = 3'000;
    std::int64_t drainMs = 2'000;
    std::int64_t statusKeepMs = 120'000;
    std::int64_t harmMs = 4'000;
    std::int64_t checkpointMs = 1'000;
    double farFactor = 2.0;
};

} // namespace daisypass::sched
