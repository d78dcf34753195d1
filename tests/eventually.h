#pragma once

// Waits until other threads have made a condition true, instead of sleeping for a fixed time.
//
//     CHECK(eventually([&] { return entry.ready(); }));

#include <chrono>
#include <thread>

namespace daisypass {

/** True as soon as the condition is true; false after 20 s, which is far longer than any condition of a test takes. */
template<typename Condition>
bool eventually(Condition condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace daisypass
