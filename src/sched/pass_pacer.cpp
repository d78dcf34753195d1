#include "sched/pass_pacer.h"

#include "base/saturating_cast.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

constexpr double usPerMs = 1'000;

} // namespace

pass_pacer::pass_pacer(const pass_limits &limits)
    : m_limits(limits)
{
}

void pass_pacer::ran(time_ms startedAt, std::int64_t tookUs)
{
    const time_ms interval = saturatingCast<time_ms>(static_cast<double>(tookUs) / usPerMs / m_limits.maxShare);
    m_dueAt = startedAt + std::clamp(interval, m_limits.minIntervalMs, m_limits.maxIntervalMs);
}

} // namespace daisypass::sched
