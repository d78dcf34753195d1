#pragma once

// Runs functions on a thread of its own, in the order of their times.
//
//     task_queue timers;
//     timers.postAt(steadyNow() + std::chrono::milliseconds(100), [] { ... });
//
// Functions that have not started at destruction are discarded.

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace daisypass {

class task_queue
{
public:
    task_queue();
    ~task_queue();

    /** Runs the task as soon as possible. */
    void post(std::function<void()> task);
    void postAt(timestamp when, std::function<void()> task);
    /** Waits for the running function to return and discards all others. Idempotent. */
    void stop();

private:
    void run();

    std::mutex m_lock;
    std::condition_variable m_wake;
    std::multimap<timestamp, std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace daisypass
