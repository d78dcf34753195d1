#include "http/connection_account.h"

#include <utility>

namespace daisypass {
namespace {

// The server appends a body to a string, whose capacity grows to twice its length.
constexpr std::size_t memoryPerByte = 2;
// Each line end belongs to a header field or to a chunk, for which the server keeps an entry besides its bytes.
constexpr std::size_t memoryPerLine = 64;
// A request up to this charge doesn't wait for others: it is smaller than what waiting would free.
constexpr std::size_t smallChargeBytes = 2 * connectionBytes;
// Without progress for this long, a client counts as stalled.
constexpr connection_account::time_ms stallMs = 2'000;
// A large request waits this long for others to finish before connections that make progress are closed.
constexpr connection_account::time_ms maxPauseMs = 1'000;
// Paused connections ask again and again, so their number is limited.
constexpr int maxPaused = 64;
// A search for stalled connections that found none isn't repeated for this long.
constexpr connection_account::time_ms stalledScanIntervalMs = 100;
constexpr connection_account::time_ms millisPerSecond = 1'000;
// See preferenceForClosing().
constexpr int neverClosed = 3;

} // namespace

std::string_view nameOf(client_refusal refusal)
{
    switch (refusal) {
    case client_refusal::ConnectionLimit:
        return "connection_limit";
    case client_refusal::MemoryLimit:
        return "memory_limit";
    case client_refusal::RequestTooLarge:
        return "request_too_large";
    case client_refusal::RequestTooSlow:
        return "request_too_slow";
    }
    return "unknown";
}

connection_account::connection_account(account_limits limits, refusal_listener onRefusal)
    : m_limits(limits)
    , m_onRefusal(std::move(onRefusal))
{
}

std::optional<connection_account::number> connection_account::open(time_ms now, close_function close)
{
    const bool full = connectionsInUse() >= m_limits.connections;
    if (full && !closeOneForConnection(now)) {
        report(client_refusal::ConnectionLimit);
        return std::nullopt;
    }
    if (!closeStalledFor(connectionBytes, 0, now) && !closeLargestFor(connectionBytes, 0)) {
        report(client_refusal::MemoryLimit);
        return std::nullopt;
    }
    connection &entry = m_connections[++m_lastNumber];
    entry.close = std::move(close);
    entry.waitingSince = now;
    entry.progressAt = now;
    setCharge(entry, connectionBytes);
    return m_lastNumber;
}

void connection_account::close(number connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        remove(found);
    }
}

read_decision connection_account::beforeRead(number number, time_ms now)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end()) {
        return read_decision::Refuse;
    }
    connection &entry = found->second;
    if (entry.answered) {
        entry.answered = false;
        entry.requestBytes = 0;
        entry.requestLines = 0;
        entry.waitingSince = now;
        entry.progressAt = now;
        setCharge(entry, connectionBytes);
    }
    entry.state = activity::Reading;
    if (isTooSlow(entry, now)) {
        closeFor(client_refusal::RequestTooSlow, found);
        return read_decision::Refuse;
    }
    const std::size_t charge = connectionBytes + memoryPerByte * entry.requestBytes + memoryPerLine * entry.requestLines;
    if (charge > m_limits.requestBytes) {
        closeFor(client_refusal::RequestTooLarge, found);
        return read_decision::Refuse;
    }
    const std::size_t more = charge > entry.charge ? charge - entry.charge : 0;
    // Answers may be charged above the limit; a connection that needs no more than it has isn't refused for them.
    if (more > 0 && !closeStalledFor(more, number, now)) {
        const bool mayBegin = charge > smallChargeBytes && m_paused < maxPaused;
        const bool mayWait = entry.pausedSince ? now - *entry.pausedSince < maxPauseMs : mayBegin;
        if (mayWait) {
            setPaused(entry, entry.pausedSince.value_or(now));
            return read_decision::Pause;
        }
        if (!closeLargestFor(more, number)) {
            closeFor(client_refusal::MemoryLimit, found);
            return read_decision::Refuse;
        }
    }
    setPaused(entry, std::nullopt);
    setCharge(entry, charge);
    return read_decision::Read;
}

void connection_account::afterRead(number connection, std::size_t bytes, std::size_t lines, time_ms now)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    if (found->second.requestBytes == 0) {
        found->second.waitingSince = now;
    }
    found->second.state = activity::Handling;
    found->second.requestBytes += bytes;
    found->second.requestLines += lines;
    found->second.progressAt = now;
}

void connection_account::beforeWrite(number connection, std::size_t bytes, time_ms now)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // A ready answer is delivered, so it is charged also above the limit.
    setCharge(found->second, connectionBytes + bytes);
    found->second.state = activity::Writing;
    found->second.answered = true;
    found->second.progressAt = now;
}

void connection_account::afterWrite(number connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        found->second.state = activity::Handling;
    }
}

