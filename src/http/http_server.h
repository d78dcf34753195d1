#pragma once

// HTTP/1.1 server on RESTinio, kept behind one source file.
//
//     http_server server(options, [](http_request request, http_responder respond) { respond({200, {}, "ok"}); });
//     failure reason;
//     if (!server.start(reason)) { ... }
//     std::uint16_t port = server.port();
//     server.stop();
//
// The handler runs on the server's threads and must not block; it may answer later and from any thread.

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

/** Comparison of header names. */
bool equalIgnoringCase(std::string_view a, std::string_view b);

/** Value of the first header with this name (letter case ignored), or empty. */
std::string_view findHeader(const std::vector<http_header> &headers, std::string_view name);

/** The whole number at the start of the first header with this name, or `fallback` if there's none. */
std::int64_t findNumber(const std::vector<http_header> &headers, std::string_view name, std::int64_t fallback = 0);

struct http_request
{
    std::string method;
    /** Path without query. */
    std::string path;
    /** Decoded query parameters. */
    std::vector<http_header> query;
    std::vector<http_header> headers;
    std::string body;
};

/** How much of an answer is written. Everything but Whole is for stand-ins that imitate a failing server. */
enum class answer_delivery {
    Whole,
    /** The headers announce the whole body, half of it is written, and the connection closes. */
    Truncated,
    /** The connection closes without a byte of the answer. */
    Closed,
};

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
    answer_delivery delivery = answer_delivery::Whole;
    /** Close the connection after the answer, so that the client's next request goes to another server. */
    bool closeConnection = false;
};

/** Answers one request; copies share the same answer, and only the first call counts. */
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options
{
    endpoint listen;
    int threads = 1;
    int maxConnections = 2'000;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 16 << 10;
    /** Time for a client to send its whole request. */
    std::chrono::milliseconds readTimeout{10'000};
    /** Time for the handler to answer. */
    std::chrono::milliseconds handleTimeout{3'600'000};
};

class http_server
{
public:
    /** Runs threads of its own. */
    http_server(http_server_options options, http_handler handler);
    /** Runs on the context's threads, which must have stopped before the server is destroyed. */
    http_server(http_server_options options, http_handler handler, asio::io_context &context);
    ~http_server();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    /** Closes the listener and all connections. Idempotent. */
    void stop();
    /** The port in use, also when the options asked for port 0. */
    std::uint16_t port() const;
    /** Processor time used by the server's threads, handlers included. Not during stop(). */
    std::chrono::microseconds processorTime() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
