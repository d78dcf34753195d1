#pragma once

// Keeps the latest observations of entries, targets and the platform, and returns them to the controller as one controller_input.
// Thread-safe.
//
//     board.targetAnswered(vm, inFlight, sentAt);
//     controller_input input = board.input(clock.now(), storeReachable);

#include "kernel/fleet_controller.h"
#include "net/peer_messages.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

class observation_board
{
public:
    void entryAnswered(std::string_view entry, const gossip_message &answer, timestamp observedAt);
    /** Version of the entry's loads that the board has, for the next gossip message; 0 if it has none. */
    std::uint64_t knownLoadsVersion(std::string_view entry) const;
    void drainAnswered(const drain_question &question, const drain_answer &answer, timestamp observedAt);
    void targetAnswered(std::string_view vm, int inFlight, timestamp observedAt);
    void targetFailed(std::string_view vm, timestamp observedAt);
    void rebootAccepted(std::string_view operation, timestamp observedAt);
    /** The platform's VM list by id; no value if it could not be read. */
    void setPlatformVms(std::optional<std::map<std::string, platform_vm_state, std::less<>>> vms);

    /** Removes the observations of entries and VMs that the state no longer has, and the confirmations of VMs that are not draining. */
    void prune(const fleet_state &state);

    controller_input input(timestamp now, bool storeReachable) const;

private:
    mutable std::mutex m_lock;
    controller_input m_input;
    std::map<std::string, std::uint64_t, std::less<>> m_knownLoadsVersions;
};

} // namespace daisypass
