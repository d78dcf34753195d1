#include "kernel/fleet_state.h"

#include <algorithm>
#include <array>
#include <utility>

namespace daisypass {
namespace {

constexpr std::array<std::string_view, 4> stateNames{"serving", "draining", "stopped", "failed"};

bool removeFile(std::vector<file_reference> &files, std::string_view name)
{
    const auto found = std::find_if(files.begin(), files.end(), [name](const file_reference &file) {
        return file.name == name;
    });
    if (found == files.end()) {
        return false;
    }
    files.erase(found);
    return true;
}

} // namespace

// Applies the changes of one record and can roll them back, because a record is applied as a whole or not at all.
struct fleet_state::change_applier
{
    fleet_state &state;
    const log_record &record;
    const file_source &files;
    failure &reason;

    struct saved_configuration
    {
        revision_number revision;
        configuration config;
        std::vector<file_reference> files;
    };

    std::vector<std::pair<std::string, std::optional<vm_record>>> savedVms;
    std::vector<std::pair<std::string, std::optional<entry_record>>> savedEntries;
    std::vector<saved_configuration> savedConfigurations;

    void rollBack()
    {
        while (!savedVms.empty()) {
            restore(savedVms.back().first, std::move(savedVms.back().second));
            savedVms.pop_back();
        }
        while (!savedEntries.empty()) {
            state.m_entries.erase(savedEntries.back().first);
            if (savedEntries.back().second) {
                state.m_entries.emplace(savedEntries.back().first, std::move(*savedEntries.back().second));
            }
            savedEntries.pop_back();
        }
        if (!savedConfigurations.empty()) {
            saved_configuration &first = savedConfigurations.front();
            state.m_configurationRevision = first.revision;
            state.m_config = std::move(first.config);
            state.m_files = std::move(first.files);
        }
    }

    void restore(const std::string &id, std::optional<vm_record> before)
    {
        const auto found = state.m_vms.find(id);
        if (found != state.m_vms.end()) {
            state.updateTally(found->second, -1);
            state.m_vms.erase(found);
        }
        if (before) {
            state.updateTally(*before, 1);
            state.m_vms.emplace(id, std::move(*before));
        }
    }

    void put(vm_record vm)
    {
        const auto found = state.m_vms.find(vm.id);
        if (found == state.m_vms.end()) {
            savedVms.emplace_back(vm.id, std::nullopt);
            state.updateTally(vm, 1);
            state.m_vms.emplace(vm.id, std::move(vm));
            return;
        }
        savedVms.emplace_back(vm.id, found->second);
        state.updateTally(found->second, -1);
        state.updateTally(vm, 1);
        found->second = std::move(vm);
    }

    void erase(const std::string &id)
    {
        const auto found = state.m_vms.find(id);
        savedVms.emplace_back(id, found->second);
        state.updateTally(found->second, -1);
        state.m_vms.erase(found);
    }

    bool fail(failure_code code, std::string_view argument, std::string_view expected = {})
    {
        reason = failure{code, std::string(argument), {}, std::string(expected)};
        return false;
    }

    const vm_record *find(const std::string &id)
    {
        const auto found = state.m_vms.find(id);
        if (found == state.m_vms.end()) {
            fail(failure_code::UnknownVm, id);
            return nullptr;
        }
        return &found->second;
    }

    const vm_record *find(const std::string &id, std::uint64_t epoch, vm_state requiredState)
    {
        const vm_record *vm = find(id);
        if (vm != nullptr && vm->state != requiredState) {
            fail(failure_code::WrongState, id, "state " + std::string(stateName(requiredState)) + ", not " + std::string(stateName(vm->state)));
            return nullptr;
        }
        if (vm != nullptr && vm->epoch != epoch) {
            fail(failure_code::WrongEpoch, id, "epoch " + std::to_string(vm->epoch) + ", not " + std::to_string(epoch));
            return nullptr;
        }
        return vm;
    }

    void setState(const vm_record &before, vm_state newState)
    {
        vm_record after = before;
        after.state = newState;
        after.changedAt = record.at;
        put(std::move(after));
    }

    bool operator()(const configuration_applied &change)
    {
        if (change.base != state.m_configurationRevision) {
            return fail(failure_code::RevisionConflict, std::to_string(change.base), "base revision " + std::to_string(state.m_configurationRevision));
        }
        std::vector<file_reference> references = state.m_files;
        for (const std::string &name : change.removed) {
            if (!removeFile(references, name)) {
                return fail(failure_code::NotFound, name, "the name of a configuration file");
            }
        }
        for (const file_reference &file : change.changed) {
            removeFile(references, file.name);
            references.push_back(file);
        }
        std::sort(references.begin(), references.end(), [](const file_reference &left, const file_reference &right) {
            return left.name < right.name;
        });
        std::optional<configuration> config = loadConfiguration(references, files, reason);
        if (!config || !checkVmIdentities(*config)) {
            return false;
        }
        savedConfigurations.push_back({state.m_configurationRevision, std::move(state.m_config), std::move(state.m_files)});
        const configuration &before = savedConfigurations.back().config;
        state.m_config = std::move(*config);
        state.m_files = std::move(references);
        state.m_configurationRevision = record.revision;
        addVms();
        removeVms();
        updateDesiredPools(before);
        return true;
    }

