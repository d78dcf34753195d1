#include "sched/share_round.h"

#include "base/saturating_cast.h"
#include "sched/fair_shares.h"

#include <algorithm>
#include <limits>

namespace daisypass::sched {
namespace {

// The part of the waiting demand that the room admits. A task that can't get one resource needs none of the others.
double admittedPart(const resources &waiting, const resources &room)
{
    const auto part = [](std::int64_t wanted, std::int64_t left) {
        return wanted <= left ? 1.0 : static_cast<double>(left) / static_cast<double>(wanted);
    };
    return std::min({part(waiting.cpu, room.cpu), part(waiting.memoryMb, room.memoryMb), part(waiting.gpu, room.gpu)});
}

resources scaled(const resources &one, double factor)
{
    const auto scale = [factor](std::int64_t amount) {
        return saturatingCast<std::int64_t>(static_cast<double>(amount) * factor);
    };
    return {scale(one.cpu), scale(one.memoryMb), scale(one.gpu)};
}

} // namespace

share_round::share_round(tenant_ledger &ledger, const std::string &pool, const resources &room)
    : m_ledger(ledger)
    , m_pool(pool)
    , m_room(room)
    , m_standings(ledger.count())
{
    for (std::size_t tenant = 0; tenant < m_standings.size(); ++tenant) {
        m_standings[tenant].tenant = tenant;
        m_standings[tenant].use = useOf(tenant);
    }
}

void share_round::add(std::size_t tenant, const resources &waiting)
{
    standing &one = m_standings[tenant];
    one.waiting += waiting;
    one.steps.push_back(m_tenantOfStep.size());
    m_tenantOfStep.push_back(tenant);
}

// What a tenant's cap forbids it to start is left to the others.
void share_round::divide()
{
    std::vector<share_claim> claims;
    m_wanted = 0;
    for (standing &one : m_standings) {
        resources wanted = scaled(one.waiting, admittedPart(one.waiting, m_ledger.roomOf(one.tenant)));
        wanted += m_ledger.sharedUse(m_pool, one.tenant);
        one.wanted = dominantShare(wanted, m_room);
        claims.push_back({m_ledger.weightOf(one.tenant), one.wanted});
        m_wanted += one.wanted;
    }
    const std::vector<double> shares = fairShares(claims);
    for (std::size_t tenant = 0; tenant < shares.size(); ++tenant) {
        m_standings[tenant].share = shares[tenant];
    }
}

std::optional<std::size_t> share_round::next()
{
    std::optional<std::size_t> best;
    double bestUse = std::numeric_limits<double>::infinity();
    m_turnLimit = std::numeric_limits<double>::infinity();
    for (const standing &one : m_standings) {
        if (one.next >= one.steps.size() || one.use >= one.share) {
            continue;
        }
        const double use = one.use / m_ledger.weightOf(one.tenant);
        if (use < bestUse) {
            m_turnLimit = bestUse;
            bestUse = use;
            best = one.steps[one.next];
        } else {
            m_turnLimit = std::min(m_turnLimit, use);
        }
    }
    return best;
}

// A step that the end of the turn has cut short may have tasks left.
void share_round::placed(std::size_t step)
{
    standing &one = m_standings[m_tenantOfStep[step]];
    one.use = useOf(one.tenant);
    if (mayStart(one.tenant)) {
        ++one.next;
    }
}

std::vector<std::size_t> share_round::left() const
{
    std::vector<std::size_t> steps;
    for (const standing &one : m_standings) {
        steps.insert(steps.end(), one.steps.begin() + static_cast<std::ptrdiff_t>(one.next), one.steps.end());
    }
    std::sort(steps.begin(), steps.end());
    return steps;
}

bool share_round::mayStart(std::size_t tenant) const
{
    const double use = useOf(tenant);
    return use < m_standings[tenant].share && use / m_ledger.weightOf(tenant) <= m_turnLimit;
}

double share_round::useOf(std::size_t tenant) const
{
    return dominantShare(m_ledger.sharedUse(m_pool, tenant), m_room);
}

} // namespace daisypass::sched
