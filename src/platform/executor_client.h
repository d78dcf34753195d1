#pragma once

// Client of executors: orders to start, stop and throttle a run, and the long poll that extends the leases of an executor's runs and
// lists them.
//
// Every call names the intended executor, so that a different one at the same address answers WrongExecutor. Every order carries
// the fencing token. Callbacks run on the HTTP client's thread.

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

struct poll_request
{
    std::int64_t fencingToken = 0;
    /** Acknowledges ends up to this number, which the executor then forgets. */
    std::int64_t acknowledged = 0;
    /** New end of the runs' leases on the executor's clock; without a value they are not extended. */
    std::optional<std::int64_t> leaseEndMs;
    /** Longest wait for an end, at most 2,000 ms. */
    std::chrono::milliseconds wait{0};
};

struct advice_result
{
    order_status status = order_status::Unknown;
    /** Executor ids, each with the ticket that a start order to it must carry. */
    std::vector<std::pair<std::string, std::string>> tickets;
    std::int64_t validMs = 0;
};

class executor_client
{
public:
    explicit executor_client(call_sender sender);

    void start(const executor_address &target, const start_order &order, std::function<void(order_result)> done);
    void stop(const executor_address &target, const sched::task_id &task, int run, std::int64_t fencingToken, std::function<void(order_result)> done);
    void throttle(
        const executor_address &target, const sched::task_id &task, int run, int percent, std::int64_t fencingToken, std::function<void(order_result)> done);
    void poll(const executor_address &target, const poll_request &order, std::function<void(poll_result)> done);
    /** Asks the advice service which of the executors (at most 100) may run the step. */
    void requestAdvice(const endpoint &service, const std::string &step, const std::vector<std::string> &executors, std::function<void(advice_result)> done);

private:
    void
    post(const executor_address &target, const char *path, std::string body, std::chrono::milliseconds timeout, std::function<void(const http_result &)> done);

    call_sender m_send;
};

} // namespace daisypass
