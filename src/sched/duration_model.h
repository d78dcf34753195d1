#pragma once

// Learns how long the tasks of a queue take from what their callers estimate, where the estimates turn out to be wrong.
//
//     duration_model model;
//     model.add(queue, estimateMs, durationMs);               // for the first task of each step that is done
//     const std::int64_t expected = model.expectedMs(queue, estimateMs);
//
// The order of jobs, their lateness and the size of pools rest on durations. Estimates that are off by half their value order the jobs well
// enough and are used as they are.

#include "sched/model.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace daisypass::sched {

class duration_model
{
public:
    void add(const queue_key &queue, std::int64_t estimateMs, std::int64_t durationMs);
    /** The expected duration of a task with this estimate; the estimate itself while the queue's estimates are good or too few are known. */
    std::int64_t expectedMs(const queue_key &queue, std::int64_t estimateMs) const;
    /** Whether the queue's estimates are wrong, as far as is known. */
    bool corrects(const queue_key &queue) const;
    /** Number of queues whose estimates are wrong. */
    std::size_t correctedQueues() const;

private:
    // Decayed sums over the logarithms of estimates (x) and durations (y).
    struct sums
    {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;

        bool estimatesAreWrong() const;
    };

    std::map<queue_key, sums> m_queues;
};

} // namespace daisypass::sched
