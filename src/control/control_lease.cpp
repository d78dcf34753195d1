#include "control/control_lease.h"

#include <nlohmann/json.hpp>

namespace daisypass {
namespace {

constexpr const char *leaseKey = "control/lease";

} // namespace

control_lease::control_lease(table_service table, std::string controller)
    : m_table(std::move(table))
    , m_controller(std::move(controller))
{
}

bool control_lease::hold(timestamp now, std::string_view writeId)
{
    const std::int64_t current = now / interval;
    if (current != m_interval) {
        m_interval = current;
        m_decided = false;
    }
    if (m_decided) {
        return m_held;
    }
    if (!m_held && now % interval < takeoverDelay) {
        return false;
    }
    m_held = false;
    failure reason;
    const std::optional<table_row> row = m_table.read(leaseKey, reason);
    if (!row && reason.code != failure_code::NotFound) {
        return false;
    }
    if (row) {
        const nlohmann::json held = nlohmann::json::parse(row->value, nullptr, false);
        if (held.is_object() && held.value("interval", std::int64_t{-1}) >= current) {
            m_decided = true;
            m_held = held.value("controller", "") == m_controller;
            return m_held;
        }
    }
    const nlohmann::json wanted{{"controller", m_controller}, {"interval", current}};
    const commit_outcome outcome = m_table.commit({std::string(writeId), {{leaseKey, row ? row->version : 0}}, {{leaseKey, wanted.dump()}}, {}}, reason);
    m_held = outcome == commit_outcome::Committed;
    // After a refusal or a lost answer the next call reads the row again.
    m_decided = outcome == commit_outcome::Committed || outcome == commit_outcome::Conflict;
    return m_held;
}

} // namespace daisypass
