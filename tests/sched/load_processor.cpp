#include "load_processor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisypass::sched {
namespace {

constexpr double usPerMs = 1'000;

} // namespace

load_processor::load_processor(load_timeline &timeline, std::function<double()> workUs)
    : m_timeline(timeline)
    , m_workUs(std::move(workUs))
{
}

void load_processor::post(std::function<void()> call)
{
    m_calls.push_back({m_timeline.now(), std::move(call)});
    runDue();
}

std::int64_t load_processor::microseconds() const
{
    const double begunAt = std::max(m_busyUntilUs, static_cast<double>(m_timeline.now()) * usPerMs);
    return static_cast<std::int64_t>(begunAt + m_workUs() - m_countedWorkUs);
}

void load_processor::runDue()
{
    if (m_running || m_wakeUpPlanned) {
        return;
    }
    m_running = true;
    const double endOfMs = static_cast<double>(m_timeline.now() + 1) * usPerMs;
    while (!m_calls.empty() && m_busyUntilUs < endOfMs) {
        const waiting_call next = std::move(m_calls.front());
        m_calls.pop_front();
        m_longestWaitMs = std::max(m_longestWaitMs, m_timeline.now() - next.postedAt);
        next.call();
        const double work = m_workUs();
        m_busyUntilUs = std::max(m_busyUntilUs, static_cast<double>(m_timeline.now()) * usPerMs) + work - m_countedWorkUs;
        m_countedWorkUs = work;
    }
    m_running = false;
    if (!m_calls.empty()) {
        m_wakeUpPlanned = true;
        m_timeline.at(static_cast<time_ms>(std::floor(m_busyUntilUs / usPerMs)), [this] {
            m_wakeUpPlanned = false;
            runDue();
        });
    }
}

} // namespace daisypass::sched
