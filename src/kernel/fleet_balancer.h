#pragma once

// Runs the pool balancer for a controller: converts the loads that entries report into samples per pool.
//
//     controller.setBalancer(makeFleetBalancer());
//
// A pool's offered work is the number of its requests at all entries, running or queued. A VM that is being moved counts as
// arriving in its destination pool, so that the same move is not requested twice.

#include "kernel/fleet_controller.h"
#include "kernel/pool_balancer.h"

#include <vector>

namespace daisypass {

/** Returns one sample per configured pool, ordered by name. */
std::vector<pool_sample> poolSamples(const fleet_state &state, const controller_input &input);

/** Returns a balancer with its own demand estimates, which are reset when the configured weights change. */
fleet_controller::balancer makeFleetBalancer();

} // namespace daisypass
