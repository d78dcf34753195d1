#pragma once

// The attributes of a request that scheduling decisions use, and its possible outcomes.

#include "base/time.h"
#include "kernel/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisypass {

/** Identifies a request within the entry that accepted it. */
using request_number = std::uint64_t;

/** Why a request was not run. Reported to the caller only if no byte of the request reached a target, or if the target refused it before running it. */
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

/** Returns the lower-case name of a reason, for example "overloaded". */
std::string_view reasonName(refusal_reason reason);

/** How one attempt on a target ended. */
enum class attempt_outcome {
    /** The complete response arrived, and the target reports that the request ran. */
    Completed,
    /** The complete response arrived, and the target reports that the run failed (5xx). */
    Failed,
    /** The target refused the request before running it. */
    Refused,
    /** No byte of the request was sent. */
    NotSent,
    /** Bytes of the request were sent, but no complete response arrived. */
    Unknown,
};

struct request_info
{
    request_number number = 0;
    std::string pool;
    std::string team;
    /** Class declared by the caller; empty means the team's default class. */
    std::string requestClass;
    /** Whether the request may run more than once. */
    bool repeatable = false;
    timestamp arrived{};
    timestamp deadline{};
    machine_size needs;
};

} // namespace daisypass
