#pragma once

// Calendar arithmetic for maintenance waves: windows, due times and the time that a wave takes in one pool.
//
//     timestamp due = vm.maintainedAt + period - leadTime(wave, vmsInPool);

#include "base/time.h"
#include "kernel/configuration.h"

namespace daisypass {

/** Planned time for draining, rebooting and probing one VM, used for feasibility checks and forecasts. */
inline constexpr int minutesPerVm = 15;

/** Share of calendar time in which the wave's window is open. */
double windowShare(const wave_config &wave);

/** Calendar time needed to maintain `vms` VMs of one pool within the windows, `concurrent` VMs at a time. */
duration maintenanceTime(const wave_config &wave, int vms, int concurrent);

/**
 * How long before the end of its period a VM becomes due: twice the time that the pool's maintenance takes, so that missed
 * windows and cancelled drains do not make a VM overdue, but at least one day and at most half of the period.
 */
duration leadTime(const wave_config &wave, int vms);

} // namespace daisypass
