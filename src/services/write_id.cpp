#include "services/write_id.h"

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <random>

namespace daisypass {

std::string newWriteId()
{
    static thread_local std::random_device device;
    const std::uint64_t high = std::uint64_t{device()} << 32U | device();
    const std::uint64_t low = std::uint64_t{device()} << 32U | device();
    char text[33];
    std::snprintf(text, sizeof text, "%016" PRIx64 "%016" PRIx64, high, low);
    return text;
}

} // namespace daisypass
