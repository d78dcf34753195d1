#pragma once

// Simulates a random day of takeovers on virtual time: schedulers succeed one another over the same store, registry, fleet and executors.
//
//     takeover_outcome outcome = simulateTakeovers(seed);
//
// Calls take random times, some orders get no answer and some are carried out late, and the store is slow at times. VMs move, go down
// for maintenance, crash or become unresponsive. A former holder continues to give orders for a while after its successor has taken
// over. Registry rows are read in the order of their ids, and entries of former executors stay for a while. The same seed gives the
// same day.

#include "sched/model.h"

#include <cstdint>
#include <string>
#include <vector>

namespace daisypass::sched {

struct takeover_outcome
{
    int takeovers = 0;
    int jobs = 0;
    int unfinished = 0;
    int starts = 0;
    int moves = 0;
    int maintenanceOrders = 0;
    int overloadedExecutors = 0;
    std::vector<std::string> duplicateStarts;
    /** Log events of the schedulers and steps of the simulation with their times, to diagnose a failing seed. */
    std::vector<std::string> trace;
};

/** How often the executors' orders are carried out late, and how much later at most. */
struct late_orders
{
    double probability = 0.01;
    time_ms maxDelayMs = 6'000;
};

takeover_outcome simulateTakeovers(std::uint64_t seed, const late_orders &lateness = {});

} // namespace daisypass::sched
