#pragma once

// The clocks of a process.

#include <cstdint>

namespace daisypass {

/** Milliseconds of a clock that never jumps and counts the time in which the machine was suspended. Leases are measured on it. */
std::int64_t steadyMillis();
/** Unix milliseconds; the time of day may jump. */
std::int64_t unixMillis();

} // namespace daisypass