    // A configuration that assigns a VM to another pool than before requests a move. An unchanged assignment does not undo the
    // balancer's moves.
    void updateDesiredPools(const configuration &before)
    {
        for (const std::pair<const std::string, vm_config> &vm : state.m_config.vms) {
            const vm_record &known = state.m_vms.find(vm.first)->second;
            const auto previous = before.vms.find(vm.first);
            const bool reassigned = previous == before.vms.end() || previous->second.pool != vm.second.pool;
            if ((reassigned || !state.m_config.pools.contains(known.desiredPool)) && known.desiredPool != vm.second.pool) {
                vm_record after = known;
                after.desiredPool = vm.second.pool;
                put(std::move(after));
            }
        }
    }

    // A VM id must keep its address, zone and rack, because requests in flight and confirmations identify the VM only by its id.
    bool checkVmIdentities(const configuration &config)
    {
        for (const std::pair<const std::string, vm_config> &vm : config.vms) {
            const auto known = state.m_vms.find(vm.first);
            if (known != state.m_vms.end()
                && (known->second.address != vm.second.address || known->second.availabilityZone != vm.second.availabilityZone
                    || known->second.rack != vm.second.rack)) {
                return fail(failure_code::NotPermitted, vm.first, "a new id for a VM with another address, availability zone or rack");
            }
        }
        return true;
    }

    void addVms()
    {
        for (const std::pair<const std::string, vm_config> &vm : state.m_config.vms) {
            if (!state.m_vms.contains(vm.first)) {
                vm_record added;
                added.id = vm.first;
                added.pool = vm.second.pool;
                added.desiredPool = vm.second.pool;
                added.address = vm.second.address;
                added.availabilityZone = vm.second.availabilityZone;
                added.rack = vm.second.rack;
                added.state = vm_state::Stopped;
                added.epoch = record.revision;
                added.detail = joinDetail;
                added.changedAt = record.at;
                put(std::move(added));
            }
        }
    }

    void removeVms()
    {
        std::vector<std::string> removedIds;
        for (const std::pair<const std::string, vm_record> &vm : state.m_vms) {
            const bool idle = vm.second.state == vm_state::Stopped || vm.second.state == vm_state::Failed;
            if (idle && !state.m_config.vms.contains(vm.first)) {
                removedIds.push_back(vm.first);
            }
        }
        for (const std::string &id : removedIds) {
            erase(id);
        }
    }

    bool operator()(const entry_joined &change)
    {
        const auto found = state.m_entries.find(change.entry);
        std::optional<entry_record> before;
        if (found != state.m_entries.end()) {
            // A new process that listens on the address of the previous one proves that the previous one has ended.
            if (found->second.incarnation == change.incarnation || found->second.peers != change.peers) {
                return fail(
                    failure_code::WrongState, change.entry, "an entry that has not joined, or a new process on the address " + toString(found->second.peers));
            }
            before = found->second;
        }
        savedEntries.emplace_back(change.entry, std::move(before));
        state.m_entries[change.entry] = entry_record{change.entry, change.incarnation, change.callers, change.peers, change.availabilityZone, record.revision};
        return true;
    }

    bool removeEntry(const std::string &id, incarnation_number incarnation)
    {
        const auto found = state.m_entries.find(id);
        if (found == state.m_entries.end() || found->second.incarnation != incarnation) {
            return fail(failure_code::UnknownEntry, id, "an entry that has joined, with its incarnation");
        }
        savedEntries.emplace_back(id, found->second);
        state.m_entries.erase(found);
        return true;
    }

    bool operator()(const entry_left &change)
    {
        return removeEntry(change.entry, change.incarnation);
    }

    bool operator()(const entry_removed &change)
    {
        return removeEntry(change.entry, change.incarnation);
    }

