#pragma once

// Account of the memory and descriptors that the clients of a process hold, over all its HTTP servers. It decides which connection may read
// on, which one waits, and which one is closed. It has no sockets and no clock. One thread runs all servers of an account; only release() may be called from
// other threads.
//
//     connection_account account(limits, listener);
//     std::optional<connection_account::number> number = account.open(now, closeIt);
//     if (account.beforeRead(*number, now) == read_decision::Read) { ... account.afterRead(*number, bytes, lines, now); }

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace daisypass {

/** Why a client was refused or its connection closed. */
enum class client_refusal {
    /** All connections are in use. */
    ConnectionLimit,
    /** The account's memory is in use. */
    MemoryLimit,
    /** The request alone costs more than one request may. */
    RequestTooLarge,
    /** The request arrives more slowly than the minimum rate. */
    RequestTooSlow,
};

std::string_view nameOf(client_refusal refusal);

enum class read_decision {
    Read,
    /** Ask again after a while. */
    Pause,
    /** The connection has been closed with its close function. */
    Refuse,
};

/** Charge of a connection without a request: its state, its input buffer and the piece that is read next. */
inline constexpr std::size_t connectionBytes = std::size_t{24} << 10;

struct account_limits
{
    std::size_t bytes = std::size_t{64} << 20;
    int connections = 2'000;
    /** Largest charge of one request, in bytes. */
    std::size_t requestBytes = std::size_t{32} << 20;
    /** Time after which a request must have arrived at the minimum rate, in ms, and that rate in bytes per second. */
    std::int64_t slowAfterMs = 10'000;
    std::int64_t minBytesPerSecond = 1'000;
};

class connection_account
{
public:
    using number = std::uint64_t;
    using time_ms = std::int64_t;
    /** Closes a connection, which has no entry any more. `requestBegun` is whether a part of a request has been read, to which a refusal can be sent. */
    using close_function = std::function<void(client_refusal reason, bool requestBegun)>;
    using refusal_listener = std::function<void(client_refusal)>;

    explicit connection_account(account_limits limits, refusal_listener onRefusal = {});

    /** Adds a connection, and closes another one if all are in use. Returns nothing if none can be closed. */
    std::optional<number> open(time_ms now, close_function close);
    /** Removes the connection. Idempotent. */
    void close(number connection);

    /** Charges what has been read of the request so far, before more is read. */
    read_decision beforeRead(number connection, time_ms now);
    /** Records `bytes` that were read, with `lines` line ends in them. */
    void afterRead(number connection, std::size_t bytes, std::size_t lines, time_ms now);
    /** Records that a part of an answer is being written, and that it has been written. */
    void beforeWrite(number connection, std::size_t bytes, time_ms now);
    void afterWrite(number connection);

    /** Charges the copies of a complete request that its handling makes. Returns false if there is no room. */
    bool admit(std::size_t bytes, time_ms now);
    /** Takes an admitted charge back. Thread-safe. */
    void release(std::size_t bytes);

    std::size_t bytesInUse() const
    {
        return m_bytes;
    }
    int connectionsInUse() const
    {
        return static_cast<int>(m_connections.size());
    }

private:
    enum class activity {
        /** Waits for bytes of a request. */
        Reading,
        /** Has a request that is being handled, which is never given up. */
        Handling,
        /** Waits for the client to read the answer. */
        Writing,
    };

    struct connection
    {
        close_function close;
        activity state = activity::Handling;
        /** Bytes of the request that have been read, and what is charged for the connection. */
        std::size_t requestBytes = 0;
        std::size_t requestLines = 0;
        std::size_t charge = 0;
        /** Since when the current request has been arriving, or has been waited for. */
        time_ms waitingSince = 0;
        time_ms progressAt = 0;
        std::optional<time_ms> pausedSince;
        bool answered = false;
    };
    using connection_map = std::map<number, connection>;

    void report(client_refusal reason) const;
    void setCharge(connection &entry, std::size_t charge);
    void remove(connection_map::iterator entry);
    void setPaused(connection &entry, std::optional<time_ms> since);
    bool isStalled(const connection &entry, time_ms now) const;
    bool isTooSlow(const connection &entry, time_ms now) const;
    bool fits(std::size_t bytes) const;
    /** Closes stalled connections, the largest first, until `bytes` more fit. `keep` isn't closed. */
    bool closeStalledFor(std::size_t bytes, number keep, time_ms now);
    /** Closes readers, the largest first, until `bytes` more fit or `keep` is the largest one left. */
    bool closeLargestFor(std::size_t bytes, number keep);
    bool closeOneForConnection(time_ms now);
    void closeFor(client_refusal reason, connection_map::iterator victim);
    int preferenceForClosing(const connection &entry, time_ms now) const;

    account_limits m_limits;
    refusal_listener m_onRefusal;
    connection_map m_connections;
    number m_lastNumber = 0;
    std::atomic<std::size_t> m_bytes{0};
    int m_paused = 0;
    time_ms m_nextStalledScanAt = 0;
};

} // namespace daisypass
