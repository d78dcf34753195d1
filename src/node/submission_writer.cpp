#include "node/submission_writer.h"

#include "base/clock.h"

#include <algorithm>
#include <map>
#include <set>

namespace daisypass {
namespace {

constexpr std::size_t maxRowsPerTransaction = 40;
constexpr std::size_t maxBytesPerTransaction = 400'000;
// Long enough for a slow store: giving up earlier would only repeat the write and add to the store's load.
constexpr std::chrono::milliseconds writeTimeout{1'400};
constexpr std::chrono::milliseconds retryDelay{70};
// A refused row is retried for this long only, so that callers learn soon that the store is unavailable.
constexpr sched::time_ms refusedRetryMs = 350;

} // namespace

submission_writer::submission_writer(store_client &store, run_after_function runAfter)
    : m_store(store)
    , m_runAfter(std::move(runAfter))
{
}

void submission_writer::add(const row_key &key, std::string value, sched::time_ms deadline, submission_handler done)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_parts[key.part].pending.push_back({{key, std::move(value)}, deadline, false, std::move(done)});
    sendNext(key.part);
}

void submission_writer::sendNext(const std::string &part)
{
    part_queue &queue = m_parts[part];
    if (queue.busy || queue.pending.empty()) {
        return;
    }
    row_transaction transaction;
    std::size_t bytes = 0;
    std::set<row_key> keys;
    std::deque<pending_row> duplicates;
    while (!queue.pending.empty() && queue.inFlight.size() < maxRowsPerTransaction && bytes < maxBytesPerTransaction) {
        pending_row row = std::move(queue.pending.front());
        queue.pending.pop_front();
        if (!keys.insert(row.put.key).second) {
            // A duplicate of a key in this transaction waits for the next one, which then finds the row stored.
            duplicates.push_back(std::move(row));
            continue;
        }
        bytes += row.put.value.size();
        transaction.preconditions.push_back({row.put.key, 0});
        transaction.puts.push_back(row.put);
        queue.inFlight.push_back(std::move(row));
    }
    std::move(duplicates.begin(), duplicates.end(), std::back_inserter(queue.pending));
    queue.busy = true;
    m_store.transact(transaction, writeTimeout, [weak = weak_from_this(), part](const transact_result &result) {
        if (const std::shared_ptr<submission_writer> self = weak.lock()) {
            self->onAnswer(part, result);
        }
    });
}

void submission_writer::onAnswer(const std::string &part, const transact_result &result)
{
    finished_rows finished;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        part_queue &queue = m_parts[part];
        queue.busy = false;
        std::map<row_key, std::string> existing;
        for (const store_row &row : result.rows) {
            if (row.version != 0 && !row.deleted) {
                existing[row.key] = row.value;
            }
        }
        std::vector<pending_row> rows = std::move(queue.inFlight);
        queue.inFlight.clear();
        for (pending_row &row : rows) {
            const auto found = existing.find(row.put.key);
            const bool exists = result.status == store_status::Conflict && found != existing.end();
            if (result.status == store_status::Ok || exists) {
                finished.emplace_back(std::move(row.done), outcomeOf(row.put, exists ? &found->second : nullptr));
            } else {
                retryOrFinish(queue, std::move(row), result.status, finished);
            }
        }
        const bool answered = result.status == store_status::Ok || result.status == store_status::Conflict;
        if (answered) {
            sendNext(part);
        } else if (!queue.pending.empty()) {
            queue.busy = true;
            m_runAfter(retryDelay, [weak = weak_from_this(), part] {
                if (const std::shared_ptr<submission_writer> self = weak.lock()) {
                    const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
                    self->m_parts[part].busy = false;
                    self->sendNext(part);
                }
            });
        }
    }
    for (const std::pair<submission_handler, submission_outcome> &finishedRow : finished) {
        finishedRow.first(finishedRow.second);
    }
}

// A row with the value that was to be stored comes from an earlier attempt whose answer was lost.
submission_outcome submission_writer::outcomeOf(const row_update &put, const std::string *existing)
{
    if (existing == nullptr || *existing == put.value) {
        return {submission_result::Stored, {}};
    }
    return {submission_result::Exists, *existing};
}

void submission_writer::retryOrFinish(part_queue &queue, pending_row row, store_status status, finished_rows &finished)
{
    const sched::time_ms now = steadyMillis();
    if (status == store_status::Unknown) {
        row.outcomeUnknown = true;
    }
    if (status == store_status::Refused && !row.outcomeUnknown) {
        // No attempt can have been stored, so the caller is refused soon and can retry.
        row.deadline = std::min(row.deadline, now + refusedRetryMs);
    }
    if (now + retryDelay.count() >= row.deadline) {
        finished.emplace_back(std::move(row.done), submission_outcome{row.outcomeUnknown ? submission_result::Unknown : submission_result::NotStored, {}});
        return;
    }
    queue.pending.push_back(std::move(row));
}

} // namespace daisypass