    bool operator()(const drain_begun &change)
    {
        const vm_record *vm = find(change.vm);
        if (vm == nullptr || !state.mayDrain(change.vm, reason)) {
            return false;
        }
        if (change.epoch != vm->epoch + 1) {
            return fail(failure_code::WrongEpoch, change.vm, "epoch " + std::to_string(vm->epoch + 1) + ", not " + std::to_string(change.epoch));
        }
        if (change.cause == drain_cause::Move && (!state.m_config.pools.contains(change.detail) || change.detail == vm->pool)) {
            return fail(failure_code::UnknownPool, change.detail, "another pool of the configuration");
        }
        vm_record after = *vm;
        after.state = vm_state::Draining;
        after.epoch = change.epoch;
        after.cause = change.cause;
        after.detail = change.detail;
        after.drainRevision = record.revision;
        after.changedAt = record.at;
        put(std::move(after));
        return true;
    }

    bool operator()(const drain_cancelled &change)
    {
        const vm_record *vm = find(change.vm, change.epoch, vm_state::Draining);
        if (vm == nullptr) {
            return false;
        }
        this->setState(*vm, vm_state::Serving);
        return true;
    }

    bool operator()(const vm_stopped &change)
    {
        const vm_record *vm = find(change.vm, change.epoch, vm_state::Draining);
        if (vm == nullptr) {
            return false;
        }
        for (const drain_confirmation &required : state.requiredConfirmations(change.vm)) {
            if (std::find(change.confirmations.begin(), change.confirmations.end(), required) == change.confirmations.end()) {
                return fail(failure_code::Unconfirmed, change.vm, "a confirmation of entry " + required.entry);
            }
        }
        if (vm->cause == drain_cause::Removal && !state.m_config.vms.contains(change.vm)) {
            erase(change.vm);
            return true;
        }
        this->setState(*vm, vm_state::Stopped);
        return true;
    }

    bool operator()(const vm_returned &change)
    {
        const vm_record *vm = find(change.vm, change.epoch, vm_state::Stopped);
        if (vm == nullptr) {
            return false;
        }
        vm_record after = *vm;
        after.state = vm_state::Serving;
        after.detail.clear();
        after.changedAt = record.at;
        after.maintainedAt = record.at;
        put(std::move(after));
        return true;
    }

    bool operator()(const vm_failed &change)
    {
        const vm_record *vm = find(change.vm);
        if (vm == nullptr) {
            return false;
        }
        if (vm->state == vm_state::Failed) {
            return fail(failure_code::WrongState, change.vm, "a state other than failed");
        }
        if (!state.m_config.vms.contains(change.vm)) {
            erase(change.vm);
            return true;
        }
        this->setState(*vm, vm_state::Failed);
        return true;
    }

    bool operator()(const vm_recovered &change)
    {
        const vm_record *vm = find(change.vm);
        if (vm == nullptr) {
            return false;
        }
        if (vm->state != vm_state::Failed) {
            return fail(failure_code::WrongState, change.vm, "state failed, not " + std::string(stateName(vm->state)));
        }
        vm_record after = *vm;
        after.state = vm_state::Serving;
        after.changedAt = record.at;
        // The first maintenance period of a VM that failed before it ever served starts at its recovery.
        after.maintainedAt = vm->detail == joinDetail ? record.at : vm->maintainedAt;
        after.detail.clear();
        put(std::move(after));
        return true;
    }

    bool operator()(const vm_moved &change)
    {
        const vm_record *vm = find(change.vm, change.epoch, vm_state::Stopped);
        if (vm == nullptr) {
            return false;
        }
        if (vm->cause != drain_cause::Move || vm->detail != change.pool) {
            return fail(failure_code::WrongState, change.vm, "a drain for a move to pool " + change.pool);
        }
        if (!state.m_config.pools.contains(change.pool)) {
            return fail(failure_code::UnknownPool, change.pool, "a pool of the configuration");
        }
        vm_record after = *vm;
        after.pool = change.pool;
        after.desiredPool = change.pool;
        after.epoch = change.epoch + 1;
        after.detail.clear();
        after.changedAt = record.at;
        put(std::move(after));
        return true;
    }
};

bool fleet_state::apply(const log_record &record, const file_source &files, failure &reason)
{
    if (record.revision != m_revision + 1) {
        reason = failure{failure_code::RevisionGap, std::to_string(record.revision), {}, "revision " + std::to_string(m_revision + 1)};
        return false;
    }
    change_applier applier{*this, record, files, reason, {}, {}, {}};
    for (const fleet_change &change : record.changes) {
        if (!std::visit(applier, change)) {
            applier.rollBack();
            return false;
        }
    }
    m_revision = record.revision;
    return true;
}

bool fleet_state::skip(const log_record &record, failure &reason)
{
    if (record.revision != m_revision + 1) {
        reason = failure{failure_code::RevisionGap, std::to_string(record.revision), {}, "revision " + std::to_string(m_revision + 1)};
        return false;
    }
    m_revision = record.revision;
    return true;
}

std::string_view fleet_state::stateName(vm_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

} // namespace daisypass
