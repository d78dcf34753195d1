#pragma once

// What the stand-in programs share: timers without a thread each, small answers, and waiting for SIGTERM.

#include "http/http_server.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <thread>

namespace daisypass {

/** One thread that runs functions after a delay. Functions still waiting when it is destroyed never run. */
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

http_response jsonAnswer(int status, const nlohmann::json &body);
/** The body as an object; anything else reads as an empty object. */
nlohmann::json jsonBody(const http_request &request);

/** Blocks until SIGTERM or SIGINT. Call blockStopSignals() before the first thread starts. */
void blockStopSignals();
void waitForStop();

} // namespace daisypass
