#include "sched/suspect_trials.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// While other tasks wait for room, at most one executor of a pool in `trialDivisor` is kept for trials, and one in `crashDivisor` for trials
// that will probably end in a crash. Otherwise one in `crashDivisor` is left for tasks that come.
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

std::size_t trialsWithoutScarcity(std::size_t executors)
{
    return std::max<std::size_t>(1, executors - std::min(executors, shareOf(executors, crashDivisor)));
}

// A full group costs one executor, as a single first task of a step does, and judges all its members.
int rankOf(const waiting_suspect &suspect, bool groupIsFull)
{
    if (suspect.longRunning) {
        return 0;
    }
    switch (suspect.kind) {
    case suspicion::Shared:
        return 1;
    case suspicion::Untried:
        return 3;
    case suspicion::Sole:
        return groupIsFull && suspect.mayShare ? 2 : 4;
    }
    return 4;
}

} // namespace

void sortForTrials(std::vector<waiting_suspect> &waiting)
{
    const std::ptrdiff_t sharing = std::count_if(waiting.begin(), waiting.end(), [](const waiting_suspect &suspect) {
        return suspect.mayShare;
    });
    const bool groupIsFull = sharing >= static_cast<std::ptrdiff_t>(maxSuspectsPerTrial);
    std::sort(waiting.begin(), waiting.end(), [groupIsFull](const waiting_suspect &a, const waiting_suspect &b) {
        return std::forward_as_tuple(rankOf(a, groupIsFull), a.kind, a.waitingSince, a.task)
            < std::forward_as_tuple(rankOf(b, groupIsFull), b.kind, b.waitingSince, b.task);
    });
}

trial_quota::trial_quota(std::size_t executors, bool roomIsScarce)
    : m_left(roomIsScarce ? shareOf(executors, trialDivisor) : trialsWithoutScarcity(executors))
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
