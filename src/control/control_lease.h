#pragma once

// The row control/lease: one controller does the work of each interval. The lease only avoids redundant work; the condition on the
// head of the fleet log upholds the guarantees, so a holder that was paused does no harm.
//
//     control_lease lease(table, "control-1");
//     if (lease.hold(wallTime, writeId)) { ... }

#include "base/time.h"
#include "services/table_service.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisypass {

class control_lease
{
public:
    static constexpr duration interval = std::chrono::seconds(5);
    /** Other controllers try this long after the begin of an interval, so that the holder usually keeps the lease. */
    static constexpr duration takeoverDelay = std::chrono::milliseconds(1'500);

    control_lease(table_service table, std::string controller);

    /** Whether this controller holds the current interval; reads or writes the row at most once per call. Blocks. */
    bool hold(timestamp now, std::string_view writeId);

private:
    table_service m_table;
    std::string m_controller;
    std::int64_t m_interval = -1;
    bool m_held = false;
    bool m_decided = false;
};

} // namespace daisypass
