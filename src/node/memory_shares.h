#pragma once

// The parts of a machine's memory that a node may use for what comes from outside. The rest is for the program, its runs, and buffers of the
// operating system.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace daisypass {

inline constexpr std::int64_t bytesPerMegabyte = 1 << 20;

/** For connections and requests of clients, in bytes. */
constexpr std::int64_t clientMemoryBytes(std::int64_t memoryMb)
{
    constexpr std::int64_t divisor = 4;
    return memoryMb * bytesPerMegabyte / divisor;
}

/** For accepted jobs, in bytes. A machine with less memory may have to take them over. */
constexpr std::size_t jobMemoryBytes(std::int64_t memoryMb)
{
    constexpr std::int64_t divisor = 8;
    return static_cast<std::size_t>(std::max<std::int64_t>(0, memoryMb) * bytesPerMegabyte / divisor);
}

} // namespace daisypass
