// Counts of serving VMs per pool and failure domain, and what follows from them for drains.

#include "kernel/fleet_state.h"

#include <algorithm>

namespace daisypass {

void fleet_state::count(const vm_record &vm, int step)
{
    pool_tally &tally = m_tallies[vm.pool];
    tally.members += step;
    if (vm.state == vm_state::Serving) {
        tally.serving += step;
        if ((tally.servingByRack[vm.rack] += step) == 0) {
            tally.servingByRack.erase(vm.rack);
        }
        if ((tally.servingByZone[vm.availabilityZone] += step) == 0) {
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
    return loss(pool, nullptr);
}

int fleet_state::loss(std::string_view pool, const vm_record *without) const
{
    const auto config = m_config.pools.find(pool);
    const auto found = m_tallies.find(pool);
    if (config == m_config.pools.end() || found == m_tallies.end()) {
        return 0;
    }
    const pool_tally &tally = found->second;
    const failure_headroom headroom = config->second.headroom;
    if (headroom == failure_headroom::None || headroom == failure_headroom::Vm) {
        const int left = tally.serving - (without != nullptr ? 1 : 0);
        return headroom == failure_headroom::Vm && left > 0 ? 1 : 0;
    }
    const bool zone = headroom == failure_headroom::Zone;
    int largest = 0;
    for (const std::pair<const std::string, int> &domain : zone ? tally.servingByZone : tally.servingByRack) {
        const bool own = without != nullptr && domain.first == (zone ? without->availabilityZone : without->rack);
        largest = std::max(largest, domain.second - (own ? 1 : 0));
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
    const int left = serving(record.pool) - 1;
    const int lost = loss(record.pool, &record);
    const int needed = minAvailable(record.pool);
    if (left - lost < needed) {
        reason
            = failure{failure_code::BudgetBreach,
                      record.pool,
                      {},
                      std::to_string(needed) + " serving VMs; " + std::to_string(left) + " would serve, of which a failure may take " + std::to_string(lost)};
        return false;
    }
    return true;
}

} // namespace daisypass
