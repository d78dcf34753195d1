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
    const bool hasChanges = m_recovered && m_scheduler.hasUnstoredChanges();
    if (!hasChanges && !renewAlone) {
        return;
    }
    row_transaction transaction;
    transaction.preconditions = {{tables::termRow(), m_term.termVersion}};
    m_transactionBatch = 0;
    if (m_recovered) {
        transaction.preconditions.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, m_sequenceVersion});
        ++m_sequence;
        transaction.puts.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, std::to_string(m_term.term) + '.' + std::to_string(m_sequence)});
        if (std::optional<sched::commit_batch> batch = m_scheduler.takeBatch(now)) {
            m_transactionBatch = batch->number;
            for (std::pair<std::string, std::string> &row : batch->rows) {
                transaction.puts.push_back({tables::stateRow(row.first), std::move(row.second)});
            }
            for (const std::string &key : batch->deletedKeys) {
                transaction.deletes.push_back(tables::stateRow(key));
            }
        }
        publishQueueCounts(transaction);
    }
    m_transactionRenewsLease = now - m_renewedAt >= renewWithBatchMs;
    if (m_transactionRenewsLease) {
        transaction.puts.push_back({tables::holderRow(), encodeLease(false, false)});
    }
    m_transaction = std::move(transaction);
    m_renewalAttempts = {};
    sendCommit();
}

// Nothing is published before the job feed has caught up once: until then the former holder's counts hold, or none.
void dispatcher::publishQueueCounts(row_transaction &transaction)
{
    const sched::time_ms now = steadyMillis();
    if (m_jobsCompleteUntil == 0 || now - m_queuesPublishedAt < queuePublishIntervalMs) {
        return;
    }
    m_queuesPublishedAt = now;
    transaction.puts.push_back({tables::countsRow(), writeQueueCounts({m_jobsCompleteUntil, m_scheduler.waitingJobs()})});
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
    if (m_transactionBatch != 0) {
        m_scheduler.handle(sched::batch_committed{m_transactionBatch}, now);
    }
    runScheduler(guard);
}

} // namespace daisypass
