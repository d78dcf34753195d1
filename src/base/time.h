#pragma once

// Time as decision code sees it: a count of microseconds since an origin that the process chooses.
// Virtual time in tests and benchmarks and the steady clock in processes are the same type.

#include <chrono>

namespace daisypass {

using duration = std::chrono::microseconds;
using timestamp = std::chrono::microseconds;

/** The steady clock; for processes only, never called from decision code. */
inline timestamp steadyNow()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::steady_clock::now().time_since_epoch());
}

/** Wall-clock time since 1970-01-01 UTC, for what is written to the fleet log; for processes only. */
inline timestamp wallNow()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace daisypass
