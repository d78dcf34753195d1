#pragma once

// A random day of takeovers on virtual time: schedulers follow one another over the same store, registry, fleet and executors.
//
//     takeover_outcome outcome = playTakeovers(seed);
//
// Calls take random times, some orders get no answer and some are carried out late; the store is slow at times; VMs move, go down for
// upkeep, crash and fall silent; a holder goes on giving orders for a while after its successor has taken over. Registry rows come in
// the order of their ids, and entries of former executors stay for a while. The same seed gives the same day.

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
    int upkeeps = 0;
    int overfullExecutors = 0;
    std::vector<std::string> doubleStarts;
    /** The schedulers' notes, for a look at a broken day. */
    std::vector<std::string> trace;
};

takeover_outcome playTakeovers(std::uint64_t seed);

} // namespace daisypass::sched
