#pragma once

// Processor time of a running thread, for gauges of what a part of a process costs.

#include <chrono>
#include <thread>

namespace daisypass {

/** Zero if the thread has ended or was never started. */
std::chrono::microseconds threadProcessorTime(std::thread &thread);

} // namespace daisypass
