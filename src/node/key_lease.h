#pragma once

// How long a node may decide on keys by the configuration that it knows: a lease on the knowledge of the operator's table. The lease runs
// from the time at which a read was sent whose answer showed nothing newer, because the table may have changed right after the store
// answered.
//
//     key_lease lease(rules);
//     lease.confirm(sentAt);                      // after the answer's changes are in force
//     if (lease.mayAdmit(steadyMillis())) { ... }
//
// A caller must ask the lease before it takes the configuration to decide by. In the other order the configuration may be older than
// what the lease confirms.

#include "sched/model.h"

#include <atomic>
#include <optional>

namespace daisypass {

/** What the deployment demands of decisions on keys. */
struct key_rules
{
    /** Calls of queues that aren't public need a key even if the configuration has no tenants. */
    bool alwaysRequired = false;
    /** A key that was taken away must not be let through later than `revocationMs`, also on a node that is cut off from the store. */
    bool strictRevocation = false;
    sched::time_ms revocationMs = 5'000;
    /** A key that was added must not be refused later than this. */
    sched::time_ms applyMs = 3'000;
};

/** Thread-safe. Times are of steadyMillis(), which also counts suspended time. */
class key_lease
{
public:
    explicit key_lease(const key_rules &rules);

    /** Extends the lease: the configuration in force was the latest one at the time. Earlier times than the latest have no effect. */
    void confirm(sched::time_ms sentAt);
    /** Whether a key that the configuration has may be let through. */
    bool mayAdmit(sched::time_ms now) const;
    /** Whether a key that the configuration doesn't have may be refused for good. */
    bool mayRefuse(sched::time_ms now) const;
    /** Time since the configuration was last known to be the latest; nothing before the first confirmation. */
    std::optional<sched::time_ms> age(sched::time_ms now) const;

private:
    bool isYoungerThan(sched::time_ms maxAge, sched::time_ms now) const;

    bool m_strict;
    sched::time_ms m_maxAgeToAdmit;
    sched::time_ms m_maxAgeToRefuse;
    std::atomic<sched::time_ms> m_confirmedAt;
};

} // namespace daisypass
