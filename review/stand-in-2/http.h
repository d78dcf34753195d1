#pragma once

// A small HTTP/1.1 server and client on loopback for the stand-ins of the review: one thread a connection, blocking calls.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace review {

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body;
    /** The connection is closed without an answer. */
    bool unanswered = false;
};

using http_handler = std::function<http_response(const http_request &)>;

/** Serves one port of 127.0.0.1. */
class http_server
{
public:
    explicit http_server(http_handler handler);

    /** Listens on the port, or on a free one if it is 0. */
    bool start(std::uint16_t port = 0);
    /** Closes the port and resets all connections, as the end of a process does. */
    void crash();
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept(int listener);
    void serve(int connection);

    http_handler m_handler;
    std::uint16_t m_port = 0;
    std::mutex m_lock;
    int m_listener = -1;
    std::set<int> m_connections;
};

/** A free port of 127.0.0.1, and the one after it. */
std::uint16_t freePortPair();

/** Sends one request on a connection of its own; the status is 0 without a complete answer. */
http_response call(std::uint16_t port, const std::string &method, const std::string &path, const std::string &host, const std::string &body, int timeoutMs);

} // namespace review
