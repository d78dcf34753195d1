// Counts of serving VMs per pool and failure domain, and the drain checks that are based on them.

#include "kernel/fleet_state.h"

#include <algorithm>

namespace daisypass {

void fleet_state::updateTally(const vm_record &vm, int delta)
{
    pool_tally &tally = m_tallies[vm.pool];
    tally.members += delta;
    if (vm.state == vm_state::Serving) {
        tally.serving += delta;
        if ((tally.servingByRack[vm.rack] += delta) == 0) {
            tally.servingByRack.erase(vm.rack);
        }
        if ((tally.servingByZone[vm.availabilityZone] += delta) == 0) {
            tally.servingByZone.erase(vm.availabilityZone);
        }
    }
    if (tally.members == 0) {
        m_tallies.erase(vm.pool);
    }
}

int fleet_state::unavailable(std::string_view pool) const
{
    const auto found = m_tallies.find(pool);
    return found == m_tallies.end() ? 0 : found->second.members - found->second.serving;
}

int fleet_state::serving(std::string_view pool) const
{
    const auto found = m_tallies.find(pool);
    return found == m_tallies.end() ? 0 : found->second.serving;
}

int fleet_state::minAvailable(std::string_view pool) const
{
    const auto found = m_config.pools.find(pool);
    return found == m_config.pools.end() ? 0 : found->second.minAvailable;
}

int fleet_state::largestLoss(std::string_view pool) const
{
    return largestLossExcluding(pool, nullptr);
}

int fleet_state::largestLossExcluding(std::string_view pool, const vm_record *excluded) const
{
    const auto config = m_config.pools.find(pool);
    const auto found = m_tallies.find(pool);
    if (config == m_config.pools.end() || found == m_tallies.end()) {
        return 0;
    }
    const pool_tally &tally = found->second;
    const failure_headroom headroom = config->second.headroom;
    if (headroom == failure_headroom::None || headroom == failure_headroom::Vm) {
        const int remaining = tally.serving - (excluded != nullptr ? 1 : 0);
        return headroom == failure_headroom::Vm && remaining > 0 ? 1 : 0;
    }
    const bool zone = headroom == failure_headroom::Zone;
    int largest = 0;
    for (const std::pair<const std::string, int> &domain : zone ? tally.servingByZone : tally.servingByRack) {
        const bool containsExcluded = excluded != nullptr && domain.first == (zone ? excluded->availabilityZone : excluded->rack);
        largest = std::max(largest, domain.second - (containsExcluded ? 1 : 0));
    }
    return largest;
}

std::vector<drain_confirmation> fleet_state::requiredConfirmations(std::string_view vm) const
{
    std::vector<drain_confirmation> required;
    const auto found = m_vms.find(vm);
    if (found == m_vms.end() || found->second.state != vm_state::Draining) {
        return required;
    }
    for (const std::pair<const std::string, entry_record> &entry : m_entries) {
        if (entry.second.joinRevision <= found->second.drainRevision) {
            required.push_back({entry.first, entry.second.incarnation});
        }
    }
    return required;
}

bool fleet_state::mayDrain(std::string_view vm, failure &reason) const
{
    const auto found = m_vms.find(vm);
    if (found == m_vms.end()) {
        reason = failure{failure_code::UnknownVm, std::string(vm)};
        return false;
    }
    const vm_record &record = found->second;
    if (record.state != vm_state::Serving) {
        reason = failure{failure_code::WrongState, record.id, {}, "state serving, not " + std::string(stateName(record.state))};
        return false;
    }
    const int remaining = serving(record.pool) - 1;
    const int reserved = largestLossExcluding(record.pool, &record);
    const int needed = minAvailable(record.pool);
    if (remaining - reserved < needed) {
        reason = failure{failure_code::BudgetBreach,
                         record.pool,
                         {},
                         std::to_string(needed) + " serving VMs; " + std::to_string(remaining) + " would serve, of which a failure may take "
                             + std::to_string(reserved)};
        return false;
    }
    return true;
}

} // namespace daisypass
