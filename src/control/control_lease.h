#pragma once

// Leader lease of the controllers, stored in the row control/lease: in each interval one controller plans and appends. The lease only
// avoids redundant work. Safety rests on the conditional write to the head of the fleet log, so a holder that was paused past the end
// of its lease does no harm.
//
//     control_lease lease(table, "control-1");
//     if (lease.acquireOrRenew(wallTime, writeId)) { ... }

#include "base/time.h"
#include "services/table_service.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisypass {

class control_lease
{
public:
    /** A lease covers one interval of wall-clock time; intervals start at multiples of this duration. */
    static constexpr duration interval = std::chrono::seconds(5);
    /** Controllers that do not hold the lease wait this long after the start of an interval, so that the holder usually renews it. */
    static constexpr duration takeoverDelay = std::chrono::milliseconds(1'500);

    control_lease(table_service table, std::string controller);

    /** Returns whether this controller holds the lease of the current interval. Reads and writes the row at most once per call. Blocks. */
    bool acquireOrRenew(timestamp now, std::string_view writeId);

private:
    table_service m_table;
    std::string m_controller;
    std::int64_t m_interval = -1;
    bool m_holdsLease = false;
    bool m_outcomeKnown = false;
};

} // namespace daisypass
