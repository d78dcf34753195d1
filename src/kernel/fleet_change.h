#pragma once

// The changes of the fleet log. Each change states a fact that was decided on the state just before it.
// Rows of the log are JSON text; see encodeChanges() and decodeChanges().

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

using revision_number = std::uint64_t;
using incarnation_number = std::uint64_t;

struct configuration_applied
{
    /** Revision of the configuration that the operator started from. */
    revision_number base = 0;
    std::vector<file_reference> changed;
    std::vector<std::string> removed;
    std::string author;
};

struct entry_joined
{
    std::string entry;
    incarnation_number incarnation = 0;
    endpoint callers;
    endpoint peers;
    std::string availabilityZone;
};

struct entry_left
{
    std::string entry;
    incarnation_number incarnation = 0;
};

/** The platform says that the entry's VM is gone. */
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
    /** The wave of a maintenance drain, or the destination pool of a move. */
    std::string detail;
};

struct drain_cancelled
{
    std::string vm;
    std::uint64_t epoch = 0;
};

/** An entry's statement that it has nothing in flight on the drained VM and will send nothing more in this epoch. */
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

/** The VM changes its pool; it must be stopped by a drain whose cause is Move. */
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

/** The fixed lower-case name of the type, for example "drain_begun". */
std::string_view changeName(const fleet_change &change);

/** One line for people, for example "drain_begun vm-03 epoch 8 maintenance monthly". */
std::string describeChange(const fleet_change &change);

/** One row of the log: what was decided together, by whom, and at which wall-clock time. */
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
