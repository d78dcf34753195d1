#include "sched/suspect_trials.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// At most one executor of a pool in this many is kept for trials, and in this many for trials that will probably end in a crash. The others
// are for tasks against which nothing speaks.
constexpr std::size_t trialDivisor = 2;
constexpr std::size_t crashDivisor = 4;

bool probablyCrashes(suspicion kind)
{
    return kind != suspicion::Shared;
}

std::size_t shareOf(std::size_t executors, std::size_t divisor)
{
    return std::max<std::size_t>(1, executors / divisor);
}

} // namespace

bool isTriedBefore(const waiting_suspect &a, const waiting_suspect &b)
{
    return std::tie(b.longRunning, a.kind, a.waitingSince, a.task) < std::tie(a.longRunning, b.kind, b.waitingSince, b.task);
}

trial_quota::trial_quota(std::size_t executors, bool roomIsScarce)
    : m_left(shareOf(executors, trialDivisor))
    , m_leftForCrashes(roomIsScarce ? shareOf(executors, crashDivisor) : m_left)
{
}

void trial_quota::add(suspicion kind)
{
    m_left -= std::min<std::size_t>(m_left, 1);
    if (probablyCrashes(kind)) {
        m_leftForCrashes -= std::min<std::size_t>(m_leftForCrashes, 1);
    }
}

bool trial_quota::has(suspicion kind) const
{
    return m_left > 0 && (!probablyCrashes(kind) || m_leftForCrashes > 0);
}

bool trial_quota::take(suspicion kind)
{
    if (!has(kind)) {
        return false;
    }
    add(kind);
    return true;
}

} // namespace daisypass::sched
