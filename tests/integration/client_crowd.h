#pragma once

// Many connections from one client that send the same bytes and behave badly: they stop short of the end, send or read slowly, or not at all.
//
//     client_crowd crowd({.port = port, .connections = 300, .bytes = request});
//     crowd.settle([] {});

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace daisypass::integration {

struct crowd_options
{
    std::uint16_t port = 0;
    int connections = 0;
    /** Sent once on each connection, which then stays open. */
    std::string bytes;
    /** Bytes sent at a time; 0 sends all at once. */
    std::size_t pieceBytes = 0;
    std::chrono::milliseconds pauseBetweenPieces{0};
    /** Whether the answers are read. */
    bool reads = false;
};

class client_crowd
{
public:
    /** Starts the connections on a thread of its own. */
    explicit client_crowd(crowd_options options);
    /** Closes the connections. */
    ~client_crowd();

    /** Waits until no connection has moved a byte for a second, or for `bound`. Calls `observe` meanwhile. */
    void settle(const std::function<void()> &observe, std::chrono::milliseconds bound = std::chrono::seconds(15));

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass::integration
