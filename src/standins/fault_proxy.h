#pragma once

// TCP proxy that injects faults into the connections it forwards.
//
//     fault_proxy proxy({{"127.0.0.1", 0}, {"127.0.0.1", 8080}});
//     failure reason;
//     if (proxy.start(reason)) { std::uint16_t port = proxy.port(); }
//     proxy.set({.cut = true});
//
// Connections are handled on the proxy's own thread; set(), faults() and stats() post to it and wait.

#include "base/failure.h"
#include "base/settings_reader.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace daisypass {

struct proxy_faults
{
    /** Closes all connections and refuses new ones. */
    bool cut = false;
    /** Added before each chunk of data is forwarded. */
    std::chrono::milliseconds delay{0};
    /** Accepts connections and data but forwards nothing until the fault is cleared. */
    bool freeze = false;
    /** Forwards this many bytes per connection and direction, and then closes the connection. */
    std::optional<std::uint64_t> truncateAfter = std::nullopt;
    /** Directions to which delay, freeze and truncateAfter apply. */
    bool toServer = true;
    bool toClient = true;
};

class proxy_connection;

class fault_proxy
{
public:
    struct statistics
    {
        std::uint64_t connections = 0;
        std::uint64_t refused = 0;
        std::uint64_t bytesToServer = 0;
        std::uint64_t bytesToClient = 0;
    };

    fault_proxy(endpoint listen, endpoint forward);
    ~fault_proxy();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    std::uint16_t port() const;
    endpoint forward() const;

    /** Replaces all faults; returns when the new ones are in effect. */
    void set(const proxy_faults &faults);
    proxy_faults faults();
    statistics stats();

private:
    friend class proxy_connection;

    void accept();

    endpoint m_listen;
    endpoint m_forward;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    proxy_faults m_faults;
    statistics m_statistics;
    std::vector<std::weak_ptr<proxy_connection>> m_connections;
    std::thread m_thread;
};

} // namespace daisypass
