#include "http/http_client.h"

#include "base/thread_time.h"
#include "http/http_client_worker.h"
#include "http/http_transfer.h"

#include <asio.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace daisypass {
namespace {

void initialiseLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

// An I/O context and the thread that runs it.
struct worker_thread
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::thread thread;
};

} // namespace

struct http_client::implementation
{
    std::vector<std::unique_ptr<worker_thread>> threads;
    std::vector<std::shared_ptr<http_client_worker>> workers;
    std::atomic<std::size_t> next{0};
};

http_client::http_client(http_client_options options)
    : m_implementation(std::make_unique<implementation>())
{
    initialiseLibrary();
    for (int i = 0; i < std::max(1, options.threads); ++i) {
        m_implementation->threads.push_back(std::make_unique<worker_thread>());
        worker_thread &own = *m_implementation->threads.back();
        m_implementation->workers.push_back(std::make_shared<http_client_worker>(options, own.context));
        own.thread = std::thread([&own] {
            own.context.run();
        });
    }
}

http_client::http_client(http_client_options options, asio::io_context &context)
    : m_implementation(std::make_unique<implementation>())
{
    initialiseLibrary();
    m_implementation->workers.push_back(std::make_shared<http_client_worker>(options, context));
}

http_client::~http_client()
{
    for (const std::unique_ptr<worker_thread> &own : m_implementation->threads) {
        own->context.stop();
        own->thread.join();
    }
    for (const std::shared_ptr<http_client_worker> &worker : m_implementation->workers) {
        worker->abandonAll();
    }
    // Handlers that are still queued in the contexts keep their workers alive until the contexts are destroyed.
}

void http_client::send(http_call call, std::function<void(http_result)> done)
{
    std::unique_ptr<http_transfer> transfer = std::make_unique<http_transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    const std::size_t chosen = m_implementation->next.fetch_add(1, std::memory_order_relaxed) % m_implementation->workers.size();
    m_implementation->workers[chosen]->add(std::move(transfer));
}

std::chrono::microseconds http_client::processorTime() const
{
    std::chrono::microseconds sum{};
    for (const std::unique_ptr<worker_thread> &own : m_implementation->threads) {
        sum += threadProcessorTime(own->thread);
    }
    return sum;
}

std::uint64_t http_client::bytes() const
{
    std::uint64_t sum = 0;
    for (const std::shared_ptr<http_client_worker> &worker : m_implementation->workers) {
        sum += worker->bytes();
    }
    return sum;
}

http_result http_client::fetch(http_call call)
{
    std::promise<http_result> promise;
    std::future<http_result> future = promise.get_future();
    send(std::move(call), [&promise](http_result result) {
        promise.set_value(std::move(result));
    });
    return future.get();
}

} // namespace daisypass
