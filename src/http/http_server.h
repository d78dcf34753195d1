#pragma once

// HTTP/1.1 server based on RESTinio. RESTinio's types are used only in http_server.cpp.
//
//     http_server server(options, [](http_request request, http_responder respond) { respond({200, {}, "ok"}); });
//     failure reason;
//     if (!server.start(reason)) { ... }
//     std::uint16_t port = server.port();
//     server.stop();
//
// The handler runs on the server's threads and must not block. It may call `respond` later and from any thread.

#include "base/failure.h"
#include "base/settings_reader.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct http_header
{
    std::string name;
    std::string value;
};

/** Compares header names, ignoring letter case. */
bool equalIgnoringCase(std::string_view a, std::string_view b);

/** Value of the first header with this name, ignoring letter case, or empty if there is none. */
std::string_view findHeader(const std::vector<http_header> &headers, std::string_view name);

/** The integer at the start of the value of the first header with this name, or `fallback` if there is none. */
std::int64_t findNumber(const std::vector<http_header> &headers, std::string_view name, std::int64_t fallback = 0);

struct http_request
{
    std::string method;
    /** Path without the query string. */
    std::string path;
    /** Decoded query parameters. */
    std::vector<http_header> query;
    std::vector<http_header> headers;
    std::string body;
};

/** How much of a response is written. Truncated and Closed are for test servers that simulate faults. */
enum class answer_delivery {
    Whole,
    /** Content-Length is larger than the body, half of the body is written, and the connection is closed. */
    Truncated,
    /** The connection is closed without a byte of the response. */
    Closed,
};

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
    answer_delivery delivery = answer_delivery::Whole;
    /** Closes the connection after the response, so that the client's next request can go to another server. */
    bool closeConnection = false;
};

/** Sends the response to one request. Copies refer to the same request, and only the first call has an effect. */
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options
{
    endpoint listen;
    int threads = 1;
    int maxConnections = 2'000;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 16 << 10;
    /** How long a client may take to send its complete request, and to read the response. */
    std::chrono::milliseconds readTimeout{10'000};
    /** How long the handler may take to respond. */
    std::chrono::milliseconds handleTimeout{3'600'000};
};

class connection_account;

/**
 * Charges the connections of all servers that are started on the context from now on, and the requests that they handle, to one account. One
 * thread must run the context.
 */
void chargeConnections(asio::io_context &context, std::shared_ptr<connection_account> account);

class http_server
{
public:
    /** Creates a server that runs its own threads. */
    http_server(http_server_options options, http_handler handler);
    /** Creates a server that runs on the context's threads, which must have stopped before the server is destroyed. */
    http_server(http_server_options options, http_handler handler, asio::io_context &context);
    ~http_server();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    /** Closes the listener and all connections. Idempotent. */
    void stop();
    /** The port that the server listens on; with port 0 in the options, the port that was chosen. */
    std::uint16_t port() const;
    /** Processor time used by the server's own threads, including handlers. Must not be called during stop(). */
    std::chrono::microseconds processorTime() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
