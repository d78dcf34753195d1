#pragma once

// Since when tenants are held back, for log lines that don't follow each placement pass.
//
//     if (holds.hold(tenant, now)) { log the start }
//     for (std::size_t tenant : holds.takeEnded(now)) { log the end }

#include "sched/model.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace daisypass::sched {

/** A tenant counts as held back until no pass has held it back for this long. */
inline constexpr time_ms holdEndMs = 2'000;

class tenant_holds
{
public:
    /** A pass holds the tenant back; true if it wasn't held back before. */
    bool hold(std::size_t tenant, time_ms now)
    {
        return m_lastHeldAt.insert_or_assign(tenant, now).second;
    }

    /** Whether a pass has held it back within `withinMs`. */
    bool wasHeld(std::size_t tenant, time_ms now, time_ms withinMs) const
    {
        const auto found = m_lastHeldAt.find(tenant);
        return found != m_lastHeldAt.end() && now - found->second <= withinMs;
    }

    std::size_t count() const
    {
        return m_lastHeldAt.size();
    }

    /** Removes the tenants that no pass has held back lately and returns them. */
    std::vector<std::size_t> takeEnded(time_ms now)
    {
        std::vector<std::size_t> ended;
        std::erase_if(m_lastHeldAt, [&](const std::pair<const std::size_t, time_ms> &one) {
            const bool over = now - one.second > holdEndMs;
            if (over) {
                ended.push_back(one.first);
            }
            return over;
        });
        return ended;
    }

private:
    std::map<std::size_t, time_ms> m_lastHeldAt;
};

} // namespace daisypass::sched
