#pragma once

// Orders to executors and the executors' answers, as typed messages that can be sent to an executor or through another node.
//
//     executor_order order{{"i-1", "10.0.0.1:80"}, stop_order{task, run, fencingToken}};
//     client.send(order, [](executor_answer answer) { ... });

#include "sched/events.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisypass {

using sched::order_status;

struct executor_address
{
    std::string id;
    std::string address;
};

struct start_order
{
    sched::task_id task;
    int run = 0;
    std::string payload;
    /** End of the run's lease on the executor's clock. */
    std::int64_t leaseEndMs = 0;
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
};

struct stop_order
{
    sched::task_id task;
    int run = 0;
    std::int64_t fencingToken = 0;
};

/** Limits a best-effort run to a share of its usual speed, in percent. */
struct throttle_order
{
    sched::task_id task;
    int run = 0;
    int percent = 100;
    std::int64_t fencingToken = 0;
};

/** Lists the executor's runs and ends, acknowledges earlier ends, and extends the leases of the runs. */
struct poll_order
{
    std::int64_t fencingToken = 0;
    /** Acknowledges ends up to this number, which the executor then forgets. */
    std::int64_t acknowledged = 0;
    /** New end of the runs' leases on the executor's clock; without a value they are not extended. */
    std::optional<std::int64_t> leaseEndMs;
    /** Longest wait for an end, at most 2,000 ms. */
    std::chrono::milliseconds wait{0};
};

struct executor_order
{
    executor_address target;
    std::variant<start_order, stop_order, throttle_order, poll_order> what;
};

/** The answer to a start, stop or throttle order. */
struct order_result
{
    order_status status = order_status::Unknown;
    /** The executor's own clock when it answered. */
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
};

struct poll_result
{
    order_status status = order_status::Unknown;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
    std::vector<sched::listed_run> runs;
    std::vector<sched::listed_end> ends;
    /** The list of ends has its maximum length, so more ends may follow once these are acknowledged. */
    bool moreEnds = false;
};

/** A poll_result for a poll, an order_result for any other order. */
using executor_answer = std::variant<order_result, poll_result>;

/** The answer that stands for an order of which it isn't known whether it was or will be carried out. */
inline executor_answer unknownAnswerTo(const executor_order &order)
{
    return std::holds_alternative<poll_order>(order.what) ? executor_answer(poll_result{}) : executor_answer(order_result{});
}

} // namespace daisypass
