#pragma once

// Tells which jobs a tenant has sent beyond the number a second that it is entitled to: a token bucket over the times of acceptance.
//
//     job_rate rate;
//     const bool within = rate.take(weight, job.acceptedUnixMs);    // in the order of acceptance

#include <cstdint>

namespace daisypass::sched {

/** The bucket holds the jobs of this time, and one at least. */
inline constexpr double jobBurstSeconds = 1.0;

class job_rate
{
public:
    /** Whether the job is within the rate. A time before the latest one, from a clock that is behind, refills nothing. */
    bool take(double jobsPerSecond, std::int64_t acceptedUnixMs);

private:
    bool m_started = false;
    double m_tokens = 0;
    std::int64_t m_latestUnixMs = 0;
};

} // namespace daisypass::sched
