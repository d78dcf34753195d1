#include "control/observation_board.h"

#include <algorithm>
#include <iterator>

namespace daisypass {
namespace {

// Operations of reboots that are kept; each VM has at most a few that matter.
constexpr std::size_t maxReboots = 100'000;

template<typename T>
T &at(std::map<std::string, T, std::less<>> &map, std::string_view key)
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map.emplace(std::string(key), T{}).first->second;
}

} // namespace

void observation_board::entryAnswered(std::string_view entry, const gossip_message &answer, timestamp when)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    entry_observation &seen = at(m_input.entries, entry);
    if (seen.incarnation != answer.incarnation) {
        seen = entry_observation{};
        at(m_heldLoads, entry) = 0;
    }
    seen.incarnation = answer.incarnation;
    seen.revision = std::max(seen.revision, answer.revision);
    seen.answeredAt = seen.answeredAt ? std::max(*seen.answeredAt, when) : when;
    if (!answer.pools) {
        return;
    }
    at(m_heldLoads, entry) = answer.loadsVersion;
    seen.unreachableVms.clear();
    seen.loads.clear();
    for (const peer_pool_load &load : *answer.pools) {
        seen.unreachableVms.insert(load.unreachable.begin(), load.unreachable.end());
        seen.loads[load.pool] = pool_load{load.queued, load.running, load.freeSlots};
    }
}

std::uint64_t observation_board::heldLoads(std::string_view entry) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_heldLoads.find(entry);
    return found == m_heldLoads.end() ? 0 : found->second;
}

void observation_board::drainAnswered(const drain_question &asked, const drain_answer &answer, timestamp when)
{
    if (!answer.confirmed) {
        return;
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<confirmation_observation> &known = at(m_input.confirmations, asked.vm);
    const drain_confirmation by{answer.entry, answer.incarnation};
    const auto same = std::find_if(known.begin(), known.end(), [&](const confirmation_observation &item) {
        return item.by == by && item.epoch == asked.epoch;
    });
    if (same == known.end()) {
        known.push_back({by, asked.epoch, when});
    }
}

void observation_board::targetAnswered(std::string_view vm, int inFlight, timestamp when)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    target_observation &seen = at(m_input.targets, vm);
    seen.answeredAt = when;
    seen.inFlight = inFlight;
    seen.failingSince.reset();
}

void observation_board::targetFailed(std::string_view vm, timestamp when)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    target_observation &seen = at(m_input.targets, vm);
    seen.failedAt = when;
    if (!seen.failingSince) {
        seen.failingSince = when;
    }
}

void observation_board::rebootAccepted(std::string_view operation, timestamp when)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_input.rebootsAccepted.emplace(std::string(operation), when);
}

void observation_board::setPlatformVms(std::optional<std::map<std::string, platform_vm_state, std::less<>>> vms)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_input.platformVms = std::move(vms);
}

void observation_board::prune(const fleet_state &state)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::erase_if(m_input.entries, [&state](const std::pair<const std::string, entry_observation> &item) {
        return !state.entries().contains(item.first);
    });
    std::erase_if(m_heldLoads, [&state](const std::pair<const std::string, std::uint64_t> &item) {
        return !state.entries().contains(item.first);
    });
    std::erase_if(m_input.targets, [&state](const std::pair<const std::string, target_observation> &item) {
        return !state.vms().contains(item.first);
    });
    std::erase_if(m_input.confirmations, [&state](const std::pair<const std::string, std::vector<confirmation_observation>> &item) {
        const auto vm = state.vms().find(item.first);
        return vm == state.vms().end() || vm->second.state != vm_state::Draining;
    });
    while (m_input.rebootsAccepted.size() > maxReboots) {
        const auto oldest = std::min_element(m_input.rebootsAccepted.begin(),
                                             m_input.rebootsAccepted.end(),
                                             [](const std::pair<const std::string, timestamp> &left, const std::pair<const std::string, timestamp> &right) {
                                                 return left.second < right.second;
                                             });
        m_input.rebootsAccepted.erase(oldest);
    }
}

controller_input observation_board::input(timestamp now, bool storeReachable) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    controller_input copy = m_input;
    copy.now = now;
    copy.storeReachable = storeReachable;
    return copy;
}

} // namespace daisypass
