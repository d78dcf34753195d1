#pragma once

// The memory that the lease holder needs for jobs, and what is left of the part of its machine's memory that is meant for them. All nodes learn
// it with the lease, so that they refuse a job that the holder, or its successor, couldn't carry.
//
//     job_account account(bounds.jobBytes);
//     account.add(openJobSize(spec));
//     account.remove(openJobSize(spec), now);
//     job_room room = account.room(now);

#include "sched/model.h"

#include <cstddef>
#include <cstdint>

namespace daisypass::sched {

struct job_size
{
    std::size_t bytes = 0;
    /** The job needs much memory, or has so much work that it keeps its memory for long, and must leave room for ordinary ones. */
    bool large = false;
};

/** Of a job that has ended, until its submission is deleted. */
inline constexpr job_size endedJobSize{1'200, false};

/** The most memory that a lease holder needs for the job while it is open, without its runs, whose number the executors limit. */
job_size openJobSize(const job_spec &spec);

/** What a lease holder can still take. */
struct job_room
{
    /** Free memory for ordinary jobs. */
    std::int64_t bytes = 0;
    /** Free memory for large jobs, which may take a part of it only. */
    std::int64_t largeJobBytes = 0;
    /** Memory that ending jobs have freed lately. */
    std::int64_t freedBytesPerSecond = 0;

    std::int64_t bytesFor(const job_size &job) const
    {
        return job.large ? largeJobBytes : bytes;
    }
};

class job_account
{
public:
    explicit job_account(std::size_t capacityBytes);

    void add(const job_size &job);
    void remove(const job_size &job, time_ms now);

    std::int64_t usedBytes() const
    {
        return m_usedBytes;
    }
    job_room room(time_ms now) const;

private:
    double freedPerSecond(time_ms now) const;

    std::int64_t m_capacityBytes;
    std::int64_t m_usedBytes = 0;
    std::int64_t m_largeJobBytes = 0;
    /** Exponentially decaying rate as of m_freedAt. */
    double m_freedPerSecond = 0;
    time_ms m_freedAt = 0;
};

} // namespace daisypass::sched
