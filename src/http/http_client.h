#pragma once

// HTTP/1.1 client on libcurl, whose types stay within src/http.
//
//     http_client client(options);
//     client.send(call, [](http_result result) { ... });      // runs on a client thread
//     http_result result = client.fetch(call);                 // blocks
//
// A result says exactly whether bytes of the request can have reached the server: see send_state.

#include "http/http_server.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisypass {

/** How far a request got. libcurl resends on a fresh connection if a reused one closes early; that resend is prevented. */
enum class send_state {
    /** No byte of the request was sent. */
    NotSent,
    /** At least one byte may have been sent, and no whole answer arrived. */
    Sent,
    /** The whole answer arrived. */
    Answered,
};

struct http_call
{
    std::string method = "GET";
    /** Full URL with an IP number, for example "http://127.0.0.1:8080/run". */
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    /** If set, the answer must carry this header; otherwise the call ends with BadAnswer and its connection is closed. */
    std::optional<http_header> echo;
    std::chrono::milliseconds connectTimeout{1'000};
    /** Zero means no limit. */
    std::chrono::milliseconds totalTimeout{30'000};
};

struct http_result
{
    send_state state = send_state::NotSent;
    /** Set when state is not Answered: ConnectFailed, Timeout or BadAnswer. */
    failure reason;
    http_response response;
};

struct http_client_options
{
    int threads = 1;
    int maxConnectionsPerHost = 64;
    /** Idle connections older than this are not reused; must be shorter than the servers' keep-alive. */
    std::chrono::milliseconds maxIdle{5'000};
};

class http_client
{
public:
    /** Runs threads of its own. */
    explicit http_client(http_client_options options);
    /** Runs on the context's threads; `fetch` must not be called on them. The client must outlive the context's run. */
    http_client(http_client_options options, asio::io_context &context);
    /** Waits for the threads; calls in flight end with state Sent or NotSent and reason Timeout. */
    ~http_client();

    void send(http_call call, std::function<void(http_result)> done);
    http_result fetch(http_call call);

    /** Processor time used by the client's threads, callbacks included. */
    std::chrono::microseconds processorTime() const;
    /** Bytes of requests and answers that ended, without those of TCP and IP. */
    std::uint64_t bytes() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
