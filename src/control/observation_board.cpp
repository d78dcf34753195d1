#include "control/observation_board.h"

#include <algorithm>
#include <iterator>

namespace daisypass {
namespace {

// When more accepted reboots than this are stored, the oldest are removed; only the last few of each VM matter.
constexpr std::size_t maxAcceptedReboots = 100'000;

template<typename T>
T &findOrInsert(std::map<std::string, T, std::less<>> &map, std::string_view key)
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map.emplace(std::string(key), T{}).first->second;
}

} // namespace

void observation_board::entryAnswered(std::string_view entry, const gossip_message &answer, timestamp observedAt)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    entry_observation &observation = findOrInsert(m_input.entries, entry);
    if (observation.incarnation != answer.incarnation) {
        observation = entry_observation{};
        findOrInsert(m_knownLoadsVersions, entry) = 0;
    }
    observation.incarnation = answer.incarnation;
    observation.revision = std::max(observation.revision, answer.revision);
    observation.answeredAt = observation.answeredAt ? std::max(*observation.answeredAt, observedAt) : observedAt;
    if (!answer.pools) {
        return;
    }
    findOrInsert(m_knownLoadsVersions, entry) = answer.loadsVersion;
    observation.unreachableVms.clear();
    observation.loads.clear();
    for (const peer_pool_load &load : *answer.pools) {
        observation.unreachableVms.insert(load.unreachable.begin(), load.unreachable.end());
        observation.loads[load.pool] = pool_load{load.queued, load.running, load.freeSlots};
    }
}

std::uint64_t observation_board::knownLoadsVersion(std::string_view entry) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_knownLoadsVersions.find(entry);
    return found == m_knownLoadsVersions.end() ? 0 : found->second;
}

void observation_board::drainAnswered(const drain_question &question, const drain_answer &answer, timestamp observedAt)
{
    if (!answer.confirmed) {
        return;
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<confirmation_observation> &confirmations = findOrInsert(m_input.confirmations, question.vm);
    const drain_confirmation by{answer.entry, answer.incarnation};
    const auto same = std::find_if(confirmations.begin(), confirmations.end(), [&](const confirmation_observation &item) {
        return item.by == by && item.epoch == question.epoch;
    });
    if (same == confirmations.end()) {
        confirmations.push_back({by, question.epoch, observedAt});
    }
}

void observation_board::targetAnswered(std::string_view vm, int inFlight, timestamp observedAt)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    target_observation &observation = findOrInsert(m_input.targets, vm);
    observation.answeredAt = observedAt;
    observation.inFlight = inFlight;
    observation.failingSince.reset();
}

void observation_board::targetFailed(std::string_view vm, timestamp observedAt)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    target_observation &observation = findOrInsert(m_input.targets, vm);
    observation.failedAt = observedAt;
    if (!observation.failingSince) {
        observation.failingSince = observedAt;
    }
}

void observation_board::rebootAccepted(std::string_view operation, timestamp observedAt)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_input.rebootsAccepted.emplace(std::string(operation), observedAt);
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
    std::erase_if(m_knownLoadsVersions, [&state](const std::pair<const std::string, std::uint64_t> &item) {
        return !state.entries().contains(item.first);
    });
    std::erase_if(m_input.targets, [&state](const std::pair<const std::string, target_observation> &item) {
        return !state.vms().contains(item.first);
    });
    std::erase_if(m_input.confirmations, [&state](const std::pair<const std::string, std::vector<confirmation_observation>> &item) {
        const auto vm = state.vms().find(item.first);
        return vm == state.vms().end() || vm->second.state != vm_state::Draining;
    });
    while (m_input.rebootsAccepted.size() > maxAcceptedReboots) {
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
