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

bool control_lease::acquireOrRenew(timestamp now, std::string_view writeId)
{
    const std::int64_t current = now / interval;
    if (current != m_interval) {
        m_interval = current;
        m_outcomeKnown = false;
    }
    if (m_outcomeKnown) {
        return m_holdsLease;
    }
    if (!m_holdsLease && now % interval < takeoverDelay) {
        return false;
    }
    m_holdsLease = false;
    failure reason;
    const std::optional<table_row> row = m_table.read(leaseKey, reason);
    if (!row && reason.code != failure_code::NotFound) {
        return false;
    }
    if (row) {
        const nlohmann::json storedLease = nlohmann::json::parse(row->value, nullptr, false);
        if (storedLease.is_object() && storedLease.value("interval", std::int64_t{-1}) >= current) {
            m_outcomeKnown = true;
            m_holdsLease = storedLease.value("controller", "") == m_controller;
            return m_holdsLease;
        }
    }
    const nlohmann::json newLease{{"controller", m_controller}, {"interval", current}};
    const commit_outcome outcome = m_table.commit({std::string(writeId), {{leaseKey, row ? row->version : 0}}, {{leaseKey, newLease.dump()}}, {}}, reason);
    m_holdsLease = outcome == commit_outcome::Committed;
    // After a refusal or a lost response the next call reads the row again.
    m_outcomeKnown = outcome == commit_outcome::Committed || outcome == commit_outcome::Conflict;
    return m_holdsLease;
}

} // namespace daisypass
