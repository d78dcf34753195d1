#include "kernel/slot_ledger.h"

#include <algorithm>

namespace daisypass {

namespace {

/** How long the usable slots of a target ramp up after its return to service, so that caches and connections warm up before the full load. */
constexpr duration rampTime = std::chrono::seconds(10);
/** How long a refusal keeps one slot of the target unused. Shorter than a loan, so that the slot is not idle for long once the other entry's request has ended.
 */
constexpr duration refusalTime = std::chrono::milliseconds(50);

/** How long a peer's report is valid: the time after which a silent peer is suspected. Peers report every 500 ms. */
constexpr duration reportValidity = std::chrono::seconds(2);

template<class... visitors>
struct overloaded : visitors...
{
    using visitors::operator()...;
};

template<class... visitors>
overloaded(visitors...) -> overloaded<visitors...>;

int activeSlots(const std::vector<slot_loan> &loans, timestamp at)
{
    int count = 0;
    for (const slot_loan &loan : loans) {
        count += loan.expires > at ? loan.count : 0;
    }
    return count;
}

// Divides a target's slots evenly between the entries. Which entries get the remainder rotates with the target's index.
int staticShareOf(const std::vector<std::string> &entries, std::string_view self, std::size_t target, int slots)
{
    const auto position = std::find(entries.begin(), entries.end(), self);
    if (entries.empty() || position == entries.end()) {
        return slots;
    }
    const int count = static_cast<int>(entries.size());
    const int rank = static_cast<int>((static_cast<std::size_t>(position - entries.begin()) + target) % entries.size());
    return slots / count + (rank < slots % count ? 1 : 0);
}

} // namespace

target_index slot_ledger::find(std::string_view vm) const
{
    for (target_index index = 0; index < m_targets.size(); ++index) {
        if (m_targets[index].vm == vm) {
            return index;
        }
    }
    return noTarget;
}

target_index slot_ledger::findOrAdd(std::string_view vm)
{
    const target_index known = find(vm);
    if (known != noTarget) {
        return known;
    }
    for (target_index index = 0; index < m_targets.size(); ++index) {
        if (!m_targets[index].inView && m_targets[index].inFlight == 0) {
            m_targets[index] = {};
            m_targets[index].vm = vm;
            return index;
        }
    }
    m_targets.emplace_back().vm = vm;
    return static_cast<target_index>(m_targets.size() - 1);
}

void slot_ledger::update(const view_changed &view)
{
    m_slotsPerTarget = view.config.slotsPerTarget;
    for (target_slots &target : m_targets) {
        target.inView = false;
    }
    // Known targets are marked first, so that findOrAdd() does not reuse their indices for new targets.
    for (const target_view &viewed : view.targets) {
        const target_index known = find(viewed.vm);
        if (known != noTarget) {
            m_targets[known].inView = true;
        }
    }
    std::vector<std::string> entries = view.entries;
    std::sort(entries.begin(), entries.end());
    for (std::size_t rank = 0; rank < view.targets.size(); ++rank) {
        const target_view &viewed = view.targets[rank];
        target_slots &target = m_targets[findOrAdd(viewed.vm)];
        target.inView = true;
        if (target.owner != viewed.owner) {
            // A new owner does not know the loans of its predecessor, so the borrowers stop using them. The predecessor keeps lent slots reserved until the
            // loans expire, in case it becomes the owner again at once.
            target.borrowed.clear();
        }
        target.owner = viewed.owner;
        target.owned = viewed.owner == view.self;
        target.size = viewed.size;
        target.servingSince = viewed.servingSince;
        target.staticShare = staticShareOf(entries, view.self, rank, m_slotsPerTarget);
    }
    for (target_slots &target : m_targets) {
        if (!target.inView) {
            target.owned = false;
            target.borrowed.clear();
        }
    }
}

int slot_ledger::capacity(const target_slots &target, timestamp now) const
{
    if (!target.inView) {
        return 0;
    }
    const duration inService = now - target.servingSince;
    if (target.servingSince == timestamp{} || inService >= rampTime) {
        return m_slotsPerTarget;
    }
    const std::int64_t part = m_slotsPerTarget * std::max(inService, duration{}) / rampTime;
    return std::max(1, static_cast<int>(part));
}

// The reported requests of a peer are assigned to its loans first; those that exceed its loans have outlived one.
int slot_ledger::committedToPeers(const target_slots &target, const lent_slots &policy, timestamp now) const
{
    int committed = activeSlots(target.lent, now - policy.grace);
    for (const std::pair<const std::string, reported_use> &other : target.peerUse) {
        int coveredByLoans = 0;
        for (const slot_loan &loan : target.lent) {
            coveredByLoans += loan.peer == other.first && loan.expires > now - policy.grace ? loan.count : 0;
        }
        committed += std::max(0, other.second.count - coveredByLoans);
    }
    return committed;
}

int slot_ledger::ownSlots(const target_slots &target, timestamp now) const
{
    const overloaded visitor{
        [&](const lent_slots &policy) {
            return target.owned ? capacity(target, now) - committedToPeers(target, policy, now) : 0;
        },
        [&](const static_slot_shares &) {
            return std::min(target.staticShare, capacity(target, now));
        },
        [&](const unowned_slots &) {
            return capacity(target, now);
        },
        [&](const pool_owner_slots &) {
            return capacity(target, now);
        },
    };
    return std::visit(visitor, m_policy);
}

int slot_ledger::available(target_index index, timestamp now, duration need) const
{
    const target_slots &target = m_targets[index];
    if (!target.inView) {
        return 0;
    }
    const int borrowed = target.borrowed.empty() ? 0 : activeSlots(target.borrowed, now + need);
    return ownSlots(target, now) - target.refusedSlots + borrowed - target.inFlight;
}

int slot_ledger::usable(timestamp now) const
{
    int total = 0;
    for (const target_slots &target : m_targets) {
        if (target.inView) {
            total += std::max(0, ownSlots(target, now)) + activeSlots(target.borrowed, now);
        }
    }
    return total;
}

bool slot_ledger::anyAvailable(timestamp now) const
{
    for (target_index index = 0; index < m_targets.size(); ++index) {
        if (available(index, now, {}) > 0) {
            return true;
        }
    }
    return false;
}

int slot_ledger::owned(timestamp now) const
{
    int total = lentOut(now);
    for (const target_slots &target : m_targets) {
        total += target.inView ? ownSlots(target, now) : 0;
    }
    return total;
}

int slot_ledger::lentOut(timestamp now) const
{
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    int total = 0;
    for (const target_slots &target : m_targets) {
        total += policy != nullptr && target.owned ? committedToPeers(target, *policy, now) : 0;
    }
    return total;
}

int slot_ledger::lentTo(std::string_view peer, timestamp now) const
{
    int total = 0;
    for (const target_slots &target : m_targets) {
        for (const slot_loan &loan : target.lent) {
            total += loan.peer == peer && loan.expires > now ? loan.count : 0;
        }
    }
    return total;
}

int slot_ledger::lendable(timestamp now, const std::function<bool(target_index)> &permitted) const
{
    int total = 0;
    for (target_index index = 0; index < m_targets.size(); ++index) {
        total += m_targets[index].owned && permitted(index) ? std::max(0, available(index, now, {})) : 0;
    }
    return total;
}

int slot_ledger::choices() const
{
    const unowned_slots *policy = std::get_if<unowned_slots>(&m_policy);
    return policy != nullptr ? policy->choices : 0;
}

int slot_ledger::knownLoad(target_index index) const
{
    int load = m_targets[index].inFlight;
    for (const std::pair<const std::string, reported_use> &other : m_targets[index].peerUse) {
        load += other.second.count;
    }
    return load;
}

int slot_ledger::poolCapacity(timestamp now) const
{
    int total = 0;
    for (const target_slots &target : m_targets) {
        total += capacity(target, now);
    }
    return total;
}

void slot_ledger::start(target_index index, timestamp now)
{
    ++m_targets[index].inFlight;
    m_targets[index].lastUsedAt = now;
}

void slot_ledger::end(target_index index)
{
    --m_targets[index].inFlight;
}

void slot_ledger::recordRefusal(target_index index, timestamp now)
{
    target_slots &target = m_targets[index];
    target.refusedSlots = std::min(target.refusedSlots + 1, m_slotsPerTarget);
    target.refusedUntil = now + refusalTime;
}

void slot_ledger::recordPeerLoad(const peer_load &load, timestamp now)
{
    for (target_slots &target : m_targets) {
        target.peerUse.erase(load.peer);
    }
    for (const target_load &running : load.running) {
        const target_index index = find(running.vm);
        if (index != noTarget && running.count > 0) {
            m_targets[index].peerUse[load.peer] = {running.count, now};
        }
    }
}

std::vector<slot_grant> slot_ledger::lend(std::string_view peer, int count, timestamp now, const std::function<bool(target_index)> &permitted)
{
    std::vector<slot_grant> grants;
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    while (policy != nullptr && count > 0) {
        target_index best = noTarget;
        int mostFree = 0;
        for (target_index index = 0; index < m_targets.size(); ++index) {
            const int free = m_targets[index].owned && permitted(index) ? available(index, now, {}) : 0;
            if (free > mostFree) {
                best = index;
                mostFree = free;
            }
        }
        if (best == noTarget) {
            break;
        }
        target_slots &target = m_targets[best];
        const slot_grant grant{target.vm, std::min(mostFree, count), now + policy->term};
        target.lent.push_back({std::string(peer), grant.count, grant.expires});
        grants.push_back(grant);
        count -= grant.count;
    }
    return grants;
}

void slot_ledger::reclaim(const slots_returned &returned)
{
    for (const slot_grant &grant : returned.grants) {
        const target_index index = find(grant.vm);
        if (index == noTarget) {
            continue;
        }
        int left = grant.count;
        for (slot_loan &loan : m_targets[index].lent) {
            const int taken = loan.peer == returned.peer ? std::min(left, loan.count) : 0;
            loan.count -= taken;
            left -= taken;
        }
        std::erase_if(m_targets[index].lent, [](const slot_loan &loan) {
            return loan.count == 0;
        });
    }
}

void slot_ledger::borrow(const slots_granted &granted, timestamp now)
{
    for (const slot_grant &grant : granted.grants) {
        const target_index index = find(grant.vm);
        // A grant from a peer that no longer owns the target in this view is ignored, because the new owner assigns the same slots again.
        if (index != noTarget && m_targets[index].owner == granted.peer && m_targets[index].inView && grant.count > 0 && grant.expires > now) {
            m_targets[index].borrowed.push_back({granted.peer, grant.count, grant.expires});
            m_targets[index].lastUsedAt = now;
        }
    }
}

void slot_ledger::expire(timestamp now)
{
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    const duration grace = policy != nullptr ? policy->grace : duration{};
    for (target_slots &target : m_targets) {
        std::erase_if(target.lent, [&](const slot_loan &loan) {
            return loan.expires + grace <= now;
        });
        std::erase_if(target.borrowed, [&](const slot_loan &loan) {
            return loan.expires <= now;
        });
        std::erase_if(target.peerUse, [&](const std::pair<const std::string, reported_use> &other) {
            return other.second.reportedAt + reportValidity <= now;
        });
        while (target.refusedSlots > 0 && target.refusedUntil <= now) {
            --target.refusedSlots;
            target.refusedUntil += refusalTime;
        }
    }
}

std::map<std::string, std::vector<slot_grant>> slot_ledger::releaseIdle(timestamp now)
{
    std::map<std::string, std::vector<slot_grant>> released;
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    for (target_slots &target : m_targets) {
        if (policy == nullptr || target.borrowed.empty() || target.lastUsedAt + policy->idle > now) {
            continue;
        }
        int idle = activeSlots(target.borrowed, now) - target.inFlight;
        for (slot_loan &loan : target.borrowed) {
            const int count = std::clamp(idle, 0, loan.count);
            if (count > 0) {
                released[loan.peer].push_back({target.vm, count, loan.expires});
                loan.count -= count;
                idle -= count;
            }
        }
        std::erase_if(target.borrowed, [](const slot_loan &loan) {
            return loan.count == 0;
        });
    }
    return released;
}

} // namespace daisypass
