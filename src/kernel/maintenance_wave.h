#pragma once

// Calendar arithmetic of maintenance waves: windows, due times and the speed of a wave in one pool. Pure.

#include "base/time.h"
#include "kernel/configuration.h"

namespace daisypass {

/** Planning time for drain, reboot and probe of one VM; feasibility and forecasts are computed with it. */
inline constexpr int minutesPerVm = 15;

/** Share of all time in which the wave's window is open. */
double windowShare(const wave_config &wave);

/** Calendar time that `vms` VMs of one pool take, `atOnce` at a time, within the windows. */
duration maintenanceTime(const wave_config &wave, int vms, int atOnce);

/**
 * A VM becomes due this long before its period ends: twice the time that the pool needs, so that lost windows and cancelled
 * drains do not make a VM late, and at most half of the period.
 */
duration leadTime(const wave_config &wave, int vms);

} // namespace daisypass
