#include "node/key_lease.h"

#include "base/saturating_cast.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr sched::time_ms neverConfirmed = -1;
// The machine's clock may run slow by this part, so that more time has passed than it shows.
constexpr double clockError = 0.02;
// Times are rounded to milliseconds, and other threads may delay the step from the check to the decision.
constexpr sched::time_ms checkMarginMs = 50;

// The longest age on this machine's clock at which less than the bound has certainly passed.
sched::time_ms maxAgeFor(sched::time_ms boundMs)
{
    const sched::time_ms onSlowClock = saturatingCast<sched::time_ms>(static_cast<double>(boundMs) * (1.0 - clockError));
    return std::max<sched::time_ms>(0, onSlowClock - checkMarginMs);
}

} // namespace

key_lease::key_lease(const key_rules &rules)
    : m_strict(rules.strictRevocation)
    , m_maxAgeToAdmit(maxAgeFor(rules.revocationMs))
    , m_maxAgeToRefuse(maxAgeFor(rules.strictRevocation ? std::min(rules.revocationMs, rules.applyMs) : rules.applyMs))
    , m_confirmedAt(neverConfirmed)
{
}

void key_lease::confirm(sched::time_ms sentAt)
{
    sched::time_ms known = m_confirmedAt;
    while (sentAt > known && !m_confirmedAt.compare_exchange_weak(known, sentAt)) {
    }
}

bool key_lease::mayAdmit(sched::time_ms now) const
{
    return !m_strict || isYoungerThan(m_maxAgeToAdmit, now);
}

bool key_lease::mayRefuse(sched::time_ms now) const
{
    return isYoungerThan(m_maxAgeToRefuse, now);
}

std::optional<sched::time_ms> key_lease::age(sched::time_ms now) const
{
    const sched::time_ms confirmedAt = m_confirmedAt;
    if (confirmedAt == neverConfirmed) {
        return std::nullopt;
    }
    return now - confirmedAt;
}

bool key_lease::isYoungerThan(sched::time_ms maxAge, sched::time_ms now) const
{
    const std::optional<sched::time_ms> known = age(now);
    return known && *known < maxAge;
}

} // namespace daisypass
