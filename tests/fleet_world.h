#pragma once

// Simulates a whole fleet in virtual time: the fleet log on an in-memory table, entries, targets, the platform, and controllers with the
// real decision code. Records and reboots are written to a transcript, which tests compare with a golden file.

#include "control/observation_board.h"
#include "fleet_fixture.h"
#include "services/fleet_log.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisypass {

struct simulated_entry
{
    fleet_state state;
    incarnation_number incarnation = 0;
    /** Without connection to the store, the other entries and the controllers. */
    bool partitioned = false;
    std::set<std::string> unreachable;
    std::map<std::string, int> inFlight;
};

struct simulated_target
{
    int inFlight = 0;
    /** Outage of the last reboot. */
    timestamp downFrom{};
    timestamp downUntil{};
    bool down = false;
};

struct simulated_controller
{
    explicit simulated_controller(fleet_controller_options options)
        : decisions(options)
    {
    }

    fleet_state state;
    fleet_controller decisions;
    observation_board board;
    /** A paused controller takes no steps; a decision from before the pause is appended when it resumes. */
    bool paused = false;
    std::optional<std::pair<log_record, log_head>> delayedAppend;
};

class fleet_world
{
public:
    /** Time from the acceptance of a reboot until the target goes down. */
    static constexpr duration rebootDelay = std::chrono::seconds(3);
    static constexpr duration rebootTime = std::chrono::seconds(20);

    fleet_world(int vms, int minAvailable, const std::string &headroom, int parallel, int entries);

    void addController(const std::string &name);
    /** Runs steps of one second until the condition holds; fails the test after the limit. */
    template<typename T>
    void runUntil(int limitSeconds, T &&condition)
    {
        for (int second = 0; !condition(); ++second) {
            if (second == limitSeconds) {
                note("limit of " + std::to_string(limitSeconds) + " s reached");
                FAIL_CHECK("the condition did not hold in time\n" << transcript);
                return;
            }
            step();
        }
    }
    void run(int seconds);
    void advanceClock(duration time);
    void note(const std::string &text);
    commit_outcome append(const std::string &who, const log_record &record, const log_head &head);
    /** Applies an operator's change of one file, based on the configuration revision `base`. */
    failure_code apply(const std::string &who, revision_number base, const std::string &name, const std::string &text);
    const fleet_state &state();
    int countVms(vm_state inState);

    timestamp now{std::chrono::hours(24 * 365 * 50)};
    timestamp begin = now;
    memory_table table;
    fleet_log log;
    std::map<std::string, simulated_entry> entries;
    std::map<std::string, simulated_target> targets;
    std::map<std::string, platform_vm_state, std::less<>> platform;
    std::map<std::string, std::unique_ptr<simulated_controller>> controllers;
    std::set<std::string> reboots;
    std::string transcript;
    std::string writeId = "w0";

private:
    void step();
    void checkOutages();
    void replay(fleet_state &state);
    void stepController(const std::string &name, simulated_controller &controller);
    void carryOut(const std::string &name, simulated_controller &controller, const controller_command &command);
    std::string nextWriteId();

    fleet_state m_latestState;
    int m_writes = 0;
};

/** Compares the transcript with tests/golden/<name>.txt; DAISYPASS_RENEW_GOLDEN=1 rewrites the file and prints the difference. */
void checkGolden(const std::string &name, const std::string &transcript);

} // namespace daisypass
