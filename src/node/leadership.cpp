#include "node/leadership.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/tables.h"

#include <charconv>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds feedWait{2'000};
constexpr std::chrono::milliseconds takeTimeout{1'000};
// Pause after an attempt that failed.
constexpr sched::time_ms retryMs = 250;

} // namespace

leadership::leadership(store_client &store, delayed_call later, sched::lease_identity self, sched::time_ms leaseMs, leadership_handlers handlers)
    : m_store(store)
    , m_self(self)
    , m_handlers(std::move(handlers))
    , m_rules(std::move(self), leaseMs)
    , m_feed(
          std::make_unique<table_feed>(store, std::move(later), tables::lease, std::vector<std::string>{tables::holderPart}, feedWait, table_feed_handlers{}))
{
}

void leadership::start()
{
    const std::weak_ptr<leadership> weak = weak_from_this();
    table_feed_handlers handlers;
    handlers.changed = [weak](const store_row &row) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->onRow(row);
        }
    };
    handlers.complete = [weak] {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            const std::lock_guard<std::mutex> guard(self->m_lock);
            self->m_complete = true;
            if (!self->m_rules.row()) {
                self->m_rules.onRowRead(std::nullopt, 0, steadyMillis());
            }
        }
    };
    handlers.applied = [] {
    };
    handlers.reached = [weak](bool reached) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->m_handlers.storeReached(reached);
            const std::lock_guard<std::mutex> guard(self->m_lock);
            if (!reached) {
                self->m_rules.onStoreUnreachable();
            } else if (self->m_complete) {
                self->m_rules.onRowRead(self->m_rules.row(), self->m_rules.version() < 0 ? 0 : self->m_rules.version(), steadyMillis());
            }
        }
    };
    m_feed->setHandlers(std::move(handlers));
    m_feed->start();
}

void leadership::onRow(const store_row &row)
{
    bool lost = false;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (row.key == tables::termRow()) {
            m_termVersion = row.deleted ? 0 : row.version;
            std::int64_t term = 0;
            std::from_chars(row.value.data(), row.value.data() + row.value.size(), term);
            m_term = std::max(m_term, term);
        } else if (row.key == tables::holderRow()) {
            const std::optional<sched::lease_row> lease = row.deleted ? std::nullopt : sched::readLease(row.value);
            m_rules.onRowRead(lease, row.deleted ? 0 : row.version, steadyMillis());
            if (lease) {
                m_term = std::max(m_term, lease->term);
            }
            lost = m_heldTerm != 0 && lease && lease->term > m_heldTerm;
            if (lost) {
                m_heldTerm = 0;
            }
        }
    }
    if (lost) {
        m_handlers.lost();
    }
}

void leadership::tick(sched::time_ms now)
{
    std::unique_lock<std::mutex> guard(m_lock);
    const bool due = m_complete && !m_retired && !m_taking && m_heldTerm == 0 && now >= m_retryAt;
    if (!due) {
        return;
    }
    if (m_rules.mayAcquire(now) || m_rules.heldBySelf()) {
        tryTake();
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
        const std::lock_guard<std::mutex> again(self->m_lock);
        self->m_probing = false;
        if (self->m_rules.version() != version) {
            // It has renewed meanwhile.
            return;
        }
        self->m_rules.onHolderProbed(refused);
        if (refused) {
            logChange("holder_refuses", {{"node", node}, {"lease_version", version}});
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

void leadership::retire()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_retired = true;
}

void leadership::forgetTerm()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_heldTerm = 0;
    m_retryAt = steadyMillis() + retryMs;
}

// A lease that this very process took without learning it (the answer was lost) is taken again under a new term: the
// condition makes sure that nobody else holds it.
void leadership::tryTake()
{
    m_taking = true;
    const sched::time_ms now = steadyMillis();
    const sched::term_times times{now, m_rules.earlierGrantsUntil(now)};
    const sched::lease_row wanted{m_self.node, m_self.incarnation, m_term + 1, false, false, times.earlierGrantsLeft(now)};
    row_transaction transaction;
    transaction.expects = {{tables::holderRow(), std::max<std::int64_t>(0, m_rules.version())}, {tables::termRow(), m_termVersion}};
    transaction.puts = {{tables::holderRow(), sched::writeLease(wanted)}, {tables::termRow(), std::to_string(wanted.term)}};
    m_store.transact(transaction, takeTimeout, [weak = weak_from_this(), wanted, times](const transact_result &result) {
        if (const std::shared_ptr<leadership> self = weak.lock()) {
            self->onTaken(result, wanted, times);
        }
    });
}

void leadership::onTaken(const transact_result &result, const sched::lease_row &wanted, const sched::term_times &times)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_taking = false;
        if (result.status != store_status::Ok) {
            m_retryAt = steadyMillis() + retryMs;
            if (result.status == store_status::Conflict) {
                // The feed tells soon who has it; until then the row is as it was read.
                m_rules.onStoreUnreachable();
            }
            return;
        }
        m_heldTerm = wanted.term;
        m_term = wanted.term;
        m_termVersion = result.version;
        m_rules.onRowRead(wanted, result.version, steadyMillis());
    }
    m_handlers.gained({wanted.term, result.version, wanted.node, wanted.incarnation, times});
}

} // namespace daisypass
