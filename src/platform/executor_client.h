#pragma once

// Orders to executors: start, stop, pace, and the long poll that extends their lease and lists their runs.
//
// Every call names the intended executor; another one at the same address answers WrongExecutor. Every order carries the
// fencing token. Callbacks run on the HTTP client's thread.

#include "http/call_sender.h"
#include "sched/events.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace daisypass {

using sched::order_status;

struct order_result
{
    order_status status = order_status::Unknown;
    /** The executor's own clock when it answered. */
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
};

struct hold_result
{
    order_status status = order_status::Unknown;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
    std::vector<sched::listed_run> runs;
    std::vector<sched::listed_end> ends;
    /** The list of ends is full, so others may be behind it. */
    bool moreEnds = false;
};

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
    /** End of the lease on the executor's clock. */
    std::int64_t leaseEndMs = 0;
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
};

struct hold_order
{
    std::int64_t fencingToken = 0;
    /** Ends up to this number are forgotten by the executor. */
    std::int64_t acknowledged = 0;
    /** Without a value the lease is not extended. */
    std::optional<std::int64_t> leaseEndMs;
    /** Longest wait for an end, at most 2,000 ms. */
    std::chrono::milliseconds wait{0};
};

struct advice_result
{
    order_status status = order_status::Unknown;
    /** Executor ids, each with the ticket that a start there must carry. */
    std::vector<std::pair<std::string, std::string>> tickets;
    std::int64_t validMs = 0;
};

class executor_client
{
public:
    explicit executor_client(call_sender sender);

    void start(const executor_address &target, const start_order &order, std::function<void(order_result)> done);
    void stop(const executor_address &target, const sched::task_id &task, int run, std::int64_t fencingToken, std::function<void(order_result)> done);
    void
    pace(const executor_address &target, const sched::task_id &task, int run, int percent, std::int64_t fencingToken, std::function<void(order_result)> done);
    void hold(const executor_address &target, const hold_order &order, std::function<void(hold_result)> done);
    /** Asks the advice service which of the executors (at most 100) may run the step. */
    void advise(const endpoint &service, const std::string &step, const std::vector<std::string> &executors, std::function<void(advice_result)> done);

private:
    void
    post(const executor_address &target, const char *path, std::string body, std::chrono::milliseconds timeout, std::function<void(const http_result &)> done);

    call_sender m_send;
};

} // namespace daisypass
