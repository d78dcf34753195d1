#pragma once

// When a node may take the leadership lease, and how long its holder may act on it. Pure: fed with what was read and the time.
//
//     lease_rules rules(limits);
//     rules.onRowRead(row, now);            // after each read of the lease
//     if (rules.suspectsHolder(now)) { ... try to connect to it; rules.onHolderProbed(refused); }
//     if (rules.mayAcquire(now)) { ... try the conditional write ... }
//
// The failure it answers: nothing is started between a holder's end and the next one's begin. A process that is gone refuses
// connections, so it needn't be waited for as one that may be alive behind a broken link.

#include "sched/model.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass::sched {

/**
 * For this long after it sent its last stored renewal, a holder extends the leases of executors in full; later extensions end no
 * later than these. Its successor knows when that renewal was stored, and so when the leases have ended on executors that only the
 * former holder reaches. With leases of 5.5 s, runs survive a store that is away for 6 s; a successor that has waited for the 2 s
 * of the holder's lease waits 0.5 s more than a lease for executors that it can't reach.
 */
inline constexpr time_ms grantsWithoutRenewalMs = 2'500;

/** What a new holder knows of the time around its takeover. */
struct term_times
{
    /** When the transaction that took the lease was sent. */
    time_ms acquiredAt = 0;
    /** Earlier holders may have extended executors' leases in full until then; later than now if one may be alive. */
    time_ms earlierGrantsUntil = 0;

    time_ms earlierGrantsLeft(time_ms now) const
    {
        return std::max<time_ms>(0, earlierGrantsUntil - now);
    }
};

/** The lease as it is stored. */
struct lease_row
{
    std::string node;
    /** Random number of one life of the holder's process. */
    std::int64_t incarnation = 0;
    std::int64_t term = 0;
    /** The holder has given it back. */
    bool released = false;
    /** The holder stopped; one that goes on running gives its lease back without this. */
    bool stopped = false;
    /** How long after this row was written holders before this one may still extend leases of executors. */
    time_ms earlierGrantsMs = 0;
};

std::string writeLease(const lease_row &row);
/** Nothing if the text is no lease. */
std::optional<lease_row> readLease(std::string_view text);

struct lease_identity
{
    std::string node;
    std::int64_t incarnation = 0;
    /** Delay of this node behind others when several could take the lease. */
    time_ms candidateDelayMs = 0;
};

/** The calls that try to store one renewal, which is repeated until its outcome is known. */
class renewal_attempts
{
public:
    void sent(time_ms now)
    {
        m_firstSentAt = m_firstSentAt.value_or(now);
        m_lastSentAt = now;
    }

    /** A time before the renewal was stored; `byEarlierCall` says that the last call found it stored. */
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

    /** The lease was read; version 0 means that there is no row. */
    void onRowRead(const std::optional<lease_row> &row, std::int64_t version, time_ms now);
    /** The store was not reached: nothing is known of renewals meanwhile. */
    void onStoreUnreachable();
    void setCandidateDelay(time_ms delayMs);

    /** The holder, another machine, is late with its renewal. */
    bool suspectsHolder(time_ms now) const;
    /** A connection to the holder was tried; `refused` says that no process listens there. */
    void onHolderProbed(bool refused);
    bool mayAcquire(time_ms now) const;
    bool heldBySelf() const;
    /** Until when earlier holders may have extended leases of executors in full. */
    time_ms earlierGrantsUntil(time_ms now) const;
    /** The holder isn't known to be gone, and is another machine. */
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
    /** Since when the row has been seen unchanged without a gap; nothing before the first read. */
    std::optional<time_ms> m_unchangedSince;
    /** Connections that the holder's machine refused in a row since the latest renewal. */
    int m_refusals = 0;
};

/**
 * Delay of a node before it takes a free lease: machines with the largest share of a processor first, the others well behind
 * them, and within both spread by name.
 */
time_ms candidateDelay(std::string_view node, double cpuShare, double largestShare);
/** The holder is much smaller than the largest machine, and should give the lease back when such a machine has come. */
bool isMuchSmaller(double cpuShare, double largestShare);

} // namespace daisypass::sched
