#pragma once

// Counts the slots of each target that this entry may use: its own, what it lent, what it borrowed and what is in flight.
//
// Invariant: at each start(), requests in flight on a target are fewer than the owned slots less the loans given, plus the unexpired loans taken.
// Requests in flight on an expired loan still count against later loans of the same target.

#include "kernel/pool_scheduler.h"
#include "kernel/request_table.h"
#include "kernel/slot_policy.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisypass {

struct slot_loan
{
    std::string peer;
    int count = 0;
    timestamp expires{};
};

struct reported_use
{
    int count = 0;
    timestamp at{};
};

struct target_slots
{
    std::string vm;
    std::string owner;
    machine_size size;
    timestamp servingSince{};
    bool inView = false;
    bool owned = false;
    int staticShare = 0;
    int inFlight = 0;
    /** Slots that refusals showed to be used by others; one is released each time `foreignUntil` passes. */
    int foreign = 0;
    timestamp foreignUntil{};
    /** When a borrowed slot was last used. */
    timestamp usedAt{};
    std::vector<slot_loan> lent;
    std::vector<slot_loan> borrowed;
    /** Requests in flight by peer, as last told. */
    std::map<std::string, reported_use, std::less<>> others;
};

class slot_ledger
{
public:
    explicit slot_ledger(const slot_policy &policy)
        : m_policy(policy)
    {
    }

    void update(const view_changed &view);
    bool lends() const
    {
        return std::holds_alternative<lent_slots>(m_policy);
    }
    std::size_t size() const
    {
        return m_targets.size();
    }
    const target_slots &operator[](target_index index) const
    {
        return m_targets[index];
    }
    target_index find(std::string_view vm) const;

    /** Slots of the target that are in service, with the ramp after its return. */
    int capacity(const target_slots &target, timestamp now) const;
    /** Slots on which this entry may start a request that is expected to run for `need`. */
    int available(target_index index, timestamp now, duration need) const;
    /** Slots that this entry may use over all targets, in flight or free. */
    int usable(timestamp now) const;
    /** Whether any slot is free for a short request, in O(targets). */
    bool anyAvailable(timestamp now) const;
    /** Slots that belong to this entry, lent or not. */
    int owned(timestamp now) const;
    /** Owned slots that peers hold, by loans or by requests that outlived a loan. */
    int lentOut(timestamp now) const;
    int lentTo(std::string_view peer, timestamp now) const;
    /** Free owned slots of the targets that `permitted` accepts. */
    int lendable(timestamp now, const std::function<bool(target_index)> &permitted) const;
    /** Random targets to compare for each request; 0 means all. */
    int choices() const;
    /** Requests in flight on the target as far as this entry knows. */
    int knownLoad(target_index index) const;
    int poolCapacity(timestamp now) const;

    void start(target_index index, timestamp now);
    void end(target_index index);
    void noteRefusal(target_index index, timestamp now);
    void notePeer(const peer_load &load, timestamp now);

    /** Grants at most `count` free owned slots of the targets that `permitted` accepts. */
    std::vector<slot_grant> lend(std::string_view peer, int count, timestamp now, const std::function<bool(target_index)> &permitted);
    void takeBack(const slots_returned &returned);
    void borrow(const slots_granted &granted, timestamp now);
    /** Forgets expired loans. */
    void expire(timestamp now);
    /** Removes and returns the borrowed slots that are unused, by lender. */
    std::map<std::string, std::vector<slot_grant>> releaseIdle(timestamp now);

private:
    int ownSlots(const target_slots &target, timestamp now) const;
    int heldByPeers(const target_slots &target, const lent_slots &policy, timestamp now) const;
    target_index place(std::string_view vm);

    slot_policy m_policy;
    std::vector<target_slots> m_targets;
    int m_slotsPerTarget = 8;
};

} // namespace daisypass
