#include "http/http_client_worker.h"

#include <unistd.h>

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::size_t maxIdleHandles = 256;
constexpr long maxConnectionsInCache = 4'096;

} // namespace

http_client_worker::http_client_worker(const http_client_options &options, asio::io_context &context)
    : m_options(options)
    , m_context(context)
    , m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maxConnectionsPerHost));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnectionsInCache);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &http_client_worker::socketCallback);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &http_client_worker::timerCallback);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

http_client_worker::~http_client_worker()
{
    for (CURL *handle : m_idleHandles) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(m_multi);
}

void http_client_worker::add(std::unique_ptr<http_transfer> transfer)
{
    bool wake = false;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        wake = m_pending.empty();
        m_pending.push_back(std::move(transfer));
    }
    if (wake) {
        asio::post(m_strand, [self = shared_from_this()] {
            self->startPending();
        });
    }
}

void http_client_worker::abandonAll()
{
    m_abandoning = true;
    startPending();
    while (!m_active.empty()) {
        complete(m_active.begin()->first, CURLE_OPERATION_TIMEDOUT);
    }
}

std::uint64_t http_client_worker::bytes() const
{
    return m_bytes;
}

int http_client_worker::socketCallback(CURL *, curl_socket_t socket, int pollEvents, void *user, void *)
{
    static_cast<http_client_worker *>(user)->watchSocket(socket, pollEvents);
    return 0;
}

int http_client_worker::timerCallback(CURLM *, long timeoutMs, void *user)
{
    static_cast<http_client_worker *>(user)->setTimer(timeoutMs);
    return 0;
}

curl_socket_t http_client_worker::openSocketCallback(void *user, curlsocktype, curl_sockaddr *address)
{
    const curl_socket_t socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    static_cast<http_client_worker *>(user)->unregisterSocket(socket);
    return socket;
}

int http_client_worker::closeSocketCallback(void *user, curl_socket_t socket)
{
    static_cast<http_client_worker *>(user)->closeSocket(socket);
    return 0;
}

void http_client_worker::watchSocket(curl_socket_t socket, int pollEvents)
{
    std::shared_ptr<watched_socket> &watched = m_sockets[socket];
    if (!watched) {
        watched = std::make_shared<watched_socket>(m_context);
        asio::error_code ignored;
        watched->descriptor.assign(socket, ignored);
    }
    watched->pollEvents = pollEvents == CURL_POLL_REMOVE ? CURL_POLL_NONE : pollEvents;
    awaitReadiness(socket, watched);
}

void http_client_worker::awaitReadiness(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched)
{
    const bool read = watched->pollEvents == CURL_POLL_IN || watched->pollEvents == CURL_POLL_INOUT;
    const bool write = watched->pollEvents == CURL_POLL_OUT || watched->pollEvents == CURL_POLL_INOUT;
    if (read && !watched->waitingToRead) {
        watched->waitingToRead = true;
        watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                       asio::bind_executor(m_strand, [self = shared_from_this(), socket, watched](const asio::error_code &error) {
                                           watched->waitingToRead = false;
                                           self->onReady(socket, watched, CURL_CSELECT_IN, error);
                                       }));
    }
    if (write && !watched->waitingToWrite) {
        watched->waitingToWrite = true;
        watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                       asio::bind_executor(m_strand, [self = shared_from_this(), socket, watched](const asio::error_code &error) {
                                           watched->waitingToWrite = false;
                                           self->onReady(socket, watched, CURL_CSELECT_OUT, error);
                                       }));
    }
}

void http_client_worker::onReady(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched, int event, const asio::error_code &error)
{
    const auto current = m_sockets.find(socket);
    const bool stale = error == asio::error::operation_aborted || current == m_sockets.end() || current->second != watched;
    if (stale || watched->pollEvents == CURL_POLL_NONE) {
        return;
    }
    const bool isPolled = watched->pollEvents == CURL_POLL_INOUT || watched->pollEvents == (event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT);
    if (isPolled) {
        int running = 0;
        curl_multi_socket_action(m_multi, socket, error ? CURL_CSELECT_ERR : event, &running);
        completeFinished();
    }
    const auto after = m_sockets.find(socket);
    if (after != m_sockets.end() && after->second == watched) {
        awaitReadiness(socket, watched);
    }
}

// libcurl 7.88 closes a socket whose connection attempt failed without notifying the worker. The next socket often gets the same descriptor
// number. Without this function it would be watched through the closed socket's registration, which reports no events.
void http_client_worker::unregisterSocket(curl_socket_t socket)
{
    const auto found = m_sockets.find(socket);
    if (found != m_sockets.end()) {
        found->second->descriptor.release();
        m_sockets.erase(found);
    }
}

void http_client_worker::closeSocket(curl_socket_t socket)
{
    const auto found = m_sockets.find(socket);
    if (found == m_sockets.end()) {
        ::close(socket);
        return;
    }
    asio::error_code ignored;
    found->second->descriptor.close(ignored);
    m_sockets.erase(found);
}

void http_client_worker::setTimer(long timeoutMs)
{
    if (timeoutMs < 0) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const std::shared_ptr<http_client_worker> self = weak.lock();
        if (self && !error) {
            int running = 0;
            curl_multi_socket_action(self->m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
            self->completeFinished();
        }
    });
}

void http_client_worker::startPending()
{
    std::deque<std::unique_ptr<http_transfer>> starting;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        starting.swap(m_pending);
    }
    for (std::unique_ptr<http_transfer> &transfer : starting) {
        CURL *handle = acquireHandle();
        setUpHandle(handle, *transfer);
        m_active.emplace(handle, std::move(transfer));
        if (!m_abandoning) {
            curl_multi_add_handle(m_multi, handle);
        }
    }
}

CURL *http_client_worker::acquireHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

void http_client_worker::setUpHandle(CURL *handle, http_transfer &transfer)
{
    curl_easy_reset(handle);
    setUpRequest(handle, transfer);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, std::max(1L, static_cast<long>(m_options.maxIdle.count() / 1'000)));
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &http_client_worker::openSocketCallback);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &http_client_worker::closeSocketCallback);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
}

void http_client_worker::completeFinished()
{
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg == CURLMSG_DONE) {
            complete(message->easy_handle, message->data.result);
        }
    }
}

void http_client_worker::complete(CURL *handle, CURLcode code)
{
    const auto found = m_active.find(handle);
    std::unique_ptr<http_transfer> transfer = std::move(found->second);
    m_active.erase(found);
    http_result result = resultOf(handle, *transfer, code);
    m_bytes.fetch_add(bytesOf(handle), std::memory_order_relaxed);
    curl_multi_remove_handle(m_multi, handle);
    releaseHandle(handle);
    transfer->done(std::move(result));
}

void http_client_worker::releaseHandle(CURL *handle)
{
    if (m_idleHandles.size() < maxIdleHandles) {
        m_idleHandles.push_back(handle);
    } else {
        curl_easy_cleanup(handle);
    }
}

} // namespace daisypass
