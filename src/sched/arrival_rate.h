#pragma once

// How much work arrives in a pool now, from its latest jobs.
//
//     arrival_rate rate;
//     rate.add(workOf(job), now);              // for each accepted job
//     resources needed = rate.at(now);         // what keeps up with it
//
// The load it answers: a queue's turn begins within a second. Executors take longer than that to come, so their number must
// follow the jobs that arrive and not the backlog that these leave.

#include "sched/model.h"

#include <deque>

namespace daisypass::sched {

/** Resources held over time, in thousandths of a core and MB, times milliseconds. */
struct resource_time
{
    double cpu = 0;
    double memoryMb = 0;
};

/** What a job's tasks take by their estimates; long-running steps are left out. */
resource_time workOf(const job_spec &job);

class arrival_rate
{
public:
    void add(const resource_time &work, time_ms now);
    /** Resources that the arriving work keeps busy, averaged over the latest jobs. */
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
