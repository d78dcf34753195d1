#pragma once

// Helpers of the stand-in programs: timers that share one thread, JSON responses, and waiting for SIGTERM or SIGINT.

#include "http/http_server.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <thread>

namespace daisypass {

/** One thread that runs functions after a delay. Functions whose delay has not passed when it is destroyed never run. */
class timer_thread
{
public:
    timer_thread();
    ~timer_thread();

    void after(std::chrono::microseconds delay, std::function<void()> action);

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

http_response jsonResponse(int status, const nlohmann::json &body);
/** Parses the body as a JSON object; returns an empty object for any other body. */
nlohmann::json jsonBody(const http_request &request);

/** Blocks SIGTERM and SIGINT, so that waitForStop() receives them. Call it before the first thread starts. */
void blockStopSignals();
/** Waits until SIGTERM or SIGINT arrives. */
void waitForStop();

} // namespace daisypass
