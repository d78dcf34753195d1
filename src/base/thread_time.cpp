#include "base/thread_time.h"

#include <pthread.h>

#include <ctime>

namespace daisypass {

std::chrono::microseconds threadProcessorTime(std::thread &thread)
{
    clockid_t clock{};
    timespec used{};
    if (!thread.joinable() || pthread_getcpuclockid(thread.native_handle(), &clock) != 0 || clock_gettime(clock, &used) != 0) {
        return {};
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

} // namespace daisypass
