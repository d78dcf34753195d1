#pragma once

// Data types of the job scheduler: jobs and their steps, executors, VMs, queues and maintenance waves.
//
//     step_spec step;
//     step.taskCount = 4;
//     step.demand.cpu = 500;                     // half a core for each task
//     const bool fits = step.countedDemand().fitsIn(executor.freeCapacity());
//
// Times are in milliseconds. Unless a comment says otherwise, they come from this process's monotonic clock, which also counts
// the time for which the machine is suspended.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace daisypass::sched {

using time_ms = std::int64_t;

/** An amount of resources: the capacity of an executor or the demand of a task. */
struct resources
{
    /** In thousandths of a core. */
    std::int64_t cpu = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpu = 0;

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    /** Whether the capacity covers each resource; a demand of 0 fits even if the capacity is negative. */
    bool fitsIn(const resources &capacity) const;
    /** Whether `left`, which remains with this demand already taken off, is not negative in any resource that is demanded. */
    bool isWithin(const resources &left) const;
};

/** A step of a job: identical tasks that may run in parallel. */
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
    /** Maximum number of the step's tasks on one executor; 0 for no limit. */
    int maxTasksPerExecutor = 0;
    /** Gang scheduling: all tasks of the step run at the same time, or none does. */
    bool gang = false;
    bool sameRack = false;
    bool checkpointing = false;
    /** Several copies of a task may run in parallel. */
    bool speculative = false;
    /** The step's tasks run until the job is cancelled. */
    bool longRunning = false;
    /** Tasks use only processor time that other tasks leave idle; their cpu demand does not count against an executor's capacity. */
    bool bestEffortCpu = false;
    std::string image;
    /** Target for the response time of a long-running task to its users; 0 for none. */
    std::int64_t latencyTargetMs = 0;
    /** Maximum number of a long-running step's tasks that the scheduler may make unavailable at the same time. */
    int allowedUnavailable = 0;

    /** The part of the demand that counts against an executor's capacity. */
    resources countedDemand() const;
};

/** Number of tasks of all steps. */
std::size_t taskCountOf(std::span<const step_spec> steps);

/** Identifies a queue by its host and path prefix. */
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

/** What a queue decides about the fate of its jobs. */
struct queue_terms
{
    int maxAttempts = 1;
    /** A step may run only on executors for which the queue's advice service has issued a ticket. */
    bool requiresAdvice = false;
    std::int64_t adviceValidMs = 0;
};

/** The time that the advice service takes for a call, as the configuration states it; 0 where it doesn't. */
struct advice_cost
{
    std::int64_t decideMs = 0;
    /** For each executor that the call names. */
    std::int64_t eachMs = 0;
};

/** Where a queue's jobs stand among those of others, and when they are late. */
struct queue_objective
{
    /** 0 is the highest priority. */
    int priority = 0;
    /** A job meets its objective if it ends within `stretch` times its longest chain of estimates plus targetDurationMs. */
    double stretch = 1.0;
    std::int64_t targetDurationMs = 0;
};

struct job_spec
{
    std::string id;
    queue_key queue;
    /** Opaque text that is passed to each task. */
    std::string payload;
    std::vector<step_spec> steps;
    /** Number of scheduled occurrences of the job; 0 for a single one that starts immediately. */
    int repeatCount = 0;
    /** Time of the first occurrence, in Unix milliseconds. */
    std::int64_t firstAtUnixMs = 0;
    std::int64_t intervalMs = 0;
    /** When the submission was stored, in Unix milliseconds by the clock of the machine that accepted it. */
    std::int64_t acceptedUnixMs = 0;
    /** The tenant whose key the submission carried; empty for none. It stays the job's tenant if the configuration changes. */
    std::string tenant;
    /** The queue's pool when the submission was stored; used if the configuration no longer has the queue. */
    std::string pool;
    /** The same for the queue's terms and its objective; empty if a former version stored the submission. */
    std::optional<queue_terms> terms;
    std::optional<queue_objective> objective;
};

