#pragma once

// Client of executors: orders to start, stop and throttle a run, and the long poll that extends the leases of an executor's runs and
// lists them.
//
//     executor_client client(directSender(http));
//     client.send({{id, address}, stop_order{task, run, fencingToken}}, [](executor_answer answer) { ... });
//
// Every call names the intended executor, so that a different one at the same address answers WrongExecutor. Every order carries
// the fencing token. Callbacks run on the HTTP client's thread.

#include "http/call_sender.h"
#include "platform/executor_orders.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace daisypass {

struct advice_result
{
    order_status status = order_status::Unknown;
    /** Executor ids, each with the ticket that a start order to it must carry. */
    std::vector<std::pair<std::string, std::string>> tickets;
    std::int64_t validMs = 0;
};

/** How long the client waits for the answer to an order. */
std::chrono::milliseconds timeoutOf(const executor_order &order);

class executor_client
{
public:
    explicit executor_client(call_sender sender);

    void send(const executor_order &order, std::function<void(executor_answer)> done);
    /** Asks the advice service which of the executors (at most 100) may run the step. */
    void requestAdvice(const endpoint &service,
                       const std::string &step,
                       const std::vector<std::string> &executors,
                       std::chrono::milliseconds wait,
                       std::function<void(advice_result)> done);

private:
    void
    post(const executor_address &target, const char *path, std::string body, std::chrono::milliseconds timeout, std::function<void(const http_result &)> done);

    call_sender m_send;
};

} // namespace daisypass
