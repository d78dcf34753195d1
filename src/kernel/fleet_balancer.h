#pragma once

// Runs the pool balancer for a controller: turns what entries report about their loads into samples.
//
//     controller.setBalancer(makeFleetBalancer());
//
// A pool's offered work is the number of requests that its entries hold, running or queued. Moves under way count for the
// pool that they lead to, so that the same move is not asked for twice.

#include "kernel/fleet_controller.h"
#include "kernel/pool_balancer.h"

#include <vector>

namespace daisypass {

/** One sample per pool of the configuration, in the order of their names. */
std::vector<pool_sample> poolSamples(const fleet_state &state, const controller_input &input);

/** A balancer with estimates of its own; they start anew when the weights of the configuration change. */
fleet_controller::balancer makeFleetBalancer();

} // namespace daisypass
