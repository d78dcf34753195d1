#pragma once

// Limits the calls for advice that are under way. The advice service answers one call after the other, and goes on with calls that their sender
// has given up, so a call that is repeated too early waits behind its own copy.
//
//     advice_calls calls;
//     if (calls.mayAsk()) { const std::int64_t number = calls.add(step, cost, executors.size(), now); ... send the call ... }
//     calls.settle(number, advice_outcome::Answered, now);
//     for (const overdue_advice &call : calls.takeOverdue(now)) { ... the step may be asked for again ... }

#include "sched/model.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace daisypass::sched {

/** Largest number of executors in one call. */
inline constexpr std::size_t maxExecutorsPerAdvice = 30;
/** A call without an answer for so long has none to come. */
inline constexpr time_ms adviceAnswerLimitMs = 20'000;

enum class advice_outcome {
    Answered,
    /** The service has too many calls waiting, or is unhealthy. */
    Refused,
    /** The connection broke, or the answer didn't come within adviceAnswerLimitMs. */
    Lost,
};

/** A call whose answer should have come. Its answer can still be used. */
struct overdue_advice
{
    std::int64_t number = 0;
    task_id step;
};

class advice_calls
{
public:
    advice_calls();

    /** Whether one more call may be sent. */
    bool mayAsk() const;
    /** How many executors a call should name at most, so that others don't wait long for their turn. */
    static std::size_t executorsPerCall(const advice_cost &cost, bool othersWait);
    /** Records a call for the step, which is named by its first task, and returns the call's number. */
    std::int64_t add(const task_id &step, const advice_cost &cost, std::size_t executors, time_ms now);
    /** Records how the call ended. Calls that are not known are ignored. */
    void settle(std::int64_t number, advice_outcome result, time_ms now);
    /** The calls that have become overdue since the last call. */
    std::vector<overdue_advice> takeOverdue(time_ms now);

    /** How many calls may be under way at the same time. */
    std::size_t window() const;
    /** The calls that have no answer and aren't overdue. */
    std::size_t underWay() const;
    /** The time that the service takes for one call, as measured; empty before the first answer. */
    std::optional<double> serviceTimeMs() const
    {
        return m_serviceTimeMs;
    }

private:
    struct open_call
    {
        std::int64_t number = 0;
        task_id step;
        time_ms sentAt = 0;
        time_ms overdueAt = 0;
        /** Calls that were sent before this one and had no answer then. */
        std::size_t ahead = 0;
        bool overdue = false;
    };

    double expectedMs(const advice_cost &cost, std::size_t executors) const;
    void measure(const open_call &call, time_ms now);
    /** Halves the limit, once for the calls that were under way together. */
    void backOff(const open_call &call);

    /** In the order in which they were sent. */
    std::deque<open_call> m_open;
    std::int64_t m_lastNumber = 0;
    std::optional<double> m_serviceTimeMs;
    /** Limits the window after calls without a timely answer. */
    std::size_t m_limit;
    std::int64_t m_lastBeforeBackOff = 0;
    /** Calls in a row that became overdue without an answer between them. */
    int m_overdueInRow = 0;
};

} // namespace daisypass::sched
