#pragma once

// Estimates the rate at which work arrives in a pool from its latest jobs.
//
//     arrival_rate rate;
//     rate.add(workOf(job), now);              // for each accepted job
//     resources needed = rate.at(now);         // capacity that keeps up with the arrivals
//
// A burst of demand on a queue builds up within a second. Executors take longer than that to start, so their number must follow
// the arrival rate and not the backlog, which grows later.

#include "sched/model.h"

#include <deque>

namespace daisypass::sched {

/** Resources multiplied by the time that they are in use: thousandths of a core times milliseconds, and MB times milliseconds. */
struct resource_time
{
    double cpu = 0;
    double memoryMb = 0;
};

/** Estimated work of all tasks of a job; long-running steps are left out. */
resource_time workOf(const job_spec &job);

class arrival_rate
{
public:
    void add(const resource_time &work, time_ms now);
    /** Resources that the arriving work keeps in use, averaged over the latest jobs; zero without a recent job. */
    resources at(time_ms now) const;

private:
    struct arrival
    {
        time_ms at = 0;
        resource_time work;
    };

    std::deque<arrival> m_latest;
};

} // namespace daisypass::sched
