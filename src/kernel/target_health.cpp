#include "kernel/target_health.h"

#include <algorithm>

namespace daisypass {

namespace {

constexpr duration minCoolDown = std::chrono::seconds(1);
constexpr duration maxCoolDown = std::chrono::seconds(60);
/** Consecutive failures that eject a target. If one request in five fails for reasons of its own, 8 in a row occur once in 400,000 requests; a limit of 5 would
 * eject a healthy target every few thousand requests. */
constexpr int failuresToEject = 8;
/** If a target is ejected again within this time after its return, the cool-down continues to double; otherwise it starts at the minimum. */
constexpr duration relapseTime = std::chrono::seconds(60);

} // namespace

target_health::target &target_health::recordOf(target_index index)
{
    if (index >= m_targets.size()) {
        m_targets.resize(index + 1);
    }
    return m_targets[index];
}

void target_health::reset(target_index index)
{
    m_ejected -= ejected(index) ? 1 : 0;
    recordOf(index) = {};
}

bool target_health::permits(target_index index, int inFlight, timestamp now) const
{
    return !ejected(index) || (now >= m_targets[index].coolDownEnd && inFlight == 0);
}

duration target_health::coolDown(target_index index) const
{
    const int doublings = std::clamp(m_targets[index].ejectionsInRow - 1, 0, 6);
    return std::min(minCoolDown * (1 << doublings), maxCoolDown);
}

void target_health::eject(target &record, timestamp now)
{
    record.ejectionsInRow = record.ejectionsInRow > 0 && now - record.restoredAt > relapseTime && !record.ejected ? 1 : record.ejectionsInRow + 1;
    m_ejected += record.ejected ? 0 : 1;
    record.ejected = true;
    record.failuresInRow = 0;
    record.coolDownEnd = now + coolDown(static_cast<target_index>(&record - m_targets.data()));
}

std::optional<health_change> target_health::recordOutcome(target_index index, attempt_outcome outcome, timestamp now)
{
    target &record = recordOf(index);
    if (outcome == attempt_outcome::Refused) {
        return std::nullopt;
    }
    if (outcome == attempt_outcome::Completed) {
        record.failuresInRow = 0;
        if (!record.ejected) {
            return std::nullopt;
        }
        record.ejected = false;
        record.restoredAt = now;
        --m_ejected;
        return health_change::Restored;
    }
    if (record.ejected) {
        // Failures during the cool-down come from requests that were in flight at the ejection. Only the failure of the probe counts.
        if (now < record.coolDownEnd) {
            return std::nullopt;
        }
        eject(record, now);
        return health_change::Ejected;
    }
    ++record.failuresInRow;
    if (record.failuresInRow < failuresToEject || m_ejected >= m_limit) {
        return std::nullopt;
    }
    eject(record, now);
    return health_change::Ejected;
}

} // namespace daisypass
