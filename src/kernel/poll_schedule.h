#pragma once

// When to poll the store next: at a fixed interval while it answers, after a growing random delay while it does not.
//
//     poll_schedule schedule(options);
//     schedule.failed(now, random);
//     timestamp due = schedule.due();

#include "base/time.h"

#include <cstdint>

namespace daisypass {

struct poll_timing
{
    duration interval = std::chrono::seconds(1);
    /** Bounds of the delay after a failure. */
    duration minBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::seconds(10);
};

class poll_schedule
{
public:
    explicit poll_schedule(poll_timing timing);

    /** The next poll is due one interval after this one started, give or take a twentieth. */
    void succeeded(timestamp startedAt, std::uint64_t random);
    /** The next poll is due after a delay from the least back-off up to a bound that doubles with each failure in a row. */
    void failed(timestamp now, std::uint64_t random);

    timestamp due() const
    {
        return m_due;
    }
    int failures() const
    {
        return m_failures;
    }

private:
    poll_timing m_timing;
    timestamp m_due{};
    int m_failures = 0;
};

} // namespace daisypass
