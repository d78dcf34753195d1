#include "kernel/target_health.h"

#include <algorithm>

namespace daisypass {

namespace {

constexpr duration minCoolDown = std::chrono::seconds(1);
constexpr duration maxCoolDown = std::chrono::seconds(60);
/** Failures without a success in between that eject a target. Where one request in five fails by itself, 8 in a row occur once in 400,000 requests; 5 in a row
 * would eject a healthy target every few thousand requests. */
constexpr int failuresToEject = 8;
/** A target that fails again within this time of its return continues with the next longer cool-down. */
constexpr duration relapseTime = std::chrono::seconds(60);

} // namespace

target_health::target &target_health::at(target_index index)
{
    if (index >= m_targets.size()) {
        m_targets.resize(index + 1);
    }
    return m_targets[index];
}

void target_health::reset(target_index index)
{
    m_ejected -= ejected(index) ? 1 : 0;
    at(index) = {};
}

bool target_health::permits(target_index index, int inFlight, timestamp now) const
{
    return !ejected(index) || (now >= m_targets[index].until && inFlight == 0);
}

duration target_health::coolDown(target_index index) const
{
    const int doublings = std::clamp(m_targets[index].level - 1, 0, 6);
    return std::min(minCoolDown * (1 << doublings), maxCoolDown);
}

void target_health::eject(target &own, timestamp now)
{
    own.level = own.level > 0 && now - own.restoredAt > relapseTime && !own.ejected ? 1 : own.level + 1;
    m_ejected += own.ejected ? 0 : 1;
    own.ejected = true;
    own.failuresInRow = 0;
    own.until = now + coolDown(static_cast<target_index>(&own - m_targets.data()));
}

std::optional<health_change> target_health::note(target_index index, attempt_outcome outcome, timestamp now)
{
    target &own = at(index);
    if (outcome == attempt_outcome::Refused) {
        return std::nullopt;
    }
    if (outcome == attempt_outcome::Completed) {
        own.failuresInRow = 0;
        if (!own.ejected) {
            return std::nullopt;
        }
        own.ejected = false;
        own.restoredAt = now;
        --m_ejected;
        return health_change::Restored;
    }
    if (own.ejected) {
        // Requests that were in flight at the ejection fail during the cool-down; only the probe's failure counts.
        if (now < own.until) {
            return std::nullopt;
        }
        eject(own, now);
        return health_change::Ejected;
    }
    ++own.failuresInRow;
    if (own.failuresInRow < failuresToEject || m_ejected >= m_limit) {
        return std::nullopt;
    }
    eject(own, now);
    return health_change::Ejected;
}

} // namespace daisypass
