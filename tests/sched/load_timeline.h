#pragma once

// Event queue on virtual time: calls run in the order of their times, and calls of the same time in the order in which they were added.
//
//     load_timeline timeline;
//     timeline.at(100, [] { ... });
//     timeline.runUntil(1'000);

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
    /** Runs the calls due up to and including `end`, also those that these calls add. */
    void runUntil(time_ms end);

private:
    struct timed_call
    {
        time_ms at;
        std::uint64_t sequence;
        std::function<void()> call;

        bool operator>(const timed_call &other) const;
    };

    // Starts at 1, because the scheduler's records use 0 for "never".
    time_ms m_now = 1;
    std::uint64_t m_sequence = 0;
    std::priority_queue<timed_call, std::vector<timed_call>, std::greater<>> m_calls;
};

} // namespace daisypass::sched
