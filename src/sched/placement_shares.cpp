// Placement in a pool that is short of room: tenants get it by their weights.

#include "sched/placement_pass.h"

#include <algorithm>
#include <optional>

namespace daisypass::sched {

// Long-running steps come first in each priority. The others are placed in groups that share the pool by the tenants' weights; jobs
// that a tenant has sent beyond its rate are a group of their own, after the others of the priority.
void scheduler::placement_pass::placeByShares(const std::string &pool,
                                              std::vector<ready_step> &steps,
                                              placement_candidates &candidates,
                                              std::vector<resources> &refused)
{
    for (auto first = steps.begin(); first != steps.end();) {
        const auto last = std::find_if(first, steps.end(), [&first](const ready_step &other) {
            return other.priority != first->priority || other.longRunning != first->longRunning || other.overRate != first->overRate;
        });
        const std::span<ready_step> group(first, last);
        if (first->longRunning) {
            placeInOrder(group, candidates, refused);
        } else {
            placeGroup(pool, group, candidates, refused);
        }
        first = last;
    }
}

// Where the pool is short of room, tenants below their share go first, the one that uses least for its weight before the others, each
// up to its share. What they leave is placed in the usual order.
void scheduler::placement_pass::placeGroup(const std::string &pool,
                                           std::span<ready_step> group,
                                           placement_candidates &candidates,
                                           std::vector<resources> &refused)
{
    share_round round(owner.m_tenants, pool, sharedRoomOf(pool, candidates));
    for (const ready_step &ready : group) {
        const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
        const int waiting = ready.occurrence->steps[static_cast<std::size_t>(ready.step)].waiting;
        round.add(ready.job->tenant, times(stepSpec.countedDemand(), waiting));
    }
    round.divide();
    if (!round.isShort() && !scarcePools.contains(pool)) {
        placeInOrder(group, candidates, refused);
        return;
    }
    shareLimit = &round;
    for (std::optional<std::size_t> next = round.next(); next; next = round.next()) {
        placeStep(group[*next], candidates, refused);
        round.placed(*next);
    }
    shareLimit = nullptr;
    noteShares(pool, round);
    for (std::size_t index : round.left()) {
        placeStep(group[index], candidates, refused);
    }
}

// What the pool's executors have free, and what tasks use of them that are subject to shares.
resources scheduler::placement_pass::sharedRoomOf(const std::string &pool, const placement_candidates &candidates) const
{
    resources room = owner.m_tenants.sharedUse(pool);
    for (const executor_record *executor : candidates.executors()) {
        room += executor->freeCapacity();
    }
    return room;
}

bool scheduler::placement_pass::isAtShareLimit(const job_record &job) const
{
    return shareLimit != nullptr && !shareLimit->mayStart(job.tenant);
}

void scheduler::placement_pass::noteShares(const std::string &pool, const share_round &round)
{
    for (const share_round::standing &one : round.standings()) {
        if (one.share > 0) {
            owner.m_tenantGauges.topUseOverShare = std::max(owner.m_tenantGauges.topUseOverShare, one.use / one.share);
        }
        if (one.isHeld()) {
            owner.holdByShare(one.tenant, pool, one.use, one.share, now);
        }
    }
}

} // namespace daisypass::sched
