#include "sched/lease_rules.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// Largest difference between the delays of nodes of the same size, so that usually only one of them writes.
constexpr time_ms maxJitterMs = 120;
// A node with less than this part of the largest node's processor share waits for larger nodes to acquire the lease: as lease holder
// it would be limited by its processor, which costs more than the wait.
constexpr double muchSmallerShare = 0.7;
constexpr time_ms smallMachineDelayMs = 1'200;
// The holder renews every 350 to 500 ms. Another node probes it with a connection when the latest renewal was seen this long ago, plus the
// node's candidate delay.
constexpr time_ms suspectAfterMs = 750;
// Consecutive refused connections after which the holder's process counts as gone.
constexpr int refusalsNeeded = 2;

// [free bytes, free bytes for large jobs, bytes freed per second]
std::optional<job_room> readJobRoom(const json &value)
{
    constexpr std::size_t fields = 3;
    const bool readable = value.is_array() && value.size() == fields && std::all_of(value.begin(), value.end(), [](const json &field) {
                              return field.is_number_integer();
                          });
    if (!readable) {
        return std::nullopt;
    }
    return job_room{value[0].get<std::int64_t>(), value[1].get<std::int64_t>(), value[2].get<std::int64_t>()};
}

std::uint64_t hashOf(std::string_view text)
{
    // FNV-1a.
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211ULL;
    }
    return hash;
}

} // namespace

std::string writeLease(const lease_row &row)
{
    json value{{"node", row.node},
               {"incarnation", row.incarnation},
               {"term", row.term},
               {"released", row.released},
               {"stopped", row.stopped},
               {"earlier_grants_ms", row.earlierGrantsMs}};
    if (row.jobRoom) {
        value["job_room"] = {row.jobRoom->bytes, row.jobRoom->largeJobBytes, row.jobRoom->freedBytesPerSecond};
    }
    return value.dump();
}

std::optional<lease_row> readLease(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("node") || !value["node"].is_string() || !value.contains("term") || !value["term"].is_number_integer()) {
        return std::nullopt;
    }
    lease_row row;
    row.node = value["node"].get<std::string>();
    row.term = value["term"].get<std::int64_t>();
    row.incarnation = value.value("incarnation", std::int64_t{0});
    row.released = value.value("released", false);
    row.stopped = value.value("stopped", false);
    // A row without this field may be of a holder that took over from a holder that is still alive.
    row.earlierGrantsMs = value.value("earlier_grants_ms", grantsWithoutRenewalMs);
    row.jobRoom = readJobRoom(value.value("job_room", json()));
    return row;
}

lease_rules::lease_rules(lease_identity self, time_ms leaseMs)
    : m_self(std::move(self))
    , m_leaseMs(leaseMs)
{
}

void lease_rules::onRowRead(const std::optional<lease_row> &row, std::int64_t version, time_ms now)
{
    if (version != m_version || !m_unchangedSince) {
        m_unchangedSince = now;
        m_refusals = 0;
    }
    m_version = version;
    m_row = row;
}

void lease_rules::onStoreUnreachable()
{
    m_unchangedSince.reset();
}

void lease_rules::setCandidateDelay(time_ms delayMs)
{
    m_self.candidateDelayMs = delayMs;
}

bool lease_rules::heldBySelf() const
{
    return m_row && m_row->node == m_self.node && m_row->incarnation == m_self.incarnation && !m_row->released;
}

// The latest renewal was sent before this node read it. Refused connections don't prove that the holder is gone, because a broken link
// may refuse them too; so they don't shorten this time.
time_ms lease_rules::earlierGrantsUntil(time_ms now) const
{
    if (!m_row) {
        return now;
    }
    const time_ms seenAt = m_unchangedSince.value_or(now);
    const bool ownEarlierIncarnation = m_row->node == m_self.node && m_row->incarnation != m_self.incarnation;
    const time_ms holderGrantsMs = m_row->released || ownEarlierIncarnation ? 0 : grantsWithoutRenewalMs;
    return seenAt + std::max(holderGrantsMs, m_row->earlierGrantsMs);
}

bool lease_rules::heldByOther() const
{
    return m_row && !m_row->released && m_row->node != m_self.node;
}

bool lease_rules::suspectsHolder(time_ms now) const
{
    return heldByOther() && m_unchangedSince && now - *m_unchangedSince >= suspectAfterMs + m_self.candidateDelayMs;
}

void lease_rules::onHolderProbed(bool refused)
{
    m_refusals = refused ? m_refusals + 1 : 0;
}

bool lease_rules::mayAcquire(time_ms now) const
{
    if (!m_unchangedSince || heldBySelf()) {
        return false;
    }
    const bool ownEarlierIncarnation = m_row && m_row->node == m_self.node;
    if (ownEarlierIncarnation && !m_row->released) {
        // An earlier incarnation of this node held the lease, and has ended.
        return true;
    }
    if (m_refusals >= refusalsNeeded && suspectsHolder(now)) {
        return true;
    }
    const time_ms wait = heldByOther() ? m_leaseMs : 0;
    return now - *m_unchangedSince >= wait + m_self.candidateDelayMs;
}

bool isMuchSmaller(double cpuShare, double largestShare)
{
    return cpuShare < muchSmallerShare * largestShare;
}

time_ms candidateDelay(std::string_view node, double cpuShare, double largestShare)
{
    const time_ms jitter = static_cast<time_ms>(hashOf(node) % maxJitterMs);
    return jitter + (isMuchSmaller(cpuShare, largestShare) ? smallMachineDelayMs : 0);
}

} // namespace daisypass::sched
