#include "entry/entry_registration.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace daisypass {
namespace {

// Longest wait for one poll of the store; a call to the platform times out after 2 s.
constexpr duration refreshTimeout = std::chrono::milliseconds(2'500);
constexpr duration minRetryDelay = std::chrono::milliseconds(100);
constexpr duration maxRetryDelay = std::chrono::seconds(10);

} // namespace

entry_registration::entry_registration(entry_joined self, fleet_follower &follower, fleet_log log, std::uint64_t seed)
    : m_self(std::move(self))
    , m_follower(follower)
    , m_log(std::move(log))
    , m_random(seed)
    , m_backoff(minRetryDelay)
{
}

void entry_registration::setPeersEndpoint(const endpoint &listening)
{
    m_self.peers = listening;
}

bool entry_registration::isRegistered() const
{
    const std::shared_ptr<const fleet_state> replica = m_follower.state();
    const auto found = replica->entries().find(m_self.entry);
    return found != replica->entries().end() && found->second.incarnation == m_self.incarnation;
}

bool entry_registration::join(failure &reason)
{
    return refresh(refreshTimeout, reason) && (isRegistered() || (append(m_self, reason) && refresh(refreshTimeout, reason) && isRegistered()));
}

bool entry_registration::leave(duration limit, failure &reason)
{
    return refresh(std::min(limit, refreshTimeout), reason) && (!isRegistered() || append(entry_left{m_self.entry, m_self.incarnation}, reason));
}

duration entry_registration::retryDelay()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return minRetryDelay + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_backoff.count())));
}

bool entry_registration::refresh(duration limit, failure &reason)
{
    if (m_follower.refresh(limit, reason)) {
        return true;
    }
    increaseBackoff();
    return false;
}

void entry_registration::increaseBackoff()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_backoff = std::min(m_backoff * 2, maxRetryDelay);
}

bool entry_registration::append(const fleet_change &change, failure &reason)
{
    const std::shared_ptr<const fleet_state> replica = m_follower.state();
    const std::optional<log_head> head = m_log.readHead(reason);
    if (!head) {
        increaseBackoff();
        return false;
    }
    if (head->revision != replica->revision()) {
        reason = failure{failure_code::StoreConflict, "fleet/head"};
        return false;
    }
    char writeId[64];
    std::snprintf(writeId, sizeof writeId, "entry-%016" PRIx64 "-%" PRIu64, m_self.incarnation, ++m_appends);
    const log_record record{head->revision + 1, writeId, wallNow(), {change}};
    const file_source noFiles = [](std::string_view) {
        return std::nullopt;
    };
    fleet_state after = *replica;
    if (!after.apply(record, noFiles, reason)) {
        increaseBackoff();
        return false;
    }
    const commit_outcome outcome = m_log.append(record, *head, reason);
    m_follower.pollNow();
    if (outcome == commit_outcome::Committed) {
        return true;
    }
    if (outcome != commit_outcome::Conflict) {
        increaseBackoff();
    }
    return false;
}

} // namespace daisypass
