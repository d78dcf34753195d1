#pragma once

// The types of change in the fleet log. A change is a decision about the fleet state just before it.
//
//     log_record record{state.revision() + 1, writeId, now, {vm_failed{"vm-03"}}};
//     std::string row = encodeRecord(record);
//
// Each row of the log is one log_record as JSON text.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "base/time.h"
#include "kernel/configuration.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

/** Number of a log record; consecutive, from 1. */
using revision_number = std::uint64_t;
/** Identifies one run of an entry's process; a restarted process has another one. */
using incarnation_number = std::uint64_t;

struct configuration_applied
{
    /** Revision of the configuration that the operator changed; the change is refused if that is no longer the current one. */
    revision_number base = 0;
    std::vector<file_reference> changed;
    std::vector<std::string> removed;
    std::string author;
};

struct entry_joined
{
    std::string entry;
    incarnation_number incarnation = 0;
    /** Addresses at which the entry listens for callers and for other entries. */
    endpoint callers;
    endpoint peers;
    std::string availabilityZone;
};

struct entry_left
{
    std::string entry;
    incarnation_number incarnation = 0;
};

/** The entry has ended without leaving: the platform reports its VM as gone. */
struct entry_removed
{
    std::string entry;
    incarnation_number incarnation = 0;
};

enum class drain_cause {
    Maintenance,
    Move,
    Removal,
};

struct drain_begun
{
    std::string vm;
    std::uint64_t epoch = 0;
    drain_cause cause = drain_cause::Maintenance;
    /** The wave of a maintenance drain, the destination pool of a move, or what removed the VM ("configuration" or "platform"). */
    std::string detail;
};

struct drain_cancelled
{
    std::string vm;
    std::uint64_t epoch = 0;
};

/** An entry's confirmation that it has no requests in flight on the drained VM and will send none in this epoch. */
struct drain_confirmation
{
    std::string entry;
    incarnation_number incarnation = 0;

    bool operator==(const drain_confirmation &) const = default;
};

struct vm_stopped
{
    std::string vm;
    std::uint64_t epoch = 0;
    std::vector<drain_confirmation> confirmations;
};

struct vm_returned
{
    std::string vm;
    std::uint64_t epoch = 0;
};

struct vm_failed
{
    std::string vm;
};

struct vm_recovered
{
    std::string vm;
};

/** The VM is assigned to another pool. It must have been stopped by a drain with the cause Move. */
struct vm_moved
{
    std::string vm;
    std::uint64_t epoch = 0;
    std::string pool;
};

using fleet_change = std::variant<configuration_applied,
                                  entry_joined,
                                  entry_left,
                                  entry_removed,
                                  drain_begun,
                                  drain_cancelled,
                                  vm_stopped,
                                  vm_returned,
                                  vm_failed,
                                  vm_recovered,
                                  vm_moved>;

/** Name of the type as stored in the log, for example "drain_begun". */
std::string_view changeName(const fleet_change &change);

/** One-line description for operators, for example "drain_begun vm-03 epoch 8 maintenance monthly". */
std::string describeChange(const fleet_change &change);

/** One row of the log: changes that are applied together, the id of the write, and its wall-clock time. */
struct log_record
{
    revision_number revision = 0;
    std::string writeId;
    timestamp at{};
    std::vector<fleet_change> changes;
};

std::string encodeRecord(const log_record &record);

/** Fails with SyntaxError, MissingKey, WrongType or UnknownKey. */
std::optional<log_record> decodeRecord(std::string_view text, failure &reason);

} // namespace daisypass
