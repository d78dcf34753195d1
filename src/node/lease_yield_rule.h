#pragma once

// Decides when a small machine that holds the leadership lease releases it for a much larger one that has joined since.
//
//     lease_yield_rule rule;
//     rule.termStarted(now);
//     if (rule.mustYield(holdsTerm, newestLargerEntry, now)) { ... release the lease ... }

#include "sched/model.h"

#include <cstdint>

namespace daisypass {

class lease_yield_rule
{
public:
    void termStarted(sched::time_ms now);
    /**
     * `newestLargerEntry` is the highest version of a much larger machine's directory entry. True at most once for each newer entry, and
     * only when the term has lasted the minimum time; an entry that is read earlier than that counts later.
     */
    bool mustYield(bool holdsTerm, std::int64_t newestLargerEntry, sched::time_ms now);

private:
    sched::time_ms m_termStartedAt = 0;
    /** The highest entry that needs no further release. */
    std::int64_t m_handledEntry = 0;
};

} // namespace daisypass
