#pragma once

// Virtual time of a modelled day: calls run in the order of their times, and of their entry where times are equal.

#include "sched/model.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace daisypass::sched {

class load_timeline
{
public:
    time_ms now() const
    {
        return m_now;
    }

    void at(time_ms when, std::function<void()> call);
    void repeat(time_ms first, time_ms every, const std::function<void()> &call);
    /** Runs the calls up to `end`, also those that they add. */
    void runUntil(time_ms end);

private:
    struct timed_call
    {
        time_ms at;
        std::uint64_t order;
        std::function<void()> call;

        bool operator>(const timed_call &other) const;
    };

    // Zero stands for "never" in the scheduler's records.
    time_ms m_now = 1;
    std::uint64_t m_order = 0;
    std::priority_queue<timed_call, std::vector<timed_call>, std::greater<>> m_calls;
};

} // namespace daisypass::sched
