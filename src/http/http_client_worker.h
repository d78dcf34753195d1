#pragma once

// One worker of the HTTP client. It drives a libcurl multi handle by socket readiness events, so that the cost of a call does not
// depend on the number of calls in flight.

#include "http/http_client.h"
#include "http/http_transfer.h"

#include <asio.hpp>
#include <curl/curl.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace daisypass {

/** All functions except `add` and `bytes` run on one strand. Connections are reused only within one worker. */
class http_client_worker : public std::enable_shared_from_this<http_client_worker>
{
public:
    http_client_worker(const http_client_options &options, asio::io_context &context);
    ~http_client_worker();
    http_client_worker(const http_client_worker &) = delete;
    http_client_worker &operator=(const http_client_worker &) = delete;

    void add(std::unique_ptr<http_transfer> transfer);
    /** Ends all transfers as timed out. May be called only when nothing runs on the context any more. */
    void abandonAll();
    std::uint64_t bytes() const;

private:
    /** A socket that libcurl asked to be watched, and the events that it waits for. */
    struct watched_socket
    {
        explicit watched_socket(asio::io_context &context)
            : descriptor(context)
        {
        }

        asio::posix::stream_descriptor descriptor;
        int pollEvents = CURL_POLL_NONE;
        bool waitingToRead = false;
        bool waitingToWrite = false;
    };

    static int socketCallback(CURL *, curl_socket_t socket, int pollEvents, void *user, void *);
    static int timerCallback(CURLM *, long timeoutMs, void *user);
    static curl_socket_t openSocketCallback(void *user, curlsocktype, curl_sockaddr *address);
    static int closeSocketCallback(void *user, curl_socket_t socket);
    void watchSocket(curl_socket_t socket, int pollEvents);
    void awaitReadiness(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched);
    void onReady(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched, int event, const asio::error_code &error);
    void unregisterSocket(curl_socket_t socket);
    void closeSocket(curl_socket_t socket);
    void setTimer(long timeoutMs);
    void startPending();
    CURL *acquireHandle();
    void setUpHandle(CURL *handle, http_transfer &transfer);
    void completeFinished();
    void complete(CURL *handle, CURLcode code);
    void releaseHandle(CURL *handle);

    http_client_options m_options;
    asio::io_context &m_context;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    CURLM *m_multi;
    bool m_abandoning = false;
    std::atomic<std::uint64_t> m_bytes{0};
    std::mutex m_lock;
    std::deque<std::unique_ptr<http_transfer>> m_pending;
    // Accessed on the strand only.
    std::unordered_map<CURL *, std::unique_ptr<http_transfer>> m_active;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    std::vector<CURL *> m_idleHandles;
};

} // namespace daisypass
