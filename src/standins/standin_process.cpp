#include "standins/standin_process.h"

#include <asio/steady_timer.hpp>

#include <csignal>
#include <memory>

namespace daisypass {
namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

timer_thread::timer_thread()
    : m_work(asio::make_work_guard(m_context))
    , m_thread([this] {
        m_context.run();
    })
{
}

timer_thread::~timer_thread()
{
    m_context.stop();
    m_thread.join();
}

void timer_thread::after(std::chrono::microseconds delay, std::function<void()> action)
{
    std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

http_response jsonResponse(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

nlohmann::json jsonBody(const http_request &request)
{
    constexpr bool allowExceptions = false;
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, allowExceptions);
    return body.is_object() ? body : nlohmann::json::object();
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStop()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace daisypass
