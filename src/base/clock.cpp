#include "base/clock.h"

#include <ctime>

namespace daisypass {
namespace {

std::int64_t readClock(clockid_t clock)
{
    constexpr std::int64_t millisPerSecond = 1'000;
    constexpr std::int64_t nanosPerMilli = 1'000'000;
    timespec time{};
    clock_gettime(clock, &time);
    return time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli;
}

} // namespace

std::int64_t steadyMillis()
{
    return readClock(CLOCK_BOOTTIME);
}

std::int64_t unixMillis()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace daisypass
