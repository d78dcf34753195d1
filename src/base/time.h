#pragma once

// The time types of decision code: microseconds since an origin that the process chooses.
// Tests and benchmarks pass virtual time and processes pass the steady clock, both as the same type.

#include <chrono>

namespace daisypass {

using duration = std::chrono::microseconds;
using timestamp = std::chrono::microseconds;

/** Time of the steady clock. Called by processes only; decision code receives the time as an argument. */
inline timestamp steadyNow()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::steady_clock::now().time_since_epoch());
}

/** Wall-clock time since 1970-01-01 UTC, for times in the fleet log. Called by processes only. */
inline timestamp wallNow()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace daisypass
