#pragma once

// The order in which the waiting steps of one pool and priority are placed while their tenants share the pool's room.
//
//     share_round round(ledger, pool, room);
//     for (step : steps) { round.add(tenant, demand of its waiting tasks); }     // in their usual order
//     round.divide();
//     while (std::optional<std::size_t> index = round.next()) { place steps[*index]; round.placed(*index); }
//     for (std::size_t index : round.left()) { place steps[index]; }
//
// The round reads what the tenants use from the ledger, which counts each task as it is placed.

#include "sched/model.h"
#include "sched/tenant_ledger.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace daisypass::sched {

class share_round
{
public:
    /** A tenant's part in the round. */
    struct standing
    {
        std::size_t tenant = noTenant;
        /** Demand of its waiting tasks. */
        resources waiting;
        /** Part of the room that it may use before others that are below their share. */
        double share = 0;
        /** Part of the room that it uses. */
        double use = 0;
        /** The part that it would use if it were alone and its waiting tasks ran, as far as its cap allows. */
        double wanted = 0;
        /** Indices of its steps in their usual order, and the position of the next one. */
        std::vector<std::size_t> steps;
        std::size_t next = 0;

        /** Whether its waiting tasks wait for its share. */
        bool isHeld() const
        {
            return use >= share && share < wanted;
        }
    };

    /** `room` is what the tenants share: what is free and what is in use. */
    share_round(tenant_ledger &ledger, const std::string &pool, const resources &room);

    /** Adds the next step. */
    void add(std::size_t tenant, const resources &waiting);
    /** Computes the shares. */
    void divide();
    /** Whether the tenants want more than the room. */
    bool isShort() const
    {
        return m_wanted > 1.0;
    }
    /**
     * The next step of the tenant that uses least for its weight among those below their share; empty if there is none. Its turn lasts until
     * it uses more for its weight than the next tenant.
     */
    std::optional<std::size_t> next();
    /** The step was placed as far as the turn and the room allowed. */
    void placed(std::size_t step);
    /** The steps that have waited for their tenants' shares, in their usual order. */
    std::vector<std::size_t> left() const;
    /** Whether the turn lets the tenant start one more task. */
    bool mayStart(std::size_t tenant) const;
    const std::vector<standing> &standings() const
    {
        return m_standings;
    }

private:
    double useOf(std::size_t tenant) const;

    tenant_ledger &m_ledger;
    std::string m_pool;
    resources m_room;
    /** By the tenant's index. */
    std::vector<standing> m_standings;
    /** The tenant of each step. */
    std::vector<std::size_t> m_tenantOfStep;
    /** Parts of the room that all tenants want. */
    double m_wanted = 0;
    /** What the tenant whose turn it is may use for its weight. */
    double m_turnLimit = 0;
};

} // namespace daisypass::sched
