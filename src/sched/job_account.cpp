#include "sched/job_account.h"

#include "base/saturating_cast.h"
#include "sched/job_record.h"
#include "sched/job_rows.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

// Memory for a job itself, for the description of a step, and for a step of an open occurrence, with the nodes of maps and sets.
constexpr std::size_t jobBaseBytes = 2'500;
constexpr std::size_t stepSpecBytes = 400;
constexpr std::size_t openStepBytes = 500;
// Memory for a row with tasks, which the holder keeps of a divided state, and for a task that is done.
constexpr std::size_t taskRowBytes = 250;
constexpr std::size_t tasksPerByte = 8;
// Jobs above this size are large: repeated ones with very many occurrences, and those with thousands of tasks.
constexpr std::size_t ordinaryJobBytes = 65'536;
// So are jobs with more work than this, by their estimates.
constexpr double ordinaryJobCoreSeconds = 1'000;
// Large jobs may use this part of the memory, so that ordinary ones are accepted beside them.
constexpr std::int64_t largeJobsDivisor = 2;
// Time over which the rate of freed memory is averaged.
constexpr double freedRateSeconds = 10;
constexpr double msPerSecond = 1'000;
constexpr double thousandthsPerCore = 1'000;

double coreSecondsOf(const job_spec &spec)
{
    double seconds = 0;
    for (const step_spec &step : spec.steps) {
        const double cores = static_cast<double>(step.demand.cpu) / thousandthsPerCore;
        seconds += cores * static_cast<double>(step.taskCount) * static_cast<double>(step.estimateMs) / msPerSecond;
    }
    return seconds * static_cast<double>(std::max(1, spec.repeatCount));
}

} // namespace

job_size openJobSize(const job_spec &spec)
{
    const std::size_t tasks = taskCountOf(spec.steps);
    const std::size_t occurrences = std::min(static_cast<std::size_t>(std::max(1, spec.repeatCount)), maxOpenOccurrences(spec));
    const std::size_t perOccurrence = spec.steps.size() * openStepBytes + tasks / maxTasksPerRow * taskRowBytes + tasks / tasksPerByte;
    const std::size_t bytes = jobBaseBytes + spec.payload.size() + spec.steps.size() * stepSpecBytes + occurrences * perOccurrence;
    return {bytes, bytes > ordinaryJobBytes || coreSecondsOf(spec) > ordinaryJobCoreSeconds};
}

job_account::job_account(std::size_t capacityBytes)
    : m_capacityBytes(static_cast<std::int64_t>(capacityBytes))
{
}

void job_account::add(const job_size &job)
{
    m_usedBytes += static_cast<std::int64_t>(job.bytes);
    m_largeJobBytes += job.large ? static_cast<std::int64_t>(job.bytes) : 0;
}

void job_account::remove(const job_size &job, time_ms now)
{
    m_usedBytes -= static_cast<std::int64_t>(job.bytes);
    m_largeJobBytes -= job.large ? static_cast<std::int64_t>(job.bytes) : 0;
    m_freedPerSecond = freedPerSecond(now) + static_cast<double>(job.bytes) / freedRateSeconds;
    m_freedAt = now;
}

job_room job_account::room(time_ms now) const
{
    job_room left;
    left.bytes = m_capacityBytes - m_usedBytes;
    left.largeJobBytes = std::min(left.bytes, m_capacityBytes / largeJobsDivisor - m_largeJobBytes);
    left.freedBytesPerSecond = saturatingCast<std::int64_t>(freedPerSecond(now));
    return left;
}

double job_account::freedPerSecond(time_ms now) const
{
    const double elapsedSeconds = static_cast<double>(now - m_freedAt) / msPerSecond;
    return m_freedPerSecond * std::exp(-elapsedSeconds / freedRateSeconds);
}

} // namespace daisypass::sched
