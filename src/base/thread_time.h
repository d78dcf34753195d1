#pragma once

// Processor time of a running thread, for gauges of the cost of each part of a process.

#include <chrono>
#include <thread>

namespace daisypass {

/** Returns the processor time used by the thread, or zero if the thread has ended or was never started. */
std::chrono::microseconds threadProcessorTime(std::thread &thread);

} // namespace daisypass
