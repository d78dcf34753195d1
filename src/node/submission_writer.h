#pragma once

// Stores submissions and cancellations in batches: rows that arrive while a part's transaction is in flight share the next one.
//
//     writer->add(key, value, deadline, [](const submission_outcome &outcome) { ... });
//
// Writes are conditional on the row's absence and therefore idempotent: a write with unknown outcome is retried until its deadline.

#include "node/table_feed.h"
#include "platform/store_client.h"
#include "sched/model.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace daisypass {

enum class submission_result {
    Stored,
    /** The row exists with another value. */
    Exists,
    /** The row was not written and will not be. */
    NotStored,
    /** The row may have been written, or may still be written later. */
    Unknown,
};

struct submission_outcome
{
    submission_result result = submission_result::Unknown;
    /** The value of a row that exists. */
    std::string existingValue;
};

using submission_handler = std::function<void(const submission_outcome &)>;

class submission_writer : public std::enable_shared_from_this<submission_writer>
{
public:
    submission_writer(store_client &store, run_after_function runAfter);

    /** Stores the row unless the key already exists. The deadline is on the steady clock. */
    void add(const row_key &key, std::string value, sched::time_ms deadline, submission_handler done);

private:
    struct pending_row
    {
        row_update put;
        sched::time_ms deadline = 0;
        /** An earlier attempt was sent whose outcome isn't known. */
        bool outcomeUnknown = false;
        submission_handler done;
    };

    struct part_queue
    {
        std::deque<pending_row> pending;
        std::vector<pending_row> inFlight;
        bool busy = false;
    };

    void sendNext(const std::string &part);
    void onAnswer(const std::string &part, const transact_result &result);
    using finished_rows = std::vector<std::pair<submission_handler, submission_outcome>>;
    static submission_outcome outcomeOf(const row_update &put, const std::string *existing);
    void retryOrFinish(part_queue &queue, pending_row row, store_status status, finished_rows &finished);

    store_client &m_store;
    run_after_function m_runAfter;
    std::mutex m_lock;
    std::map<std::string, part_queue> m_parts;
};

} // namespace daisypass
