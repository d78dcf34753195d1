#pragma once

// Holds or follows the leadership lease in the store.
//
//     leadership lease(store, later, rules, {.termGained = ..., .termLost = ...});
//     lease.start();
//     lease.tick(now);                    // a few times a second
//
// Renewal belongs to the holder's dispatcher, which writes the lease's row with its other rows; see dispatcher.h.

#include "node/table_feed.h"
#include "sched/lease_rules.h"

#include <functional>
#include <memory>
#include <mutex>

namespace daisypass {

/** A term that this process holds. */
struct held_term
{
    std::int64_t term = 0;
    /** Version of the term's row, which every write of the holder expects. */
    std::int64_t termVersion = 0;
    std::string node;
    std::int64_t incarnation = 0;
    sched::term_times times;
};

struct leadership_handlers
{
    /** Called on the HTTP client's thread. */
    std::function<void(const held_term &)> termGained;
    /** Another process has the lease. */
    std::function<void()> termLost;
    std::function<void(bool reached)> storeReached;
    /** Tries to connect to a node, and tells whether it was refused. */
    std::function<void(const std::string &node, std::function<void(bool refused)> done)> probe;
};

class leadership : public std::enable_shared_from_this<leadership>
{
public:
    leadership(store_client &store, run_after_function runAfter, sched::lease_identity self, sched::time_ms leaseMs, leadership_handlers handlers);

    void start();
    void tick(sched::time_ms now);
    void setCandidateDelay(sched::time_ms delayMs);
    /** The node that holds the lease, as far as known; empty if none does. */
    std::string holder();
    /** Takes no lease any more. */
    void stopCandidacy();
    /** The dispatcher has stopped: its term is over for this process. */
    void clearHeldTerm();

private:
    void onRow(const store_row &row);
    void probeHolder(std::unique_lock<std::mutex> &guard);
    void tryAcquire();
    void onAcquireResult(const transact_result &result, const sched::lease_row &requested, const sched::term_times &times);

    store_client &m_store;
    sched::lease_identity m_self;
    leadership_handlers m_handlers;
    std::mutex m_lock;
    sched::lease_rules m_rules;
    std::int64_t m_termVersion = 0;
    /** Highest term seen; the next one is taken above it. */
    std::int64_t m_highestTerm = 0;
    bool m_snapshotComplete = false;
    bool m_acquiring = false;
    bool m_probing = false;
    bool m_candidacyStopped = false;
    std::int64_t m_heldTerm = 0;
    sched::time_ms m_retryAt = 0;
    std::unique_ptr<table_feed> m_feed;
};

} // namespace daisypass
