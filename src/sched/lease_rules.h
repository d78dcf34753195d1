#pragma once

// Decides when a node may acquire the leadership lease. Does no I/O: the caller passes in what it has read and the time.
//
//     lease_rules rules(self, leaseMs);
//     rules.onRowRead(row, version, now);   // after each read of the lease
//     if (rules.suspectsHolder(now)) { ... try to connect to it; rules.onHolderProbed(refused); }
//     if (rules.mayAcquire(now)) { ... try the conditional write ... }
//
// No task is started between the end of one lease holder and the takeover by the next, so that time must be short. A machine whose
// process has ended refuses connections, so after refusals the lease can be acquired before it expires. A holder that doesn't answer
// may be alive behind a broken link, so its lease has to expire first.

#include "sched/job_account.h"
#include "sched/model.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass::sched {

/**
 * For this long after it sent its last stored renewal, a lease holder extends the leases of executors in full; later extensions are
 * shortened to end at the same time. A successor has seen that renewal, so it knows when the leases end on executors that only the
 * former holder can reach. With executor leases of 5.5 s, runs survive a store outage of 6 s; a successor that has waited 2 s for the
 * holder's lease to expire waits 0.5 s longer than an executor lease for executors that it can't reach.
 */
inline constexpr time_ms grantsWithoutRenewalMs = 2'500;

/** Distance between two terms: each restart of an executor takes one more fencing token of its term. */
inline constexpr std::int64_t fencingTokensPerTerm = 1'000;

/** The term after this one; its fencing tokens are higher than those of all former terms. */
constexpr std::int64_t nextTerm(std::int64_t term)
{
    return (term / fencingTokensPerTerm + 1) * fencingTokensPerTerm;
}

/** The fencing token of an order to an executor that has restarted so often in this term. */
constexpr std::int64_t fencingToken(std::int64_t term, int restarts)
{
    return term + std::min<std::int64_t>(restarts, fencingTokensPerTerm - 1);
}

/** Times of a takeover, as the new lease holder knows them. */
struct term_times
{
    /** When the transaction that acquired the lease was sent. */
    time_ms acquiredAt = 0;
    /** Until when earlier holders may extend the leases of executors in full; in the future if one of them may be alive. */
    time_ms earlierGrantsUntil = 0;

    /** Time until earlierGrantsUntil; 0 if it has passed. */
    time_ms earlierGrantsLeft(time_ms now) const
    {
        return std::max<time_ms>(0, earlierGrantsUntil - now);
    }
};

/** The lease as it is stored. */
struct lease_row
{
    std::string node;
    /** Random number that identifies one incarnation of the holder's process. */
    std::int64_t incarnation = 0;
    std::int64_t term = 0;
    /** The holder has released the lease. */
    bool released = false;
    /** The holder released the lease because its process stops. A holder that keeps running releases the lease without this. */
    bool stopped = false;
    /** How long after this row was written earlier holders may still extend leases of executors. */
    time_ms earlierGrantsMs = 0;
    /** What the holder can still take; empty before it has read the stored jobs. */
    std::optional<job_room> jobRoom{};
};

std::string writeLease(const lease_row &row);
/** Nothing if the text isn't a valid lease. */
std::optional<lease_row> readLease(std::string_view text);

struct lease_identity
{
    std::string node;
    std::int64_t incarnation = 0;
    /** Delay before this node acquires the lease, so that nodes with a shorter delay go first. */
    time_ms candidateDelayMs = 0;
};

/** The calls that try to store one renewal; the call is retried until its outcome is known. */
class renewal_attempts
{
public:
    void sent(time_ms now)
    {
        m_firstSentAt = m_firstSentAt.value_or(now);
        m_lastSentAt = now;
    }

    /** The renewal was stored after this time. `byEarlierCall` means that the last call found it stored by an earlier one. */
    time_ms storedAfter(bool byEarlierCall) const
    {
        return byEarlierCall ? m_firstSentAt.value_or(m_lastSentAt) : m_lastSentAt;
    }

private:
    std::optional<time_ms> m_firstSentAt;
    time_ms m_lastSentAt = 0;
};

class lease_rules
{
public:
    lease_rules(lease_identity self, time_ms leaseMs);

    /** The lease's row was read; version 0 means that there is no row. */
    void onRowRead(const std::optional<lease_row> &row, std::int64_t version, time_ms now);
    /** The store can't be reached, so renewals of the lease go unnoticed until the next read. */
    void onStoreUnreachable();
    void setCandidateDelay(time_ms delayMs);

    /** True if another node holds the lease and its renewal is overdue. */
    bool suspectsHolder(time_ms now) const;
    /** A connection to the holder was attempted; `refused` means that it was refused, so no process listens there. */
    void onHolderProbed(bool refused);
    /** True if this node may try to write itself into the lease now. */
    bool mayAcquire(time_ms now) const;
    /** True if this incarnation of this node holds the lease. */
    bool heldBySelf() const;
    /** Until when earlier holders may extend the leases of executors in full. */
    time_ms earlierGrantsUntil(time_ms now) const;
    /** True if another node holds the lease and has not released it. */
    bool heldByOther() const;
    const std::optional<lease_row> &row() const
    {
        return m_row;
    }
    std::int64_t version() const
    {
        return m_version;
    }

private:
    lease_identity m_self;
    time_ms m_leaseMs;
    std::optional<lease_row> m_row;
    std::int64_t m_version = -1;
    /** Since when every read has shown the same version without a store outage; nothing before the first read or after an outage. */
    std::optional<time_ms> m_unchangedSince;
    /** Consecutive connections that the holder's machine has refused since the latest renewal. */
    int m_refusals = 0;
};

/**
 * Delay before a node acquires a free lease. Nodes much smaller than the largest get a longer delay, and a jitter by the node's name
 * keeps nodes of the same size apart. `cpuShare` and `largestShare` are shares of a processor.
 */
time_ms candidateDelay(std::string_view node, double cpuShare, double largestShare);
/** True if a node is much smaller than the largest one, so that as lease holder it should release the lease to a larger node. */
bool isMuchSmaller(double cpuShare, double largestShare);

} // namespace daisypass::sched
