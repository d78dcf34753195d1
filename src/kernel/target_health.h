#pragma once

// Ejects targets that fail everything they start, with an exponential cool-down and one probe request afterwards.

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
    /** At most this many targets may be ejected at once. */
    void setLimit(int limit)
    {
        m_limit = limit;
    }
    /** Forgets what is known about a target, for example because its VM left the view and was rebooted. */
    void reset(target_index index);

    /** Whether a request may start: always on a healthy target; as the only one once an ejected target's cool-down is over. */
    bool permits(target_index index, int inFlight, timestamp now) const;
    bool ejected(target_index index) const
    {
        return index < m_targets.size() && m_targets[index].ejected;
    }
    duration coolDown(target_index index) const;

    /** Returns what changed through this outcome. Refusals say nothing about health and are ignored. */
    std::optional<health_change> note(target_index index, attempt_outcome outcome, timestamp now);

private:
    struct target
    {
        int failuresInRow = 0;
        /** Ejections in a row; the cool-down doubles with each. */
        int level = 0;
        bool ejected = false;
        timestamp until{};
        timestamp restoredAt{};
    };

    target &at(target_index index);
    void eject(target &own, timestamp now);

    std::vector<target> m_targets;
    int m_limit = 0;
    int m_ejected = 0;
};

} // namespace daisypass
