#pragma once

// Waits for a condition that other threads bring about, instead of sleeping for a guessed time.

#include <chrono>
#include <thread>

namespace daisypass {

/** True once the condition holds; false if it still does not after 20 s, far more than any condition of a test takes. */
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
