#pragma once

// The state of a deployment, replayed from the fleet log.
//
//     fleet_state state;
//     failure reason;
//     if (!state.apply(record, files, reason)) { ... }
//
// apply() accepts record n only after record n-1. It refuses a record with a change that would violate an invariant, for example
// an availability budget; the state is then unchanged. Replay is deterministic: entries and controllers at the same revision
// have the same state.
//
// A VM that is new in the configuration starts as Stopped with the detail joinDetail, because its condition is unknown;
// vm_returned puts it into service once a probe has succeeded. A VM that is removed from the configuration is drained with the
// cause Removal, and vm_stopped deletes its record. If it is already Stopped or Failed, its record is deleted at once.

#include "kernel/configuration.h"
#include "kernel/fleet_change.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Detail of a VM that was added by a configuration and has not served yet. */
inline constexpr std::string_view joinDetail = "join";

enum class vm_state {
    Serving,
    Draining,
    Stopped,
    Failed,
};

struct vm_record
{
    std::string id;
    /** The pool that the VM belongs to; changed only by vm_moved. */
    std::string pool;
    /** The pool that the configuration last assigned or that a later move chose; differs from `pool` until the VM has been moved. */
    std::string desiredPool;
    /** Stored here because a VM that was removed from the configuration still has to be drained. */
    endpoint address;
    std::string availabilityZone;
    std::string rack;
    vm_state state = vm_state::Serving;
    /** Incremented by each drain and each move. A new VM starts at the revision that added it, so that no epoch of a VM id is ever reused. */
    std::uint64_t epoch = 0;
    drain_cause cause = drain_cause::Maintenance;
    std::string detail;
    /** Revision at which the current drain began; entries that joined later need not confirm. */
    revision_number drainRevision = 0;
    timestamp changedAt{};
    timestamp maintainedAt{};
};

struct entry_record
{
    std::string id;
    incarnation_number incarnation = 0;
    endpoint callers;
    endpoint peers;
    std::string availabilityZone;
    revision_number joinRevision = 0;
};

class fleet_state
{
public:
    /**
     * Applies one record as a whole or not at all.
     * Fails with RevisionGap, RevisionConflict (configuration base), UnknownVm, UnknownPool, UnknownEntry, WrongState, WrongEpoch,
     * BudgetBreach, Unconfirmed, NotFound (file content) or a failure of the configuration.
     */
    bool apply(const log_record &record, const file_source &files, failure &reason);

    /**
     * Skips a record that apply() can never accept: the revision advances without a change, so that one bad record cannot block
     * the log. Must not be used after NotFound, because file content that is missing here does not make the record invalid.
     * Fails with RevisionGap.
     */
    bool skip(const log_record &record, failure &reason);

    revision_number revision() const
    {
        return m_revision;
    }
    /** Revision of the last configuration change; never decreases. */
    revision_number configurationRevision() const
    {
        return m_configurationRevision;
    }
    const configuration &config() const
    {
        return m_config;
    }
    const std::vector<file_reference> &files() const
    {
        return m_files;
    }
    const std::map<std::string, vm_record, std::less<>> &vms() const
    {
        return m_vms;
    }
    const std::map<std::string, entry_record, std::less<>> &entries() const
    {
        return m_entries;
    }

    /** Name of a state, for example "serving". */
    static std::string_view stateName(vm_state state);

    /** Number of VMs of the pool that are not serving. */
    int unavailable(std::string_view pool) const;
    int serving(std::string_view pool) const;
    /** Number of serving VMs in the pool's largest failure domain at the level of its headroom. */
    int largestLoss(std::string_view pool) const;
    /** Number of VMs that must be serving; 0 for a pool that is no longer configured. */
    int minAvailable(std::string_view pool) const;

    /** Confirmations that are required before this draining VM may stop. */
    std::vector<drain_confirmation> requiredConfirmations(std::string_view vm) const;

    /**
     * Whether this serving VM can be drained now with its pool staying within budget and headroom.
     * Fails with UnknownVm, WrongState, or BudgetBreach with the pool's figures.
     */
    bool mayDrain(std::string_view vm, failure &reason) const;

    /** Encodes the whole state as JSON text, for snapshots. */
    std::string encode() const;
    static std::optional<fleet_state> decode(std::string_view text, const file_source &files, failure &reason);

private:
    struct change_applier;

    // VM counts of one pool by failure domain. They are kept up to date so that a budget check need not iterate over all VMs.
    struct pool_tally
    {
        int members = 0;
        int serving = 0;
        std::map<std::string, int, std::less<>> servingByRack;
        std::map<std::string, int, std::less<>> servingByZone;
    };

    void updateTally(const vm_record &vm, int delta);
    int largestLossExcluding(std::string_view pool, const vm_record *excluded) const;

    revision_number m_revision = 0;
    revision_number m_configurationRevision = 0;
    configuration m_config;
    std::vector<file_reference> m_files;
    std::map<std::string, vm_record, std::less<>> m_vms;
    std::map<std::string, entry_record, std::less<>> m_entries;
    std::map<std::string, pool_tally, std::less<>> m_tallies;
};

} // namespace daisypass
