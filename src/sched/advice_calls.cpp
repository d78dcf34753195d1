#include "sched/advice_calls.h"

#include "base/saturating_cast.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

// The service refuses calls when 32 wait; the rest is left to calls that an earlier lease holder on this machine has sent.
constexpr std::size_t maxWindow = 24;
// With two calls under way the service has the next one when it has answered the first.
constexpr std::size_t minWindow = 2;
// The window while the service's time for a call is unknown.
constexpr std::size_t firstWindow = 4;
// The calls under way should keep the service busy for this long: longer than an answer and the next call are on their way, and short enough
// that a step that becomes urgent gets its turn soon.
constexpr double busyMs = 500;
// The least time until a call without an answer is overdue, and how many times the expected time is waited for besides.
constexpr time_ms minPatienceMs = 4'000;
constexpr double patienceFactor = 2;
constexpr time_ms maxPatienceMs = 16'000;
constexpr int maxPatienceDoublings = 2;
constexpr double serviceTimeWeight = 0.25;
// The fewest executors in a call, so that it has a fair chance to name one that may run the step.
constexpr std::size_t minExecutorsPerCall = 4;

} // namespace

advice_calls::advice_calls()
    : m_limit(maxWindow)
{
}

std::size_t advice_calls::window() const
{
    if (!m_serviceTimeMs) {
        return std::min(m_limit, firstWindow);
    }
    const double enough = busyMs / std::max(1.0, *m_serviceTimeMs);
    const std::size_t fitting = saturatingCast<std::size_t>(std::min(std::ceil(enough), static_cast<double>(maxWindow)));
    return std::min(m_limit, std::max(fitting, minWindow));
}

std::size_t advice_calls::underWay() const
{
    return static_cast<std::size_t>(std::count_if(m_open.begin(), m_open.end(), [](const open_call &call) {
        return !call.overdue;
    }));
}

bool advice_calls::mayAsk() const
{
    return underWay() < window();
}

// While others wait, naming executors takes no more of a call's time than the decision itself.
std::size_t advice_calls::executorsPerCall(const advice_cost &cost, bool othersWait)
{
    if (!othersWait || cost.eachMs <= 0) {
        return maxExecutorsPerAdvice;
    }
    return std::clamp(static_cast<std::size_t>(cost.decideMs / cost.eachMs), minExecutorsPerCall, maxExecutorsPerAdvice);
}

double advice_calls::expectedMs(const advice_cost &cost, std::size_t executors) const
{
    const double configured = static_cast<double>(cost.decideMs) + static_cast<double>(cost.eachMs) * static_cast<double>(executors);
    return std::max(configured, m_serviceTimeMs.value_or(0));
}

std::int64_t advice_calls::add(const task_id &step, const advice_cost &cost, std::size_t executors, time_ms now)
{
    open_call call;
    call.number = ++m_lastNumber;
    call.step = step;
    call.sentAt = now;
    call.ahead = m_open.size();
    const double expected = expectedMs(cost, executors) * static_cast<double>(call.ahead + 1);
    const time_ms patience = (minPatienceMs + saturatingCast<time_ms>(std::min<double>(patienceFactor * expected, maxPatienceMs)))
        << std::min(m_overdueInRow, maxPatienceDoublings);
    call.overdueAt = now + std::min(patience, maxPatienceMs);
    m_open.push_back(call);
    return call.number;
}

void advice_calls::settle(std::int64_t number, advice_outcome outcome, time_ms now)
{
    const auto found = std::find_if(m_open.begin(), m_open.end(), [number](const open_call &call) {
        return call.number == number;
    });
    if (found == m_open.end()) {
        return;
    }
    const open_call call = *found;
    m_open.erase(found);
    switch (outcome) {
    case advice_outcome::Answered:
        measure(call, now);
        m_overdueInRow = 0;
        m_limit = call.overdue ? m_limit : std::min(maxWindow, m_limit + 1);
        // The service answers in turn, so earlier calls that are overdue have been lost on their way.
        std::erase_if(m_open, [number](const open_call &other) {
            return other.overdue && other.number < number;
        });
        break;
    case advice_outcome::Refused:
        backOff(call);
        break;
    case advice_outcome::Lost:
        break;
    }
}

void advice_calls::measure(const open_call &call, time_ms now)
{
    const double sample = static_cast<double>(now - call.sentAt) / static_cast<double>(call.ahead + 1);
    m_serviceTimeMs = m_serviceTimeMs ? *m_serviceTimeMs + serviceTimeWeight * (sample - *m_serviceTimeMs) : sample;
}

void advice_calls::backOff(const open_call &call)
{
    if (call.number <= m_lastBeforeBackOff) {
        return;
    }
    m_lastBeforeBackOff = m_lastNumber;
    m_limit = std::max<std::size_t>(1, std::min(m_limit, window()) / 2);
}

std::vector<overdue_advice> advice_calls::takeOverdue(time_ms now)
{
    std::erase_if(m_open, [now](const open_call &call) {
        return call.overdue && call.sentAt + adviceAnswerLimitMs < now;
    });
    std::vector<overdue_advice> taken;
    for (open_call &call : m_open) {
        if (call.overdue || call.overdueAt > now) {
            continue;
        }
        call.overdue = true;
        ++m_overdueInRow;
        backOff(call);
        taken.push_back({call.number, call.step});
    }
    return taken;
}

} // namespace daisypass::sched
