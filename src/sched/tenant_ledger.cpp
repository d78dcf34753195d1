#include "sched/tenant_ledger.h"

#include <algorithm>
#include <limits>

namespace daisypass::sched {
namespace {

bool admits(std::int64_t cap, std::int64_t used, std::int64_t demand)
{
    return cap == 0 || demand == 0 || used + demand <= cap;
}

bool admits(const resources &cap, const resources &used, const resources &demand)
{
    return admits(cap.cpu, used.cpu, demand.cpu) && admits(cap.memoryMb, used.memoryMb, demand.memoryMb) && admits(cap.gpu, used.gpu, demand.gpu);
}

std::int64_t roomUnder(std::int64_t cap, std::int64_t used)
{
    return cap == 0 ? std::numeric_limits<std::int64_t>::max() : std::max<std::int64_t>(0, cap - used);
}

} // namespace

resources times(const resources &one, std::int64_t count)
{
    return {one.cpu * count, one.memoryMb * count, one.gpu * count};
}

tenant_ledger::tenant_ledger()
    : m_accounts(1)
{
}

void tenant_ledger::configure(std::span<const tenant_config> tenants)
{
    m_inUse = !tenants.empty();
    for (const tenant_config &tenant : tenants) {
        account &configured = m_accounts[indexOf(tenant.name)];
        configured.weight = tenant.weight > 0 ? tenant.weight : 1.0;
        configured.cap = tenant.cap;
        configured.known = true;
    }
}

std::size_t tenant_ledger::indexOf(const std::string &tenant)
{
    if (tenant.empty()) {
        return noTenant;
    }
    const auto added = m_indices.try_emplace(tenant, m_accounts.size());
    if (added.second) {
        m_accounts.emplace_back().name = tenant;
    }
    return added.first->second;
}

std::vector<resources> &tenant_ledger::poolUse(const std::string &pool)
{
    std::vector<resources> &use = m_poolUse[pool];
    use.resize(m_accounts.size());
    return use;
}

void tenant_ledger::add(const task_id &task, const tenant_charge &charge)
{
    if (!m_charges.try_emplace(task, charge).second) {
        return;
    }
    m_accounts[charge.tenant].used += charge.demand;
    poolUse(charge.pool)[charge.tenant] += charge.shared;
}

void tenant_ledger::remove(const task_id &task)
{
    const auto found = m_charges.find(task);
    if (found == m_charges.end()) {
        return;
    }
    const tenant_charge &charge = found->second;
    m_accounts[charge.tenant].used -= charge.demand;
    poolUse(charge.pool)[charge.tenant] -= charge.shared;
    m_charges.erase(found);
}

void tenant_ledger::clear()
{
    m_charges.clear();
    m_poolUse.clear();
    for (account &one : m_accounts) {
        one.used = {};
        one.uncertain = {};
    }
}

void tenant_ledger::clearUncertain()
{
    for (account &one : m_accounts) {
        one.uncertain = {};
    }
}

void tenant_ledger::addUncertain(std::size_t tenant, const resources &demand)
{
    m_accounts[tenant].uncertain += demand;
}

resources tenant_ledger::usedBy(std::size_t tenant) const
{
    resources used = m_accounts[tenant].used;
    used += m_accounts[tenant].uncertain;
    return used;
}

bool tenant_ledger::mayAdd(std::size_t tenant, const resources &demand) const
{
    return admits(m_accounts[tenant].cap, usedBy(tenant), demand);
}

bool tenant_ledger::mayEverAdd(std::size_t tenant, const resources &demand) const
{
    return admits(m_accounts[tenant].cap, {}, demand);
}

bool tenant_ledger::isAboveCap(std::size_t tenant, const resources &demand) const
{
    const resources &cap = m_accounts[tenant].cap;
    const resources used = usedBy(tenant);
    const auto above = [](std::int64_t limit, std::int64_t use, std::int64_t wanted) {
        return limit != 0 && wanted != 0 && use > limit;
    };
    return above(cap.cpu, used.cpu, demand.cpu) || above(cap.memoryMb, used.memoryMb, demand.memoryMb) || above(cap.gpu, used.gpu, demand.gpu);
}

resources tenant_ledger::roomOf(std::size_t tenant) const
{
    const resources &cap = m_accounts[tenant].cap;
    const resources used = usedBy(tenant);
    return {roomUnder(cap.cpu, used.cpu), roomUnder(cap.memoryMb, used.memoryMb), roomUnder(cap.gpu, used.gpu)};
}

const resources &tenant_ledger::sharedUse(const std::string &pool, std::size_t tenant)
{
    return poolUse(pool)[tenant];
}

resources tenant_ledger::sharedUse(const std::string &pool)
{
    resources sum;
    for (const resources &use : poolUse(pool)) {
        sum += use;
    }
    return sum;
}

} // namespace daisypass::sched
