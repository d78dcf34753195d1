#pragma once

// Clocks in milliseconds. See time.h for the clocks in microseconds.

#include <cstdint>

namespace daisypass {

/** Milliseconds of a monotonic clock that includes the time in which the machine was suspended (CLOCK_BOOTTIME). Leases are measured with it. */
std::int64_t steadyMillis();
/** Unix time in milliseconds. The system clock can be set, so this time can jump. */
std::int64_t unixMillis();

} // namespace daisypass
