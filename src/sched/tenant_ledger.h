#pragma once

// What the tasks of each tenant use over all pools, and whether the tenant's cap leaves room for more.
//
//     tenant_ledger ledger;
//     ledger.configure(view.tenants);
//     const std::size_t tenant = ledger.indexOf(job.tenant);
//     if (ledger.mayAdd(tenant, step.demand)) { ledger.add(id, {tenant, pool, step.demand, step.countedDemand()}); }
//     ledger.remove(id);                                // when the run has certainly ended

#include "sched/model.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass::sched {

/** Index of the account of jobs that have no tenant. */
inline constexpr std::size_t noTenant = 0;

/** A run that counts for a tenant. */
struct tenant_charge
{
    std::size_t tenant = noTenant;
    std::string pool;
    /** Counts against the tenant's cap. */
    resources demand;
    /** Counts against the tenant's share of the pool; zero for long-running tasks, which are served before shares. */
    resources shared;
};

/** `one`, `count` times. */
resources times(const resources &one, std::int64_t count);

class tenant_ledger
{
public:
    tenant_ledger();

    /** A tenant that is no longer configured keeps its latest weight and cap, for the jobs that were accepted from it. */
    void configure(std::span<const tenant_config> tenants);
    /** Whether the configuration has tenants. Without them nothing is counted. */
    bool isInUse() const
    {
        return m_inUse;
    }
    /** The tenant's index, which stays the same; `noTenant` for an empty name. */
    std::size_t indexOf(const std::string &tenant);
    std::size_t count() const
    {
        return m_accounts.size();
    }
    const std::string &nameOf(std::size_t tenant) const
    {
        return m_accounts[tenant].name;
    }
    double weightOf(std::size_t tenant) const
    {
        return m_accounts[tenant].weight;
    }
    /** Whether the configuration in force, or an earlier one of this term, has the tenant. */
    bool isKnown(std::size_t tenant) const
    {
        return m_accounts[tenant].known;
    }

    /** Counts the run; a task that is counted already isn't counted again. */
    void add(const task_id &task, const tenant_charge &charge);
    void remove(const task_id &task);
    /** Removes all runs. */
    void clear();
    /** Runs that are no longer the current one of their task but may not have ended. They are counted anew before each placement pass. */
    void clearUncertain();
    void addUncertain(std::size_t tenant, const resources &demand);

    /** What the tenant's runs use, the uncertain ones included. */
    resources usedBy(std::size_t tenant) const;
    /** Whether the cap leaves room for the demand now. */
    bool mayAdd(std::size_t tenant, const resources &demand) const;
    /** Whether the cap would leave room for it if nothing of the tenant ran. */
    bool mayEverAdd(std::size_t tenant, const resources &demand) const;
    /** Whether the tenant is above its cap in a resource of the demand. */
    bool isAboveCap(std::size_t tenant, const resources &demand) const;
    /** What the cap leaves; the largest number for a resource without a limit, and 0 if the tenant is above its cap. */
    resources roomOf(std::size_t tenant) const;
    /** What the tenant's runs take of the pool's shared room. */
    const resources &sharedUse(const std::string &pool, std::size_t tenant);
    /** The same of all tenants together. */
    resources sharedUse(const std::string &pool);

private:
    struct account
    {
        std::string name;
        double weight = 1.0;
        resources cap;
        bool known = false;
        resources used;
        resources uncertain;
    };

    std::vector<resources> &poolUse(const std::string &pool);

    bool m_inUse = false;
    std::vector<account> m_accounts;
    std::map<std::string, std::size_t> m_indices;
    std::map<task_id, tenant_charge> m_charges;
    /** The shared room in use by pool and tenant. */
    std::map<std::string, std::vector<resources>> m_poolUse;
};

} // namespace daisypass::sched
