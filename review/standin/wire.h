#pragma once

// A small HTTP/1.1 server and client with blocking sockets, for the stand-ins and clients of the review.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Milliseconds of the steady clock since the program started. */
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

std::string encodeBase64(const std::string &text);
std::string decodeBase64(const std::string &text);

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name) const;
    std::int64_t number(const std::string &name) const;
};

/** A connection on which an answer with this status is due delivers nothing further, and stays open. */
inline constexpr int statusLost = 0;

struct response
{
    int status = 200;
    std::string body;
};

/** Returns the response; nothing closes the connection without one. It may block. */
using handler = std::function<std::optional<response>(const request &)>;

/** Listens on a free port of 127.0.0.1 and serves each connection in a thread of its own. */
class server
{
public:
    explicit server(handler handle);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }
    std::string address() const;
    /** Resets all connections and refuses new ones. */
    void close();
    /** Listens again on the same port. */
    bool open();

private:
    void acceptAll(int listener);
    void serve(int socket);
    bool isSilent(int socket);
    void makeSilent(int socket);

    handler m_handle;
    std::uint16_t m_port = 0;
    std::mutex m_lock;
    int m_listener = -1;
    std::set<int> m_sockets;
    std::set<int> m_silent;
};

/** A free port of 127.0.0.1 with `count - 1` free ports after it. */
std::uint16_t freePorts(int count);

/** Sends one request on a connection of its own; status 0 if no complete answer came in time. */
response fetch(const std::string &address,
               const std::string &method,
               const std::string &path,
               const std::map<std::string, std::string> &headers,
               const std::string &body,
               std::int64_t timeoutMs);

} // namespace review
