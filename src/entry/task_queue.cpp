#include "entry/task_queue.h"

#include <chrono>

namespace daisypass {

task_queue::task_queue()
    : m_thread([this] {
        run();
    })
{
}

task_queue::~task_queue()
{
    stop();
}

void task_queue::post(std::function<void()> task)
{
    postAt(timestamp{}, std::move(task));
}

void task_queue::postAt(timestamp when, std::function<void()> task)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_tasks.emplace(when, std::move(task));
    }
    m_wake.notify_one();
}

void task_queue::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void task_queue::run()
{
    std::unique_lock<std::mutex> guard(m_lock);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_wake.wait(guard);
            continue;
        }
        const timestamp next = m_tasks.begin()->first;
        if (next > steadyNow()) {
            m_wake.wait_until(guard, std::chrono::steady_clock::time_point(next));
            continue;
        }
        std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        guard.unlock();
        task();
        guard.lock();
    }
}

} // namespace daisypass
