#include "entry/entry_registration.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace daisypass {
namespace {

// Longest wait for one poll of the store; the platform's own limit is 2 s.
constexpr duration refreshLimit = std::chrono::milliseconds(2'500);
constexpr duration leastDelay = std::chrono::milliseconds(100);
constexpr duration mostDelay = std::chrono::seconds(10);

} // namespace

entry_registration::entry_registration(entry_joined self, fleet_follower &follower, fleet_log log, std::uint64_t seed)
    : m_self(std::move(self))
    , m_follower(follower)
    , m_log(std::move(log))
    , m_random(seed)
    , m_bound(leastDelay)
{
}

void entry_registration::setPeerPlace(const endpoint &place)
{
    m_self.peers = place;
}

bool entry_registration::named() const
{
    const std::shared_ptr<const fleet_state> replica = m_follower.state();
    const auto found = replica->entries().find(m_self.entry);
    return found != replica->entries().end() && found->second.incarnation == m_self.incarnation;
}

bool entry_registration::join(failure &reason)
{
    return refresh(refreshLimit, reason) && (named() || (append(m_self, reason) && refresh(refreshLimit, reason) && named()));
}

bool entry_registration::leave(duration limit, failure &reason)
{
    return refresh(std::min(limit, refreshLimit), reason) && (!named() || append(entry_left{m_self.entry, m_self.incarnation}, reason));
}

duration entry_registration::delay()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return leastDelay + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_bound.count())));
}

bool entry_registration::refresh(duration limit, failure &reason)
{
    if (m_follower.refresh(limit, reason)) {
        return true;
    }
    grow();
    return false;
}

void entry_registration::grow()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_bound = std::min(m_bound * 2, mostDelay);
}

bool entry_registration::append(const fleet_change &change, failure &reason)
{
    const std::shared_ptr<const fleet_state> replica = m_follower.state();
    const std::optional<log_head> head = m_log.readHead(reason);
    if (!head) {
        grow();
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
        grow();
        return false;
    }
    const commit_outcome outcome = m_log.append(record, *head, reason);
    m_follower.pollNow();
    if (outcome == commit_outcome::Committed) {
        return true;
    }
    if (outcome != commit_outcome::Conflict) {
        grow();
    }
    return false;
}

} // namespace daisypass
