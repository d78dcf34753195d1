#pragma once

// Typed failures.
//
// A function that can fail returns std::optional<T> or bool and takes `failure &reason` as its last parameter.
// On failure it fills in the reason; on success it leaves the reason alone:
//
//     failure reason;
//     std::optional<settings> s = readSettings(path, reason);
//     if (!s) {
//         std::cerr << describe(reason) << '\n';
//     }

#include <string>
#include <string_view>

namespace daisypass {

enum class failure_code {
    None,
    // Files and settings.
    FileUnreadable,
    SyntaxError,
    UnknownKey,
    MissingKey,
    WrongType,
    OutOfRange,
    Duplicate,
    DanglingReference,
    UnknownPolicy,
    BudgetUnreachable,
    WaveCannotFinish,
    BadAddress,
    // Platform and network.
    StoreUnavailable,
    StoreOverloaded,
    StoreConflict,
    StoreOutcomeUnknown,
    NotFound,
    ConnectFailed,
    Timeout,
    BadAnswer,
    PeerUnreachable,
    WrongIncarnation,
    ListenFailed,
    // Fleet changes.
    RevisionConflict,
    RevisionGap,
    UnknownVm,
    UnknownPool,
    UnknownEntry,
    WrongState,
    WrongEpoch,
    BudgetBreach,
    Unconfirmed,
    NotPermitted,
};

/** A position in a file. Lines and columns count from 1; 0 means unknown. */
struct source_position
{
    std::string file;
    int line = 0;
    int column = 0;
};

/** Why an operation failed: a code with its argument and, for input files, the position and what was expected there. */
struct failure
{
    failure_code code = failure_code::None;
    std::string argument;
    source_position where = {};
    std::string expected = {};
};

/** The fixed lower-case name of a code, for example "unknown_key". */
std::string_view codeName(failure_code code);

/** A one-line message for operators: "file:line:column: unknown_key 'slot': expected one of ...". */
std::string describe(const failure &reason);

} // namespace daisypass