bool connection_account::admit(std::size_t bytes, time_ms now)
{
    if (!closeStalledFor(bytes, 0, now) && !closeLargestFor(bytes, 0)) {
        report(client_refusal::MemoryLimit);
        return false;
    }
    m_bytes += bytes;
    return true;
}

void connection_account::release(std::size_t bytes)
{
    m_bytes -= bytes;
}

void connection_account::report(client_refusal reason) const
{
    if (m_onRefusal) {
        m_onRefusal(reason);
    }
}

void connection_account::setCharge(connection &entry, std::size_t charge)
{
    m_bytes += charge;
    m_bytes -= entry.charge;
    entry.charge = charge;
}

void connection_account::remove(connection_map::iterator entry)
{
    setCharge(entry->second, 0);
    setPaused(entry->second, std::nullopt);
    m_connections.erase(entry);
}

void connection_account::setPaused(connection &entry, std::optional<time_ms> since)
{
    m_paused += (since ? 1 : 0) - (entry.pausedSince ? 1 : 0);
    entry.pausedSince = since;
}

bool connection_account::isStalled(const connection &entry, time_ms now) const
{
    // A paused connection makes no progress because of this account.
    return entry.state != activity::Handling && !entry.pausedSince && now - entry.progressAt >= stallMs;
}

bool connection_account::isTooSlow(const connection &entry, time_ms now) const
{
    const time_ms elapsedMs = now - entry.waitingSince;
    const bool arriving = entry.requestBytes > 0 && !entry.pausedSince;
    return arriving && elapsedMs >= m_limits.slowAfterMs
        && static_cast<std::int64_t>(entry.requestBytes) * millisPerSecond < m_limits.minBytesPerSecond * elapsedMs;
}

bool connection_account::fits(std::size_t bytes) const
{
    return m_bytes + bytes <= m_limits.bytes;
}

bool connection_account::closeStalledFor(std::size_t bytes, number keep, time_ms now)
{
    while (!fits(bytes)) {
        if (now < m_nextStalledScanAt) {
            return false;
        }
        auto largest = m_connections.end();
        for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
            const bool larger = largest == m_connections.end() || entry->second.charge > largest->second.charge;
            if (entry->first != keep && larger && isStalled(entry->second, now)) {
                largest = entry;
            }
        }
        if (largest == m_connections.end()) {
            m_nextStalledScanAt = now + stalledScanIntervalMs;
            return false;
        }
        closeFor(client_refusal::MemoryLimit, largest);
    }
    return true;
}

bool connection_account::closeLargestFor(std::size_t bytes, number keep)
{
    while (!fits(bytes)) {
        auto largest = m_connections.end();
        for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
            const bool larger = largest == m_connections.end() || entry->second.charge > largest->second.charge;
            if (larger && entry->second.state == activity::Reading) {
                largest = entry;
            }
        }
        const bool onlySmall = largest == m_connections.end() || largest->second.charge <= connectionBytes;
        if (onlySmall || largest->first == keep) {
            return false;
        }
        closeFor(client_refusal::MemoryLimit, largest);
    }
    return true;
}

// Lower values are closed first, and `neverClosed` not at all. Requests that arrive slowly and answers that aren't read go
// before idle connections, which well-behaved clients keep for their next request.
int connection_account::preferenceForClosing(const connection &entry, time_ms now) const
{
    constexpr int stalled = 0;
    constexpr int idle = 1;
    constexpr int arriving = 2;
    switch (entry.state) {
    case activity::Handling:
        return neverClosed;
    case activity::Writing:
        return now - entry.progressAt >= stallMs ? stalled : neverClosed;
    case activity::Reading:
        break;
    }
    if (entry.requestBytes == 0) {
        return idle;
    }
    // Here a request counts as stalled once it has been arriving for so long, even if bytes still come: a byte now and then must not keep a connection.
    return now - entry.waitingSince >= stallMs ? stalled : arriving;
}

bool connection_account::closeOneForConnection(time_ms now)
{
    auto chosen = m_connections.end();
    std::pair<int, time_ms> lowest{neverClosed, 0};
    for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
        const std::pair<int, time_ms> rank{preferenceForClosing(entry->second, now), entry->second.waitingSince};
        if (rank.first != neverClosed && (chosen == m_connections.end() || rank < lowest)) {
            chosen = entry;
            lowest = rank;
        }
    }
    if (chosen == m_connections.end()) {
        return false;
    }
    closeFor(client_refusal::ConnectionLimit, chosen);
    return true;
}

void connection_account::closeFor(client_refusal reason, connection_map::iterator victim)
{
    const bool requestBegun = victim->second.state == activity::Reading && victim->second.requestBytes > 0;
    const close_function close = std::move(victim->second.close);
    remove(victim);
    report(reason);
    close(reason, requestBegun);
}

} // namespace daisypass
