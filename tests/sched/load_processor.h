#pragma once

// The lease holder's processor on a simulated day: does one call after the other, and takes time for each.
//
//     load_processor processor(timeline, [&] { return microsecondsOfWorkSoFar(); });
//     processor.post([&] { scheduler.handle(event, timeline.now()); });    // runs when all earlier calls are done
//
// The time that a call takes is the growth of the work during the call.

#include "load_timeline.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace daisypass::sched {

class load_processor
{
public:
    /** `workUs` returns the processor time of all work so far, in microseconds. */
    load_processor(load_timeline &timeline, std::function<double()> workUs);

    void post(std::function<void()> call);
    /** The present time in microseconds, with the part of the current call that is done. */
    std::int64_t microseconds() const;
    /** The longest time that a call waited for the calls before it. */
    time_ms longestWaitMs() const
    {
        return m_longestWaitMs;
    }

private:
    struct waiting_call
    {
        time_ms postedAt = 0;
        std::function<void()> call;
    };

    void runDue();

    load_timeline &m_timeline;
    std::function<double()> m_workUs;
    std::deque<waiting_call> m_calls;
    bool m_running = false;
    bool m_wakeUpPlanned = false;
    /** When the work so far ends, in microseconds. */
    double m_busyUntilUs = 0;
    double m_countedWorkUs = 0;
    time_ms m_longestWaitMs = 0;
};

} // namespace daisypass::sched
