#pragma once

// Leader election by a lease in the store: watches the lease, acquires it when it is free, and reports terms that begin and end.
//
//     std::shared_ptr<leadership> lease = std::make_shared<leadership>(store, runAfter, self, leaseMs, handlers);
//     lease->start();
//     lease->tick(now);                   // every 25 to 100 ms
//
// The lease holder's dispatcher renews the lease, in the same transactions as its other rows; see dispatcher.h.

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
    /** Version of the term row. Every write of the lease holder has it as a precondition, which fences off former holders. */
    std::int64_t termVersion = 0;
    std::string node;
    std::int64_t incarnation = 0;
    sched::term_times times;
};

struct leadership_handlers
{
    /** Called on the HTTP client's thread when this process has acquired the lease. */
    std::function<void(const held_term &)> termGained;
    /** Called when the lease row shows a higher term than the one that this process holds. */
    std::function<void()> termLost;
    /** Called with what the lease holder can still take, as often as its row tells. */
    std::function<void(const sched::job_room &)> jobRoomRead;
    /** Called after each read of the lease, with whether the store was reached. */
    std::function<void(bool reached)> storeReached;
    /** Must try to connect to a node and report whether the connection was refused. */
    std::function<void(const std::string &node, std::function<void(bool refused)> done)> probe;
};

class leadership : public std::enable_shared_from_this<leadership>
{
public:
    leadership(store_client &store, run_after_function runAfter, sched::lease_identity self, sched::time_ms leaseMs, leadership_handlers handlers);

    void start();
    void tick(sched::time_ms now);
    void setCandidateDelay(sched::time_ms delayMs);
    /** The node that holds the lease according to the last read of its row; empty if it was released or not read yet. */
    std::string holder();
    /** Stops this process from acquiring the lease again. */
    void stopCandidacy();
    /** Ends the held term after its dispatcher has stopped, so that the lease may be acquired again after a short delay. */
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
    /** Highest term seen; the next acquisition uses the term after it. */
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
