// Writes of the lease holder to the store: the scheduler's batches, the counts of waiting jobs, and lease renewals.

#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/queue_counts.h"
#include "node/store_limits.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr sched::time_ms commitRetryDelayMs = 60;
// A batch also renews the lease once the last renewal is older than the first time; without a batch to share, the lease is renewed
// after the second one.
constexpr sched::time_ms renewWithBatchMs = 350;
constexpr sched::time_ms renewAloneMs = 500;
// Orders to the fleet service are sent only within this time after a stored renewal, which is well before another node may take the
// lease.
constexpr sched::time_ms maxRenewalAgeForFleetOrdersMs = 1'500;
constexpr sched::time_ms queuePublishIntervalMs = 1'000;

} // namespace

bool dispatcher::renewalIsFresh() const
{
    return steadyMillis() - m_renewedAt < maxRenewalAgeForFleetOrdersMs;
}

void dispatcher::commitIfNeeded()
{
    const sched::time_ms now = steadyMillis();
    if (m_commitInFlight || m_stopped) {
        return;
    }
    if (m_transaction) {
        if (now >= m_commitRetryAt) {
            sendCommit();
        }
        return;
    }
    const bool renewAlone = now - m_renewedAt >= renewAloneMs;
    if (!m_parts.hasNext()) {
        const bool hasChanges = m_recovered && m_scheduler.hasUnstoredChanges();
        if (!hasChanges && !renewAlone) {
            return;
        }
        beginBatch(now);
    }
    row_transaction transaction;
    transaction.preconditions = {{tables::termRow(), m_term.termVersion}};
    if (m_recovered) {
        transaction.preconditions.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, m_sequenceVersion});
        ++m_sequence;
        transaction.puts.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, std::to_string(m_term.term) + '.' + std::to_string(m_sequence)});
    }
    m_transactionRenewsLease = now - m_renewedAt >= renewWithBatchMs;
    if (m_transactionRenewsLease) {
        transaction.puts.push_back({tables::holderRow(), encodeLease(false, false)});
    }
    // Once something in the batch was refused, the lease is renewed in transactions of their own, which no row at fault can delay.
    m_transactionHasPart = !(m_batchRefused && m_transactionRenewsLease) && m_parts.takeNext();
    if (m_transactionHasPart) {
        const transaction_part &part = m_parts.current();
        transaction.puts.insert(transaction.puts.end(), part.puts.begin(), part.puts.end());
        transaction.deletes = part.deletes;
    }
    m_transaction = std::move(transaction);
    m_renewalAttempts = {};
    sendCommit();
}

void dispatcher::beginBatch(sched::time_ms now)
{
    m_transactionBatch = 0;
    m_batchRefused = false;
    transaction_part rows;
    if (m_recovered) {
        if (std::optional<sched::commit_batch> batch = m_scheduler.takeBatch(now)) {
            m_transactionBatch = batch->number;
            for (std::pair<std::string, std::string> &row : batch->rows) {
                rows.puts.push_back({tables::stateRow(row.first), std::move(row.second)});
            }
            for (const std::string &key : batch->deletedKeys) {
                rows.deletes.push_back(tables::stateRow(key));
            }
        }
        publishQueueCounts(rows);
    }
    m_parts.begin(std::move(rows));
}

// Nothing is published before the job feed has caught up once: until then the former holder's counts hold, or none.
void dispatcher::publishQueueCounts(transaction_part &rows)
{
    const sched::time_ms now = steadyMillis();
    if (m_jobsCompleteUntil == 0 || now - m_queuesPublishedAt < queuePublishIntervalMs) {
        return;
    }
    m_queuesPublishedAt = now;
    std::vector<std::string> counts = writeQueueCounts({m_jobsCompleteUntil, m_scheduler.waitingJobs()}, m_settings.bounds.rowBytes);
    for (std::size_t number = 0; number < counts.size(); ++number) {
        rows.puts.push_back({tables::countsRow(number), std::move(counts[number])});
    }
}

void dispatcher::sendCommit()
{
    m_commitInFlight = true;
    m_commitSentAt = steadyMillis();
    m_renewalAttempts.sent(m_commitSentAt);
    m_dependencies.store.transact(*m_transaction, holderCommitTimeout, [weak = weak_from_this()](const transact_result &result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->onCommitResult(result);
        }
    });
}

void dispatcher::onCommitResult(const transact_result &result)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    m_commitInFlight = false;
    const sched::time_ms now = steadyMillis();
    m_dependencies.metrics.findHistogram("daisypass_store_commit_seconds").record(static_cast<double>(now - m_commitSentAt) / 1'000.0);
    bool stored = result.status == store_status::Ok;
    std::int64_t version = result.version;
    if (result.status == store_status::Conflict) {
        // If the sequence row has this batch's number, an earlier attempt whose answer was lost has stored the batch.
        const std::string ownSequence = std::to_string(m_term.term) + '.' + std::to_string(m_sequence);
        for (const store_row &row : result.rows) {
            if (row.key.key == tables::sequenceKey && row.value == ownSequence) {
                stored = true;
                version = row.version;
            }
        }
        if (!stored) {
            markTermLost("conditional write refused");
            notifyTermLost(guard);
            return;
        }
    }
    if (result.status == store_status::Invalid && m_transactionHasPart && !m_parts.current().empty()) {
        onTransactionInvalid(guard);
        return;
    }
    if (!stored) {
        m_dependencies.metrics.findCounter("daisypass_store_commit_failures_total").add();
        m_commitRetryAt = now + commitRetryDelayMs;
        return;
    }
    if (m_recovered && m_transaction->preconditions.size() > 1) {
        m_sequenceVersion = version;
    }
    if (m_transactionRenewsLease) {
        m_renewedAt = m_renewalAttempts.storedAfter(result.status == store_status::Conflict);
        m_scheduler.handle(sched::lease_renewed{m_renewedAt}, now);
    }
    m_transaction.reset();
    finishBatch(now);
    runScheduler(guard);
}

void dispatcher::onTransactionInvalid(std::unique_lock<std::mutex> &guard)
{
    m_batchRefused = true;
    m_transaction.reset();
    for (const row_key &key : m_parts.refuse()) {
        m_dependencies.metrics.findCounter("daisypass_store_rows_set_aside_total", {{"table", key.table}}).add();
        logEvent("row_set_aside", {{"term", m_term.term}, {"table", key.table}, {"key", key.key}, {"reason", "refused_by_store"}});
    }
    finishBatch(steadyMillis());
    runScheduler(guard);
}

void dispatcher::finishBatch(sched::time_ms now)
{
    if (m_parts.hasNext() || m_transactionBatch == 0) {
        return;
    }
    sched::batch_committed committed{std::exchange(m_transactionBatch, 0)};
    for (const row_key &key : m_parts.refusedKeys()) {
        if (key.table == tables::state) {
            committed.refusedKeys.push_back(key.key);
        }
    }
    m_scheduler.handle(committed, now);
}

} // namespace daisypass
