#pragma once

// The state of a deployment, replayed from the fleet log.
//
//     fleet_state state;
//     failure reason;
//     if (!state.apply(record, files, reason)) { ... }
//
// apply() accepts record n only after n-1 and refuses a change that would break a promise; the state is then unchanged.
// Replay is deterministic: entries and controllers that hold the same revision hold the same state.

#include "kernel/configuration.h"
#include "kernel/fleet_change.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

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
    vm_state state = vm_state::Serving;
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

/** Returns the text of a configuration file by its hash, or nothing. */
using file_source = std::function<std::optional<std::string>(std::string_view hash)>;

class fleet_state
{
public:
    /**
     * Applies one record as a whole or not at all.
     * Fails with RevisionGap, RevisionConflict (configuration base), UnknownVm, UnknownPool, UnknownEntry, WrongState, WrongEpoch,
     * BudgetBreach, Unconfirmed, NotFound (file body) or a failure of the configuration.
     */
    bool apply(const log_record &record, const file_source &files, failure &reason);

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

    /** VMs of the pool that are not serving. */
    int unavailable(std::string_view pool) const;
    int serving(std::string_view pool) const;

    /** Entries that must confirm before this draining VM may stop. */
    std::vector<drain_confirmation> requiredConfirmations(std::string_view vm) const;

    /** Whether draining this VM now keeps its pool within budget and headroom. Fails with BudgetBreach and the pool's figures. */
    bool mayDrain(std::string_view vm, failure &reason) const;

    /** JSON text of the whole state, for snapshots. */
    std::string encode() const;
    static std::optional<fleet_state> decode(std::string_view text, const file_source &files, failure &reason);

private:
    struct change_applier;

    revision_number m_revision = 0;
    revision_number m_configurationRevision = 0;
    configuration m_config;
    std::vector<file_reference> m_files;
    std::map<std::string, vm_record, std::less<>> m_vms;
    std::map<std::string, entry_record, std::less<>> m_entries;
};

} // namespace daisypass
