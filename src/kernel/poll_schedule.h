#pragma once

// Decides when to poll the store next: at a fixed interval while polls succeed, after an exponential backoff with jitter while they fail.
//
//     poll_schedule schedule(timing);
//     schedule.failed(now, random);
//     timestamp due = schedule.due();

#include "base/time.h"

#include <cstdint>

namespace daisypass {

struct poll_timing
{
    duration interval = std::chrono::seconds(1);
    /** Bounds of the delay after a failed poll. */
    duration minBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::seconds(10);
};

class poll_schedule
{
public:
    explicit poll_schedule(poll_timing timing);

    /** Records a successful poll that started at `startedAt`. The next one is due one interval later, plus or minus 5%. */
    void succeeded(timestamp startedAt, std::uint64_t random);
    /** Records a failed poll. The next one is due after a random delay between `minBackoff` and a bound that doubles with each consecutive failure, up to
     * `maxBackoff`. */
    void failed(timestamp now, std::uint64_t random);

    timestamp due() const
    {
        return m_due;
    }
    /** Number of consecutive failures. */
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
