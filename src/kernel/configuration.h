#pragma once

// The configuration that operators apply: pools, VMs, teams, maintenance waves and the deployment's weights.
//
//     std::vector<failure> failures;
//     std::optional<configuration> accepted = parseConfiguration(files, failures);
//
// All failures are reported at once, each with file, line and column. A configuration with any failure is refused as a whole.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Size of a VM, or the resources that a request needs. */
struct machine_size
{
    std::int64_t processors = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const machine_size &) const = default;
};

/** The failure domain that a pool must be able to lose, in addition to its unavailable VMs, without breaching its availability budget. */
enum class failure_headroom {
    None,
    Vm,
    Rack,
    Zone,
};

/** How a pool keeps requests that are not repeatable from running twice. */
enum class at_most_once_mode {
    Claim,
    Ticket,
};

struct pool_config
{
    std::string name;
    int slotsPerTarget = 8;
    /** Parsed and checked, but no code uses it. */
    int connectionsPerTarget = 64;
    /** Availability budget: VMs of the pool that must be serving. */
    int minAvailable = 0;
    failure_headroom headroom = failure_headroom::Vm;
    at_most_once_mode atMostOnce = at_most_once_mode::Claim;
    /** Limits of queued requests per entry, for the whole pool and for each team. */
    int queueLimit = 10'000;
    int teamQueueLimit = 2'000;
    std::string scheduling = "bands";
    std::string balancing = "hysteresis";
    /** Share of the slots that long work may occupy. */
    double longShare = 0.5;
    /** Retries per request, on average. */
    double retryBudget = 0.1;
    std::int64_t defaultDeadlineMs = 10'000;
    double maxEjectedShare = 0.3;
    std::string targetPath = "/run";
    machine_size vm;
};

struct vm_config
{
    std::string id;
    std::string pool;
    endpoint address;
    std::string availabilityZone;
    std::string rack;
};

struct team_config
{
    std::string name;
    double weight = 1;
    /** Pools that the team may use; empty means all. */
    std::vector<std::string> pools;
    /** Processors that the team's tasks may use at the same time; 0 means no limit. Parsed and checked, but no code enforces it. */
    std::int64_t quotaProcessors = 0;
    /** Whether the team's work starts ahead of other teams' work. Parsed, but the scheduler does not use it. */
    bool urgent = false;
};

struct wave_config
{
    std::string name;
    std::vector<std::string> pools;
    int periodDays = 35;
    /** Maximum number of VMs of one pool in maintenance at the same time. */
    int parallel = 1;
    /** Daily window in minutes after midnight UTC; the whole day by default. */
    int windowStartMinute = 0;
    int windowLengthMinutes = 1440;
    /** Weekdays on which the window opens, 0 is Sunday; empty means every day. */
    std::vector<int> weekdays;
};

/** Relative weights of the deployment's costs: spare capacity, rollout time, VM moves, and short work that waits behind long work.
 * No decision uses `rollout`. */
struct measure_weights
{
    double buffer = 1;
    double rollout = 1;
    double moves = 1;
    double waiting = 1;
};

struct configuration
{
    std::map<std::string, pool_config, std::less<>> pools;
    std::map<std::string, vm_config, std::less<>> vms;
    std::map<std::string, team_config, std::less<>> teams;
    std::map<std::string, wave_config, std::less<>> waves;
    measure_weights weights;
};

/** A file of a configuration directory; its name is relative to the directory. */
struct configuration_file
{
    std::string name;
    std::string text;
};

/** Parses and validates all files. If any of them is invalid, returns nullopt and appends at least one failure. */
std::optional<configuration> parseConfiguration(std::span<const configuration_file> files, std::vector<failure> &failures);

/** Name and content hash of a configuration file. */
struct file_reference
{
    std::string name;
    std::string hash;

    bool operator==(const file_reference &) const = default;
};

/** Returns the content of the configuration file with this hash, or nullopt if it is not available. */
using file_source = std::function<std::optional<std::string>(std::string_view hash)>;

/** Loads the referenced files and parses them. Fails with NotFound if a file is not available, or with the first failure of the configuration. */
std::optional<configuration> loadConfiguration(std::span<const file_reference> references, const file_source &files, failure &reason);

} // namespace daisypass
