#pragma once

// Ejects targets that fail consecutive requests (outlier ejection). After a cool-down, which doubles with each ejection, one probe request decides whether the
// target returns. The success of a request that was in flight at the ejection returns it earlier.
//
//     if (health.permits(index, inFlight, now)) { ... }
//     health.recordOutcome(index, outcome, now);

#include "base/time.h"
#include "kernel/request.h"
#include "kernel/request_table.h"

#include <optional>
#include <vector>

namespace daisypass {

enum class health_change {
    Ejected,
    Restored,
};

class target_health
{
public:
    /** Sets how many targets may be ejected at the same time. */
    void setLimit(int limit)
    {
        m_limit = limit;
    }
    /** Clears the state of a target, for example because its VM left the view and was rebooted. */
    void reset(target_index index);

    /** Whether a request may start on the target. On an ejected target only a single probe may run, once the cool-down is over. */
    bool permits(target_index index, int inFlight, timestamp now) const;
    bool ejected(target_index index) const
    {
        return index < m_targets.size() && m_targets[index].ejected;
    }
    /** Length of the target's current or last cool-down. */
    duration coolDown(target_index index) const;

    /** Records the outcome of an attempt, and returns the resulting change. Refusals are ignored, because they say nothing about health. */
    std::optional<health_change> recordOutcome(target_index index, attempt_outcome outcome, timestamp now);

private:
    struct target
    {
        int failuresInRow = 0;
        /** Number of consecutive ejections; the cool-down doubles with each. */
        int ejectionsInRow = 0;
        bool ejected = false;
        timestamp coolDownEnd{};
        timestamp restoredAt{};
    };

    target &recordOf(target_index index);
    void eject(target &record, timestamp now);

    std::vector<target> m_targets;
    int m_limit = 0;
    int m_ejected = 0;
};

} // namespace daisypass
