#pragma once

// One thread that runs functions, at once or at a given time.
//
//     task_queue timers;
//     timers.postAt(steadyNow() + std::chrono::milliseconds(100), [] { ... });
//
// Functions that are still waiting at destruction are dropped.

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

    void post(std::function<void()> task);
    void postAt(timestamp when, std::function<void()> task);
    /** Waits for the function that runs now; later ones are dropped. Idempotent. */
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
