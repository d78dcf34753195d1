#pragma once

// Collects what the controller learns from entries, targets and the platform, from any thread, and gives it to the decision code as
// one controller_input.

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
    void entryAnswered(std::string_view entry, const gossip_message &answer, timestamp at);
    /** Version of the entry's loads that is held, for the next gossip. */
    std::uint64_t heldLoads(std::string_view entry) const;
    void drainAnswered(const drain_question &asked, const drain_answer &answer, timestamp at);
    void targetAnswered(std::string_view vm, int inFlight, timestamp at);
    void targetFailed(std::string_view vm, timestamp at);
    void rebootAccepted(std::string_view operation, timestamp at);
    void setPlatformVms(std::optional<std::map<std::string, platform_vm_state, std::less<>>> vms);

    /** Drops what belongs to VMs, epochs and entries that the state no longer has. */
    void prune(const fleet_state &state);

    controller_input input(timestamp now, bool storeReachable) const;

private:
    mutable std::mutex m_lock;
    controller_input m_input;
    std::map<std::string, std::uint64_t, std::less<>> m_heldLoads;
};

} // namespace daisypass
