#pragma once

// Decides whether this node accepts a job, by the room that the lease holder has told and by the jobs that this node has accepted since.
//
//     job_admission admission;
//     admission.onRoom(room, now);                          // with each renewal of the lease that is read
//     if (std::optional<job_refusal> refusal = admission.decide(openJobSize(job), now)) { ... refuse the job ... }

#include "sched/job_account.h"
#include "sched/model.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

namespace daisypass {

/** Why a job isn't accepted, and when the caller may try again. */
struct job_refusal
{
    std::size_t neededBytes = 0;
    std::int64_t freeBytes = 0;
    /** Age of what the lease holder has told. */
    sched::time_ms ageMs = 0;
    int retryAfterSeconds = 0;
};

class job_admission
{
public:
    void onRoom(const sched::job_room &room, sched::time_ms now);
    /** Empty if the job is accepted, which takes its bytes off the room. While no holder has told its room, all jobs are. */
    std::optional<job_refusal> decide(const sched::job_size &job, sched::time_ms now);

private:
    struct accepted_job
    {
        sched::time_ms at = 0;
        sched::job_size size;
    };

    /** What is left for a job of this size beside those that the holder may not have counted. */
    std::int64_t freeBytesFor(const sched::job_size &job) const;

    std::mutex m_lock;
    std::optional<sched::job_room> m_room;
    sched::time_ms m_roomReadAt = 0;
    /** The jobs that this node has accepted lately. */
    std::deque<accepted_job> m_accepted;
};

} // namespace daisypass
