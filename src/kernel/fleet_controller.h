#pragma once

// Decides what a controller does next: which drains begin, are cancelled or end, which VMs and entries failed or returned.
//
//     fleet_controller controller(options);
//     controller_decision decision = controller.decide(state, input);
//     // append decision.changes as one record at state.revision() + 1, and carry out decision.commands
//
// Pure. All durable progress is in the fleet state, so another controller continues at any step. Every change of a decision is
// accepted by fleet_state::apply() on the state that it was decided on.

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

enum class platform_vm_state {
    Live,
    Leaving,
    Gone,
};

/** What the controller knows about one target from its own probes (GET /status). */
struct target_observation
{
    /** Last successful probe; no value if there was none. */
    std::optional<timestamp> answeredAt;
    int inFlight = 0;
    /** Begin of the current series of failed probes; no value after a success. */
    std::optional<timestamp> failingSince;
    /** Last failed probe. */
    std::optional<timestamp> failedAt;
};

/** An entry's load in one pool. */
struct pool_load
{
    int queued = 0;
    int running = 0;
    int freeSlots = 0;
};

/** What the controller knows about one entry. */
struct entry_observation
{
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    std::optional<timestamp> answeredAt;
    std::set<std::string, std::less<>> unreachableVms;
    std::map<std::string, pool_load, std::less<>> loads;
};

struct confirmation_observation
{
    drain_confirmation by;
    std::uint64_t epoch = 0;
    timestamp at{};
};

/** A move of one VM that a balancing policy wants; the controller chooses the VM. */
struct pool_move
{
    std::string from;
    std::string to;
};

struct controller_input
{
    /** Wall-clock time; log records carry the same clock. */
    timestamp now{};
    bool storeReachable = false;
    /** Platform's list by VM id; no value if it could not be read. */
    std::optional<std::map<std::string, platform_vm_state, std::less<>>> platformVms;
    std::map<std::string, entry_observation, std::less<>> entries;
    std::map<std::string, target_observation, std::less<>> targets;
    std::map<std::string, std::vector<confirmation_observation>, std::less<>> confirmations;
    /** When the platform accepted a reboot, by operation id. */
    std::map<std::string, timestamp, std::less<>> rebootsAccepted;
};

/** Ask every entry that must confirm and has not yet. */
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

/** Whether a maintenance wave keeps its period. */
struct wave_forecast
{
    std::string wave;
    int vms = 0;
    int due = 0;
    /** VMs whose last maintenance is older than the period. */
    int overdue = 0;
    /** VMs that are expected to become overdue at the planned speed. */
    int predictedOverdue = 0;
    timestamp finishesAt{};
};

struct fleet_controller_options
{
    /** An entry counts as reached if it answered within this time (section 3.7 of the design). */
    duration reachedWithin = std::chrono::seconds(2);
    /** Least time between a VM's failure and its recovery, against flapping. */
    duration recoveryInterval = std::chrono::seconds(60);
    /** Failed probes of a fully confirmed drain last this long before the VM counts as failed. */
    duration probeFailureLimit = std::chrono::seconds(10);
    /** A reboot whose outage no probe saw counts as done after this time. */
    duration rebootGrace = std::chrono::seconds(30);
    /** A stopped VM that has not returned after this time counts as failed. */
    duration returnLimit = std::chrono::minutes(10);
    /** Changes in one log record; keeps a record below 64 KiB. */
    std::size_t maxBatch = 200;
};

class fleet_controller
{
public:
    /** Moves that a balancing policy wants; called only while planned changes are permitted. */
    using balancer = std::function<std::vector<pool_move>(const fleet_state &state, const controller_input &input)>;

    explicit fleet_controller(fleet_controller_options options);

    void setBalancer(balancer policy);

    controller_decision decide(const fleet_state &state, const controller_input &input) const;

    /** Why no planned change may begin now, or an empty text. */
    std::string planningBlockedBy(const fleet_state &state, const controller_input &input) const;
    /** What a draining or stopped VM waits for, for people. */
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

/** Whether a drain of this wave may begin now: the window is open for the planning time of one VM. */
bool windowOpen(const wave_config &wave, timestamp now);

/** Idempotency key of the reboot that belongs to a stop. */
std::string rebootOperation(const vm_record &vm);

} // namespace daisypass
