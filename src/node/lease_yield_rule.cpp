#include "node/lease_yield_rule.h"

#include <algorithm>

namespace daisypass {
namespace {

// A small machine holds the lease for at least this long before it releases it for a larger one.
constexpr sched::time_ms minSmallHolderTermMs = 3'000;

} // namespace

void lease_yield_rule::termStarted(sched::time_ms now)
{
    m_termStartedAt = now;
}

bool lease_yield_rule::mustYield(bool holdsTerm, std::int64_t newestLargerEntry, sched::time_ms now)
{
    const bool newer = newestLargerEntry > m_handledEntry;
    const bool tooEarly = holdsTerm && now - m_termStartedAt < minSmallHolderTermMs;
    if (!newer || tooEarly) {
        return false;
    }
    // Without a term, the machine that joined has had its chance to take the lease.
    m_handledEntry = newestLargerEntry;
    return holdsTerm;
}

} // namespace daisypass
