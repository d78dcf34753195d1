#include "node/leadership.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/tables.h"

#include <charconv>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds feedWait{2'000};
constexpr std::chrono::milliseconds acquireTimeout{1'000};
// Delay after a failed attempt to acquire the lease, and after a held term has ended.
constexpr sched::time_ms retryDelayMs = 250;

} // namespace

leadership::leadership(store_client &store, run_after_function runAfter, sched::lease_identity self, sched::time_ms leaseMs, leadership_handlers handlers)
    : m_store(store)
    , m_self(self)
    , m_handlers(std::move(handlers))
    , m_rules(std::move(self), leaseMs)
    , m_feed(std::make_unique<table_feed>(
          store, std::move(runAfter), tables::lease, std::vector<std::string>{tables::holderPart}, feedWait, table_feed_handlers{}))
{
}

void leadership::start()
{
    const std::weak_ptr<leadership> weak = weak_from_this();
    table_feed_handlers handlers;
    handlers.rowChanged = [weak](const store_row &row) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->onRow(row);
        }
    };
    handlers.snapshotComplete = [weak] {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            const std::lock_guard<std::mutex> guard(self->m_lock);
            self->m_snapshotComplete = true;
            if (!self->m_rules.row()) {
                self->m_rules.onRowRead(std::nullopt, 0, steadyMillis());
            }
        }
    };
    handlers.batchApplied = [] {
    };
    handlers.storeReached = [weak](bool reached) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->m_handlers.storeReached(reached);
            const std::lock_guard<std::mutex> guard(self->m_lock);
            if (!reached) {
                self->m_rules.onStoreUnreachable();
            } else if (self->m_snapshotComplete) {
                self->m_rules.onRowRead(self->m_rules.row(), self->m_rules.version() < 0 ? 0 : self->m_rules.version(), steadyMillis());
            }
        }
    };
    m_feed->setHandlers(std::move(handlers));
    m_feed->start();
}

void leadership::onRow(const store_row &row)
{
    bool superseded = false;
    std::optional<sched::job_room> room;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (row.key == tables::termRow()) {
            m_termVersion = row.deleted ? 0 : row.version;
            std::int64_t term = 0;
            std::from_chars(row.value.data(), row.value.data() + row.value.size(), term);
            m_highestTerm = std::max(m_highestTerm, term);
        } else if (row.key == tables::holderRow()) {
            const std::optional<sched::lease_row> lease = row.deleted ? std::nullopt : sched::readLease(row.value);
            m_rules.onRowRead(lease, row.deleted ? 0 : row.version, steadyMillis());
            if (lease) {
                m_highestTerm = std::max(m_highestTerm, lease->term);
                room = lease->jobRoom;
            }
            superseded = m_heldTerm != 0 && lease && lease->term > m_heldTerm;
            if (superseded) {
                m_heldTerm = 0;
            }
        }
    }
    if (room) {
        m_handlers.jobRoomRead(*room);
    }
    if (superseded) {
        m_handlers.termLost();
    }
}

void leadership::tick(sched::time_ms now)
{
    std::unique_lock<std::mutex> guard(m_lock);
    const bool canAttempt = m_snapshotComplete && !m_candidacyStopped && !m_acquiring && m_heldTerm == 0 && now >= m_retryAt;
    if (!canAttempt) {
        return;
    }
    if (m_rules.mayAcquire(now) || m_rules.heldBySelf()) {
        tryAcquire();
    } else if (m_rules.suspectsHolder(now) && !m_probing) {
        probeHolder(guard);
    }
}

void leadership::probeHolder(std::unique_lock<std::mutex> &guard)
{
    m_probing = true;
    const std::string node = m_rules.row()->node;
    const std::int64_t version = m_rules.version();
    guard.unlock();
    m_handlers.probe(node, [weak = weak_from_this(), node, version](bool refused) {
        const std::shared_ptr<leadership> self = weak.lock();
        if (!self) {
            return;
        }
        const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
        self->m_probing = false;
        if (self->m_rules.version() != version) {
            // The lease row changed during the probe, so the result no longer applies.
            return;
        }
        self->m_rules.onHolderProbed(refused);
        if (refused) {
            logEvent("holder_refuses", {{"node", node}, {"lease_version", version}});
        }
    });
}

void leadership::setCandidateDelay(sched::time_ms delayMs)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_rules.setCandidateDelay(delayMs);
}

std::string leadership::holder()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::optional<sched::lease_row> &row = m_rules.row();
    return row && !row->released ? row->node : std::string();
}

void leadership::stopCandidacy()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_candidacyStopped = true;
}

void leadership::clearHeldTerm()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_heldTerm = 0;
    m_retryAt = steadyMillis() + retryDelayMs;
}

// If this process acquired the lease but the answer was lost, it acquires the lease again under a new term. The precondition on the
// row's version ensures that no other process has acquired it in between.
void leadership::tryAcquire()
{
    m_acquiring = true;
    const sched::time_ms now = steadyMillis();
    const sched::term_times times{now, m_rules.earlierGrantsUntil(now)};
    const sched::lease_row requested{m_self.node, m_self.incarnation, sched::nextTerm(m_highestTerm), false, false, times.earlierGrantsLeft(now), std::nullopt};
    row_transaction transaction;
    transaction.preconditions = {{tables::holderRow(), std::max<std::int64_t>(0, m_rules.version())}, {tables::termRow(), m_termVersion}};
    transaction.puts = {{tables::holderRow(), sched::writeLease(requested)}, {tables::termRow(), std::to_string(requested.term)}};
    m_store.transact(transaction, acquireTimeout, [weak = weak_from_this(), requested, times](const transact_result &result) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->onAcquireResult(result, requested, times);
        }
    });
}

void leadership::onAcquireResult(const transact_result &result, const sched::lease_row &requested, const sched::term_times &times)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_acquiring = false;
        if (result.status != store_status::Ok) {
            m_retryAt = steadyMillis() + retryDelayMs;
            if (result.status == store_status::Conflict) {
                // The row that was read is out of date until the feed delivers the current one.
                m_rules.onStoreUnreachable();
            }
            return;
        }
        m_heldTerm = requested.term;
        m_highestTerm = requested.term;
        m_termVersion = result.version;
        m_rules.onRowRead(requested, result.version, steadyMillis());
    }
    m_handlers.termGained({requested.term, result.version, requested.node, requested.incarnation, times});
}

} // namespace daisypass
