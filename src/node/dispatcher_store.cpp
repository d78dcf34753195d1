// What the holder stores: the scheduler's batches, the counts of waiting jobs, and the renewal of the lease.

#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/store_limits.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr sched::time_ms commitRetryMs = 60;
// The lease is renewed with a batch after this time, and alone after the longer one.
constexpr sched::time_ms renewWithBatchMs = 350;
constexpr sched::time_ms renewAloneMs = 500;
// Orders to the fleet are sent only this soon after a stored renewal, well before others may take the lease.
constexpr sched::time_ms renewalFreshMs = 1'500;
// Entries of a transaction that the conditions and the lease take.
constexpr std::size_t entriesKeptFree = 5;
constexpr sched::time_ms publishQueuesMs = 1'000;

std::string queueKeyText(const sched::queue_key &queue)
{
    return queue.host + queue.prefix;
}

} // namespace

bool dispatcher::renewalIsFresh() const
{
    return steadyMillis() - m_renewedAt < renewalFreshMs;
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
    const bool work = m_recovered && (m_scheduler.hasUnstoredChanges() || !m_statusPuts.empty());
    if (!work && !renewAlone) {
        return;
    }
    row_transaction transaction;
    transaction.expects = {{tables::termRow(), m_term.termVersion}};
    m_transactionBatch = 0;
    if (m_recovered) {
        transaction.expects.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, m_sequenceVersion});
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
        publishQueues(transaction);
    }
    m_transactionRenews = now - m_renewedAt >= renewWithBatchMs;
    if (m_transactionRenews) {
        transaction.puts.push_back({tables::holderRow(), leaseText(false, false)});
    }
    m_transaction = std::move(transaction);
    m_attempts = {};
    sendCommit();
}

// The counts carry the time, so that nobody passes on those of a holder that has stopped counting.
void dispatcher::publishQueues(row_transaction &transaction)
{
    const sched::time_ms now = steadyMillis();
    if (now - m_queuesPublishedAt < publishQueuesMs) {
        return;
    }
    m_queuesPublishedAt = now;
    const std::map<sched::queue_key, std::int64_t> waiting = m_scheduler.waitingJobs();
    for (std::pair<const sched::queue_key, std::int64_t> &queue : m_publishedWaiting) {
        queue.second = 0;
    }
    for (const std::pair<const sched::queue_key, std::int64_t> &queue : waiting) {
        m_publishedWaiting[queue.first] = queue.second;
    }
    const std::string time = std::to_string(unixMillis());
    for (const std::pair<const sched::queue_key, std::int64_t> &queue : m_publishedWaiting) {
        if (transaction.puts.size() + transaction.deletes.size() + entriesKeptFree > mostTransactionEntries) {
            return;
        }
        transaction.puts.push_back({{tables::queues, tables::holderPart, queueKeyText(queue.first)}, std::to_string(queue.second) + ' ' + time});
    }
}

void dispatcher::sendCommit()
{
    m_commitInFlight = true;
    m_commitSentAt = steadyMillis();
    m_attempts.sent(m_commitSentAt);
    m_services.store.transact(*m_transaction, holderCommitTimeout, [weak = weak_from_this()](const transact_result &result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->onCommitted(result);
        }
    });
}

void dispatcher::onCommitted(const transact_result &result)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    m_commitInFlight = false;
    const sched::time_ms now = steadyMillis();
    m_services.metrics.findHistogram("daisypass_store_commit_seconds").record(static_cast<double>(now - m_commitSentAt) / 1'000.0);
    bool stored = result.status == store_status::Ok;
    std::int64_t version = result.version;
    if (result.status == store_status::Conflict) {
        // An earlier attempt whose answer was lost has stored it if the sequence row has this batch's number.
        const std::string own = std::to_string(m_term.term) + '.' + std::to_string(m_sequence);
        for (const store_row &row : result.rows) {
            if (row.key.key == tables::sequenceKey && row.value == own) {
                stored = true;
                version = row.version;
            }
        }
        if (!stored) {
            loseTerm("conditional write refused");
            announceLoss(guard);
            return;
        }
    }
    if (!stored) {
        m_services.metrics.findCounter("daisypass_store_commit_failures_total").add();
        m_commitRetryAt = now + commitRetryMs;
        return;
    }
    if (m_recovered && m_transaction->expects.size() > 1) {
        m_sequenceVersion = version;
    }
    if (m_transactionRenews) {
        m_renewedAt = m_attempts.storedAfter(result.status == store_status::Conflict);
        m_scheduler.handle(sched::lease_renewed{m_renewedAt}, now);
    }
    m_transaction.reset();
    if (m_transactionBatch != 0) {
        m_scheduler.handle(sched::batch_committed{m_transactionBatch}, now);
    }
    pump(guard);
}

} // namespace daisypass
