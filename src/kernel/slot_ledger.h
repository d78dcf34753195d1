#pragma once

// Counts the slots of each target that this entry may use: owned, lent and borrowed slots, and requests in flight.
//
//     if (ledger.available(index, now, expectedRunTime) > 0) {
//         ledger.start(index, now);
//     }
//
// Invariant: at each start(), the requests in flight on a target are fewer than its owned slots minus the slots lent, plus the unexpired borrowed slots.
// Requests that outlive a loan continue to count against later loans of the same target.

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

/** Requests in flight on a target, as reported by a peer. */
struct reported_use
{
    int count = 0;
    timestamp reportedAt{};
};

struct target_slots
{
    std::string vm;
    std::string owner;
    machine_size size;
    timestamp servingSince{};
    /** Whether the target is in the current view. A target outside of it still counts its requests in flight. */
    bool inView = false;
    /** Whether this entry owns the target. */
    bool owned = false;
    /** This entry's slots with the policy `static-shares`. */
    int staticShare = 0;
    int inFlight = 0;
    /** Slots not used because the target refused requests, which shows that others use them. One becomes usable again each time `refusedUntil` passes. */
    int refusedSlots = 0;
    timestamp refusedUntil{};
    /** When a request was last started on the target, or slots of it were last borrowed. */
    timestamp lastUsedAt{};
    std::vector<slot_loan> lent;
    std::vector<slot_loan> borrowed;
    /** Requests in flight of each peer, from its last report. */
    std::map<std::string, reported_use, std::less<>> peerUse;
};

class slot_ledger
{
public:
    explicit slot_ledger(const slot_policy &policy)
        : m_policy(policy)
    {
    }

    void update(const view_changed &view);
    /** Whether entries lend slots to each other, as the policy decides. */
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

    /** Slots of the target that may be used, with the ramp after its return to service; 0 if it is not in the view. */
    int capacity(const target_slots &target, timestamp now) const;
    /** Slots on which this entry may start a request that is expected to run for `need`; negative if more are in flight than allowed now. */
    int available(target_index index, timestamp now, duration need) const;
    /** Slots of all targets that this entry may use, whether occupied or free. */
    int usable(timestamp now) const;
    /** Whether a slot of any target is free, without a minimum remaining time of its loan. Costs O(targets). */
    bool anyAvailable(timestamp now) const;
    /** Slots that this entry owns, including those lent. */
    int owned(timestamp now) const;
    /** Owned slots committed to peers: loans, and requests that outlived a loan. */
    int lentOut(timestamp now) const;
    /** Slots of unexpired loans to the peer. */
    int lentTo(std::string_view peer, timestamp now) const;
    /** Number of free owned slots of the targets that `permitted` accepts. */
    int lendable(timestamp now, const std::function<bool(target_index)> &permitted) const;
    /** Number of random targets to compare for each request; 0 means all targets. */
    int choices() const;
    /** Requests in flight on the target, of this entry and in the reports of its peers. */
    int knownLoad(target_index index) const;
    /** Slots of all targets in the view. */
    int poolCapacity(timestamp now) const;

    /** Records that a request starts on or ends on the target. */
    void start(target_index index, timestamp now);
    void end(target_index index);
    /** Treats one slot of the target as used by others for a short time. */
    void recordRefusal(target_index index, timestamp now);
    void recordPeerLoad(const peer_load &load, timestamp now);

    /** Lends at most `count` free owned slots of the targets that `permitted` accepts. */
    std::vector<slot_grant> lend(std::string_view peer, int count, timestamp now, const std::function<bool(target_index)> &permitted);
    /** Ends loans whose slots a peer returned. */
    void reclaim(const slots_returned &returned);
    /** Adds slots that a peer granted. */
    void borrow(const slots_granted &granted, timestamp now);
    /** Removes expired loans, reports and refusals. */
    void expire(timestamp now);
    /** Removes the borrowed slots that are idle, and returns them by lender. */
    std::map<std::string, std::vector<slot_grant>> releaseIdle(timestamp now);

private:
    /** Slots of the target that this entry may use without borrowing. */
    int ownSlots(const target_slots &target, timestamp now) const;
    /** Slots of loans to peers, and of their reported requests that exceed their loans. */
    int committedToPeers(const target_slots &target, const lent_slots &policy, timestamp now) const;
    /** Reuses the index of a target that has left the view and has no requests in flight. */
    target_index findOrAdd(std::string_view vm);

    slot_policy m_policy;
    std::vector<target_slots> m_targets;
    int m_slotsPerTarget = 8;
};

} // namespace daisypass
