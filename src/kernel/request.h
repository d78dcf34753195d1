#pragma once

// A request as decision code sees it, and the fates it can have.

#include "base/time.h"
#include "kernel/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisypass {

/** Identifies a request within the entry that accepted it. */
using request_number = std::uint64_t;

/** Why a request was not run. Told to the caller only when no byte reached a target or the target refused before running. */
enum class refusal_reason {
    Overloaded,
    TeamOverLimit,
    DeadlinePassed,
    NeverRunnable,
    UnknownPool,
    UnknownTeam,
    TeamNotPermitted,
    BadRequest,
    TicketRequired,
    StoreUnavailable,
    NoTarget,
    ShuttingDown,
    Isolated,
    Cancelled,
};

/** Lower-case name, for example "overloaded". */
std::string_view reasonName(refusal_reason reason);

/** How one attempt on a target ended. */
enum class attempt_outcome {
    /** The whole answer arrived and the target says that it ran. */
    Completed,
    /** The whole answer arrived and the target says that the run failed (5xx). */
    Failed,
    /** The target refused before running anything. */
    Refused,
    /** No byte of the request was sent. */
    NotSent,
    /** Bytes were sent and no whole answer arrived. */
    Unknown,
};

struct request_info
{
    request_number number = 0;
    std::string pool;
    std::string team;
    /** Class declared by the caller; empty means the team's default class. */
    std::string requestClass;
    bool repeatable = false;
    timestamp arrived{};
    timestamp deadline{};
    machine_size needs;
};

} // namespace daisypass
