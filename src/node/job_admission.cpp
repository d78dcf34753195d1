#include "node/job_admission.h"

#include <algorithm>

namespace daisypass {
namespace {

// The holder has read an accepted job, and told its room since, within this time.
constexpr sched::time_ms countedWithinMs = 2'000;
constexpr std::int64_t minRetryAfterSeconds = 1;
constexpr std::int64_t maxRetryAfterSeconds = 60;

int retryAfterSeconds(std::int64_t missingBytes, std::int64_t freedBytesPerSecond)
{
    if (freedBytesPerSecond <= 0) {
        return static_cast<int>(maxRetryAfterSeconds);
    }
    return static_cast<int>(std::clamp(missingBytes / freedBytesPerSecond + 1, minRetryAfterSeconds, maxRetryAfterSeconds));
}

} // namespace

void job_admission::onRoom(const sched::job_room &room, sched::time_ms now)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_room = room;
    m_roomReadAt = now;
}

std::optional<job_refusal> job_admission::decide(const sched::job_size &job, sched::time_ms now)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    while (!m_accepted.empty() && now - m_accepted.front().at > countedWithinMs) {
        m_accepted.pop_front();
    }
    const std::int64_t needed = static_cast<std::int64_t>(job.bytes);
    const std::int64_t free = m_room ? freeBytesFor(job) : needed;
    if (needed <= free) {
        m_accepted.push_back({now, job});
        return std::nullopt;
    }
    return job_refusal{job.bytes, free, now - m_roomReadAt, retryAfterSeconds(needed - free, m_room->freedBytesPerSecond)};
}

std::int64_t job_admission::freeBytesFor(const sched::job_size &job) const
{
    std::int64_t free = m_room->bytesFor(job);
    for (const accepted_job &accepted : m_accepted) {
        const bool counts = !job.large || accepted.size.large;
        free -= counts ? static_cast<std::int64_t>(accepted.size.bytes) : 0;
    }
    return free;
}

} // namespace daisypass
