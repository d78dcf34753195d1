#pragma once

// HTTP/1.1 client based on libcurl. libcurl's types are not used outside src/http.
//
//     http_client client(options);
//     client.send(call, [](http_result result) { ... });      // runs on a client thread
//     http_result result = client.fetch(call);                 // blocks
//
// The result says whether any byte of the request can have reached the server: see send_state.

#include "http/http_server.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisypass {

/** How far a request got. If a reused connection closes early, libcurl would resend on a new connection; the client prevents this resend. */
enum class send_state {
    /** No byte of the request was sent. */
    NotSent,
    /** At least one byte may have been sent, and no complete response arrived. */
    Sent,
    /** The complete response arrived. */
    Answered,
};

struct http_call
{
    std::string method = "GET";
    /** Full URL with an IP address as the host, for example "http://127.0.0.1:8080/run". */
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    /** If set, a response without this header and value ends the call with BadAnswer and closes the connection. */
    std::optional<http_header> requiredHeader;
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
    /** Connections that have been idle for longer than this are not reused. Must be shorter than the keep-alive timeout of the servers. */
    std::chrono::milliseconds maxIdle{5'000};
};

class http_client
{
public:
    /** Creates a client that runs its own threads. */
    explicit http_client(http_client_options options);
    /** Creates a client that runs on the context's threads, on which `fetch` must not be called. The client must outlive the context's run(). */
    http_client(http_client_options options, asio::io_context &context);
    /** Waits for the client's own threads. Calls in flight end with state Sent or NotSent and reason Timeout. */
    ~http_client();

    void send(http_call call, std::function<void(http_result)> done);
    http_result fetch(http_call call);

    /** Processor time used by the client's own threads, including callbacks. */
    std::chrono::microseconds processorTime() const;
    /** Bytes of the requests and responses of completed calls, without TCP and IP headers. */
    std::uint64_t bytes() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
