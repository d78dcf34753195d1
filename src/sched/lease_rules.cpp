#include "sched/lease_rules.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// Nodes differ by up to this in when they try, so that mostly one of them writes.
constexpr time_ms spreadMs = 120;
// A machine with a full core less than another waits this much longer.
constexpr time_ms delayPerMissingCoreMs = 400;

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
    return json{{"node", row.node}, {"incarnation", row.incarnation}, {"term", row.term}, {"released", row.released}}.dump();
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
    return row;
}

lease_rules::lease_rules(lease_identity self, time_ms leaseMs)
    : m_self(std::move(self))
    , m_leaseMs(leaseMs)
{
}

void lease_rules::sawRow(const std::optional<lease_row> &row, std::int64_t version, time_ms now)
{
    if (version != m_version || !m_unchangedSince) {
        m_unchangedSince = now;
    }
    m_version = version;
    m_row = row;
}

void lease_rules::lostStore()
{
    m_unchangedSince.reset();
}

bool lease_rules::isOwn() const
{
    return m_row && m_row->node == m_self.node && m_row->incarnation == m_self.incarnation && !m_row->released;
}

bool lease_rules::heldByOther() const
{
    return m_row && !m_row->released && m_row->node != m_self.node;
}

bool lease_rules::mayTake(time_ms now) const
{
    if (!m_unchangedSince || isOwn()) {
        return false;
    }
    const bool formerSelf = m_row && m_row->node == m_self.node;
    if (formerSelf && !m_row->released) {
        // An earlier life of this machine held it, and is over.
        return true;
    }
    const time_ms wait = heldByOther() ? m_leaseMs : 0;
    return now - *m_unchangedSince >= wait + m_self.candidateDelayMs;
}

time_ms candidateDelay(std::string_view node, double cpuShare)
{
    const double missing = std::clamp(1.0 - cpuShare, 0.0, 1.0);
    return static_cast<time_ms>(missing * static_cast<double>(delayPerMissingCoreMs)) + static_cast<time_ms>(hashOf(node) % spreadMs);
}

} // namespace daisypass::sched