/** Identifies a task by job, occurrence, step and index in the step. */
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
    /** The form "job.occurrence.step.index". */
    std::string text() const;
    /** Parses the form that `text` writes; empty if the text is malformed. */
    static std::optional<task_id> parse(std::string_view text);
};

/** How a run ended. */
enum class run_end {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /** The run was ended because another member of its gang ended. */
    GangMemberEnded,
    /** The run was ended because the other members of its gang did not start in time. */
    GangIncomplete,
};

/** A run that an executor reports as present. */
struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;
    /** Tail latency in ms for a task with a latency target, otherwise the cpu in use. */
    std::int64_t load = 0;
};

/** The end of a run as an executor reports it. `number` is a sequence number that starts at 1 in each incarnation of the executor. */
struct listed_end
{
    std::int64_t number = 0;
    task_id task;
    int run = 0;
    run_end how = run_end::Failed;
    std::string checkpoint;
};

/** An executor's entry in the registry. */
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
    /** The VM that the executor runs on; empty if the entry doesn't name one. */
    std::string vm;
    /** When the executor process started, in Unix milliseconds; 0 if unknown. Identifies its incarnation. */
    std::int64_t startedUnixMs = 0;
    /** Reading of the executor's own clock. */
    std::int64_t clockMs = 0;
    /** Remaining time of the executor's cold start. */
    std::int64_t warmupLeftMs = 0;
};

struct queue_config
    : queue_terms
    , queue_objective
{
    queue_key key;
    std::string name;
    std::string pool;
    std::int64_t timeoutMs = 0;
    advice_cost adviceCost;
    /** Calls of the queue need no key. */
    bool isPublic = false;
};

/** An organisation that hands in jobs, and what it may use. */
struct tenant_config
{
    std::string name;
    /** Each call of the tenant carries one of them. */
    std::vector<std::string> keys;
    /** The tenant's share where room is short, against the shares of others, and the number of jobs a second that it is entitled to. Above 0. */
    double weight = 1.0;
    /** What the tenant's tasks may use at the same time on all executors; 0 for no limit. */
    resources cap;
};

struct pool_config
{
    std::string name;
    std::string healthPath;
    /** Executors refuse runs that exceed their capacity. */
    bool admissionCheck = false;
    /** VMs of a spare pool are powered off. */
    bool spare = false;
};

struct configuration_view
{
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<pool_config> pools;
    std::vector<tenant_config> tenants;
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
    /** The executor that runs on the VM; empty if there is none. */
    std::string executor;
};

/** A request to maintain each of the VMs once. */
struct wave_request
{
    std::int64_t wave = 0;
    std::vector<std::string> vms;
    std::int64_t durationMs = 0;
    /** Maximum number of VMs that may be down for the wave at the same time. */
    int cap = 1;
};

/** Bounds from the settings. */
struct bounds
{
    /** Longest lease on runs that an executor may be granted. */
    std::int64_t maxLeaseMs = 6'000;
    /** A stop order that was sent takes effect within this time. */
    std::int64_t stopMs = 400;
    std::int64_t gangWaitMs = 3'000;
    std::int64_t noticeMs = 4'500;
    std::int64_t moveMs = 1'500;
    /** How long the maintenance of one VM takes. */
    std::int64_t maintenanceMs = 2'000;
    /** The platform's bound on the time between two lease holders that are both alive. */
    std::int64_t leaseMs = 3'000;
    std::int64_t drainMs = 2'000;
    /** How long the status of an ended job can be queried. */
    std::int64_t statusKeepMs = 120'000;
    std::int64_t harmMs = 4'000;
    std::int64_t checkpointMs = 1'000;
    double farFactor = 2.0;
    /** Orders to move or maintain VMs that the fleet service accepts in a second, from all nodes together. */
    double fleetOrdersPerSecond = 64;
    /** Largest row that the store takes. */
    std::size_t rowBytes = 65'536;
    /** Memory that a lease holder may use for jobs that it has accepted and not deleted. */
    std::size_t jobBytes = 33'554'432;
};

} // namespace daisypass::sched
