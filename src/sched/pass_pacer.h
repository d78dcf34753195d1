#pragma once

// Spaces passes over all jobs, runs or VMs by the time that they take, so that they leave the processor to other work.
//
//     pass_pacer pacer({minIntervalMs, maxIntervalMs, maxShare});
//     if (pacer.isDue(now)) { ... make the pass ... pacer.ran(now, tookUs); }

#include "sched/model.h"

#include <cstdint>

namespace daisypass::sched {

struct pass_limits
{
    /** Time between the starts of two passes, in ms; the longer one also holds for passes that take more than their share. */
    time_ms minIntervalMs = 0;
    time_ms maxIntervalMs = 0;
    /** Share of the time that the passes may take, above 0 and up to 1. */
    double maxShare = 1;
};

class pass_pacer
{
public:
    explicit pass_pacer(const pass_limits &limits);

    bool isDue(time_ms now) const
    {
        return now >= m_dueAt;
    }
    time_ms dueAt() const
    {
        return m_dueAt;
    }
    /** Records a pass that started at `startedAt` and took this time, in microseconds. */
    void ran(time_ms startedAt, std::int64_t tookUs);

private:
    pass_limits m_limits;
    time_ms m_dueAt = 0;
};

} // namespace daisypass::sched
