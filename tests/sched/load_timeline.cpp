#include "load_timeline.h"

#include <tuple>

namespace daisypass::sched {

bool load_timeline::timed_call::operator>(const timed_call &other) const
{
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
}

void load_timeline::at(time_ms when, std::function<void()> call)
{
    m_calls.push({when, ++m_sequence, std::move(call)});
}

void load_timeline::repeat(time_ms first, time_ms every, const std::function<void()> &call)
{
    at(first, [this, every, call] {
        call();
        repeat(m_now + every, every, call);
    });
}

void load_timeline::runUntil(time_ms end)
{
    while (!m_calls.empty() && m_calls.top().at <= end) {
        const timed_call next = m_calls.top();
        m_calls.pop();
        m_now = next.at;
        next.call();
    }
}

} // namespace daisypass::sched
