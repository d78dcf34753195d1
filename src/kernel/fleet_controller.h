#pragma once

// Decides what a controller does next: which drains begin, are cancelled or end, which VMs and entries failed or returned.
//
//     fleet_controller controller(options);
//     controller_decision decision = controller.decide(state, input);
//     // append decision.changes as one record at state.revision() + 1, and carry out decision.commands
//
// decide() has no side effects. All durable progress is in the fleet state, so another controller can continue at any step.
// fleet_state::apply() accepts every change of a decision on the state that was passed to decide().

#include "base/time.h"
#include "kernel/fleet_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

/** State of a VM in the platform's list; a Leaving VM will be removed by the platform. */
enum class platform_vm_state {
    Live,
    Leaving,
    Gone,
};

/** Results of the controller's own probes (GET /status) of one target. */
struct target_observation
{
    /** Time of the last successful probe; no value if there was none. */
    std::optional<timestamp> answeredAt;
    int inFlight = 0;
    /** Start of the current series of failed probes; no value after a success. */
    std::optional<timestamp> failingSince;
    /** Time of the last failed probe. */
    std::optional<timestamp> failedAt;
};

/** An entry's load in one pool. */
struct pool_load
{
    int queued = 0;
    int running = 0;
    int freeSlots = 0;
};

/** The last report of one entry. */
struct entry_observation
{
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    std::optional<timestamp> answeredAt;
    std::set<std::string, std::less<>> unreachableVms;
    std::map<std::string, pool_load, std::less<>> loads;
};

/** A drain confirmation and when it arrived. */
struct confirmation_observation
{
    drain_confirmation by;
    std::uint64_t epoch = 0;
    timestamp at{};
};

/** A balancing policy's request to move one VM; the controller chooses which. */
struct pool_move
{
    std::string from;
    std::string to;
};

struct controller_input
{
    /** Wall-clock time, from the same clock as the times of log records. */
    timestamp now{};
    bool storeReachable = false;
    /** The platform's list by VM id; no value if it could not be read. */
    std::optional<std::map<std::string, platform_vm_state, std::less<>>> platformVms;
    std::map<std::string, entry_observation, std::less<>> entries;
    std::map<std::string, target_observation, std::less<>> targets;
    std::map<std::string, std::vector<confirmation_observation>, std::less<>> confirmations;
    /** When the platform accepted a reboot, by operation id. */
    std::map<std::string, timestamp, std::less<>> rebootsAccepted;
};

/** Asks every entry whose confirmation of this drain is missing. */
struct request_confirmations
{
    std::string vm;
    std::uint64_t epoch = 0;
};

struct probe_target
{
    std::string vm;
    endpoint address;
};

struct reboot_vm
{
    std::string vm;
    std::string operation;
};

using controller_command = std::variant<request_confirmations, probe_target, reboot_vm>;

struct controller_decision
{
    std::vector<fleet_change> changes;
    std::vector<controller_command> commands;
};

/** Forecast of whether a maintenance wave maintains all its VMs within its period. */
struct wave_forecast
{
    std::string wave;
    int vms = 0;
    /** VMs whose maintenance may begin. */
    int due = 0;
    /** VMs whose last maintenance is older than the period. */
    int overdue = 0;
    /** VMs that are expected to become overdue at the planned speed. */
    int predictedOverdue = 0;
    timestamp finishesAt{};
};

struct fleet_controller_options
{
    /** Maximum age of an entry's answer or of a probe result that still counts as current (section 3.7 of the design). */
    duration maxObservationAge = std::chrono::seconds(2);
    /** Minimum time between a VM's failure and its recovery, to prevent flapping. */
    duration recoveryInterval = std::chrono::seconds(60);
    /** A VM whose drain all entries have confirmed counts as failed after probes have failed for this long. */
    duration probeFailureTimeout = std::chrono::seconds(10);
    /** A reboot whose outage no probe observed counts as complete after this time. */
    duration rebootGrace = std::chrono::seconds(30);
    /** A stopped VM that has not returned within this time counts as failed. */
    duration returnTimeout = std::chrono::minutes(10);
    /** Maximum number of changes in one log record; keeps a record below 64 KiB. */
    std::size_t maxChangesPerRecord = 200;
};

class fleet_controller
{
public:
    /** Returns the moves that a balancing policy requests; called only while planned changes are permitted. */
    using balancer = std::function<std::vector<pool_move>(const fleet_state &state, const controller_input &input)>;

    explicit fleet_controller(fleet_controller_options options);

    void setBalancer(balancer policy);

    controller_decision decide(const fleet_state &state, const controller_input &input) const;

    /** Why no planned change may begin now, or an empty string. */
    std::string planningBlockedBy(const fleet_state &state, const controller_input &input) const;
    /** Describes to operators what a draining or stopped VM waits for; empty for a VM in another state. */
    std::string waitsFor(const fleet_state &state, const controller_input &input, std::string_view vm) const;

    const fleet_controller_options &options() const
    {
        return m_options;
    }

private:
    fleet_controller_options m_options;
    balancer m_balancer;
};

std::vector<wave_forecast> forecastWaves(const fleet_state &state, timestamp now);

/** Whether a drain of this wave may begin now: the window stays open for at least the planned time of one VM. */
bool windowOpen(const wave_config &wave, timestamp now);

/** Idempotency key of the reboot of this VM in its current epoch. */
std::string rebootOperation(const vm_record &vm);

} // namespace daisypass
