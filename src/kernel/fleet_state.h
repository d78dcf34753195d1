#pragma once

// The state of a deployment, replayed from the fleet log.
//
//     fleet_state state;
//     failure reason;
//     if (!state.apply(record, files, reason)) { ... }
//
// apply() accepts record n only after n-1 and refuses a change that would break a promise; the state is then unchanged.
// Replay is deterministic: entries and controllers that hold the same revision hold the same state.
//
// A VM that a configuration names for the first time is Stopped with the detail joinDetail, because nothing is known about it
// yet; vm_returned makes it serve once a probe succeeded. A VM that a configuration no longer names is drained with the cause
// Removal, and its record ends with vm_stopped. If it is Stopped or Failed, its record ends at once.

#include "kernel/configuration.h"
#include "kernel/fleet_change.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Detail of a VM that was named by the configuration and has not served yet. */
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
    /** The one pool that the VM belongs to; changed by vm_moved only. */
    std::string pool;
    /** The pool that the configuration named last or that a move chose since; differs from `pool` until the VM is moved. */
    std::string desiredPool;
    /** Kept here because a VM that the configuration no longer names is still drained. */
    endpoint address;
    std::string availabilityZone;
    std::string rack;
    vm_state state = vm_state::Serving;
    /** Grows with each drain and each move. A new VM begins at the revision that named it, so that no epoch of an id is ever used twice. */
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
     * BudgetBreach, Unconfirmed, NotFound (file body) or a failure of the configuration.
     */
    bool apply(const log_record &record, const file_source &files, failure &reason);

    /**
     * Counts a record that apply() refused for good as one without effect, so that one bad record cannot stop the log.
     * Not for NotFound: a missing file body is a fault of the reader, not of the record. Fails with RevisionGap.
     */
    bool skip(const log_record &record, failure &reason);

    revision_number revision() const
    {
        return m_revision;
    }
    /** Revision of the last configuration change; never falls. */
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

    /** Texts of the states, for example "serving". */
    static std::string_view stateName(vm_state state);

    /** VMs of the pool that are not serving. */
    int unavailable(std::string_view pool) const;
    int serving(std::string_view pool) const;
    /** Serving VMs that the pool would lose with the largest failure domain that its headroom names. */
    int largestLoss(std::string_view pool) const;
    /** VMs that must serve; 0 for a pool that is not configured any more. */
    int minAvailable(std::string_view pool) const;

    /** entries that must confirm before this draining VM may stop. */
    std::vector<drain_confirmation> requiredConfirmations(std::string_view vm) const;

    /** Whether draining this VM now keeps its pool within budget and headroom. Fails with BudgetBreach and the pool's figures. */
    bool mayDrain(std::string_view vm, failure &reason) const;

    /** JSON text of the whole state, for snapshots. */
    std::string encode() const;
    static std::optional<fleet_state> decode(std::string_view text, const file_source &files, failure &reason);

private:
    struct change_applier;

    // Serving VMs of one pool, counted by failure domain, so that a budget check costs no walk over all VMs.
    struct pool_tally
    {
        int members = 0;
        int serving = 0;
        std::map<std::string, int, std::less<>> servingByRack;
        std::map<std::string, int, std::less<>> servingByZone;
    };

    void count(const vm_record &vm, int step);
    int loss(std::string_view pool, const vm_record *without) const;

    revision_number m_revision = 0;
    revision_number m_configurationRevision = 0;
    configuration m_config;
    std::vector<file_reference> m_files;
    std::map<std::string, vm_record, std::less<>> m_vms;
    std::map<std::string, entry_record, std::less<>> m_entries;
    std::map<std::string, pool_tally, std::less<>> m_tallies;
};

} // namespace daisypass
