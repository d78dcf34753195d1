#include "kernel/slot_ledger.h"

#include <algorithm>

namespace daisypass {

namespace {

/** A target that returns is loaded gradually, so that caches and connections warm up before the full load. */
constexpr duration rampTime = std::chrono::seconds(10);
/** How long one refusal keeps one slot of the target unused. Shorter than a loan, so that a slot does not stay idle after its user has left. */
constexpr duration refusalHold = std::chrono::milliseconds(50);

/** A report counts until the peer would be suspected; peers report every 500 ms. */
constexpr duration reportLife = std::chrono::seconds(2);

template<class... visitors>
struct overloaded : visitors...
{
    using visitors::operator()...;
};

template<class... visitors>
overloaded(visitors...) -> overloaded<visitors...>;

int activeCount(const std::vector<slot_loan> &loans, timestamp at)
{
    int count = 0;
    for (const slot_loan &loan : loans) {
        count += loan.expires > at ? loan.count : 0;
    }
    return count;
}

// Evenly by floor; the remainder goes to entries that differ from target to target.
int shareOf(const std::vector<std::string> &entries, std::string_view self, std::size_t target, int slots)
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

target_index slot_ledger::place(std::string_view vm)
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
    // Known targets are marked first, so that place() does not give their index to a new one.
    for (const target_view &seen : view.targets) {
        const target_index known = find(seen.vm);
        if (known != noTarget) {
            m_targets[known].inView = true;
        }
    }
    std::vector<std::string> entries = view.entries;
    std::sort(entries.begin(), entries.end());
    for (std::size_t rank = 0; rank < view.targets.size(); ++rank) {
        const target_view &seen = view.targets[rank];
        target_slots &target = m_targets[place(seen.vm)];
        target.inView = true;
        if (target.owner != seen.owner) {
            // A new owner knows nothing of its predecessor's loans, so the borrowers stop using them. What was lent stays reserved until it expires, in case
            // the ownership returns at once.
            target.borrowed.clear();
        }
        target.owner = seen.owner;
        target.owned = seen.owner == view.self;
        target.size = seen.size;
        target.servingSince = seen.servingSince;
        target.staticShare = shareOf(entries, view.self, rank, m_slotsPerTarget);
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
    const duration served = now - target.servingSince;
    if (target.servingSince == timestamp{} || served >= rampTime) {
        return m_slotsPerTarget;
    }
    const std::int64_t part = m_slotsPerTarget * std::max(served, duration{}) / rampTime;
    return std::max(1, static_cast<int>(part));
}

// A peer's reported requests use its loans first; what exceeds them has outlived a loan.
int slot_ledger::heldByPeers(const target_slots &target, const lent_slots &policy, timestamp now) const
{
    int held = activeCount(target.lent, now - policy.grace);
    for (const std::pair<const std::string, reported_use> &other : target.others) {
        int covered = 0;
        for (const slot_loan &loan : target.lent) {
            covered += loan.peer == other.first && loan.expires > now - policy.grace ? loan.count : 0;
        }
        held += std::max(0, other.second.count - covered);
    }
    return held;
}

int slot_ledger::ownSlots(const target_slots &target, timestamp now) const
{
    const overloaded visitor{
        [&](const lent_slots &policy) {
            return target.owned ? capacity(target, now) - heldByPeers(target, policy, now) : 0;
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
    const int borrowed = target.borrowed.empty() ? 0 : activeCount(target.borrowed, now + need);
    return ownSlots(target, now) - target.foreign + borrowed - target.inFlight;
}

int slot_ledger::usable(timestamp now) const
{
    int total = 0;
    for (const target_slots &target : m_targets) {
        if (target.inView) {
            total += std::max(0, ownSlots(target, now)) + activeCount(target.borrowed, now);
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
        total += policy != nullptr && target.owned ? heldByPeers(target, *policy, now) : 0;
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
    for (const std::pair<const std::string, reported_use> &other : m_targets[index].others) {
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
    m_targets[index].usedAt = now;
}

void slot_ledger::end(target_index index)
{
    --m_targets[index].inFlight;
}

void slot_ledger::noteRefusal(target_index index, timestamp now)
{
    target_slots &target = m_targets[index];
    target.foreign = std::min(target.foreign + 1, m_slotsPerTarget);
    target.foreignUntil = now + refusalHold;
}

void slot_ledger::notePeer(const peer_load &load, timestamp now)
{
    for (target_slots &target : m_targets) {
        target.others.erase(load.peer);
    }
    for (const target_load &running : load.running) {
        const target_index index = find(running.vm);
        if (index != noTarget && running.count > 0) {
            m_targets[index].others[load.peer] = {running.count, now};
        }
    }
}

std::vector<slot_grant> slot_ledger::lend(std::string_view peer, int count, timestamp now, const std::function<bool(target_index)> &permitted)
{
    std::vector<slot_grant> grants;
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    while (policy != nullptr && count > 0) {
        target_index best = noTarget;
        int most = 0;
        for (target_index index = 0; index < m_targets.size(); ++index) {
            const int free = m_targets[index].owned && permitted(index) ? available(index, now, {}) : 0;
            if (free > most) {
                best = index;
                most = free;
            }
        }
        if (best == noTarget) {
            break;
        }
        target_slots &target = m_targets[best];
        const slot_grant grant{target.vm, std::min(most, count), now + policy->term};
        target.lent.push_back({std::string(peer), grant.count, grant.expires});
        grants.push_back(grant);
        count -= grant.count;
    }
    return grants;
}

void slot_ledger::takeBack(const slots_returned &returned)
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
        // A grant of a peer that no longer owns the target in this view is not used; it would add to the new owner's slots.
        if (index != noTarget && m_targets[index].owner == granted.peer && m_targets[index].inView && grant.count > 0 && grant.expires > now) {
            m_targets[index].borrowed.push_back({granted.peer, grant.count, grant.expires});
            m_targets[index].usedAt = now;
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
        std::erase_if(target.others, [&](const std::pair<const std::string, reported_use> &other) {
            return other.second.at + reportLife <= now;
        });
        while (target.foreign > 0 && target.foreignUntil <= now) {
            --target.foreign;
            target.foreignUntil += refusalHold;
        }
    }
}

std::map<std::string, std::vector<slot_grant>> slot_ledger::releaseIdle(timestamp now)
{
    std::map<std::string, std::vector<slot_grant>> released;
    const lent_slots *policy = std::get_if<lent_slots>(&m_policy);
    for (target_slots &target : m_targets) {
        if (policy == nullptr || target.borrowed.empty() || target.usedAt + policy->idle > now) {
            continue;
        }
        int idle = activeCount(target.borrowed, now) - target.inFlight;
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
