#pragma once

// Stores submissions and cancellations, grouped: what arrives while a part's transaction is in flight shares the next one.
//
//     writer->submit(job, deadline, [](submission_result result) { ... });
//
// A write whose outcome isn't known is repeated, since it is conditional on the row's absence, until its deadline.

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
    /** Nothing was written and nothing will be. */
    NotStored,
    /** It may have been written, or may be later. */
    Unknown,
};

class submission_writer : public std::enable_shared_from_this<submission_writer>
{
public:
    submission_writer(store_client &store, run_after_function runAfter);

    /** Stores the row unless one exists, which counts as stored. Deadline on the steady clock. */
    void add(const row_key &key, std::string value, sched::time_ms deadline, std::function<void(submission_result)> done);

private:
    struct pending_row
    {
        row_update put;
        sched::time_ms deadline = 0;
        /** An attempt was sent whose outcome isn't known. */
        bool outcomeUnknown = false;
        std::function<void(submission_result)> done;
    };

    struct part_queue
    {
        std::deque<pending_row> pending;
        std::vector<pending_row> inFlight;
        bool busy = false;
    };

    void sendNext(const std::string &part);
    void onAnswer(const std::string &part, const transact_result &result);
    using finished_rows = std::vector<std::pair<std::function<void(submission_result)>, submission_result>>;
    void retryOrFinish(part_queue &queue, pending_row row, store_status status, finished_rows &finished);

    store_client &m_store;
    run_after_function m_runAfter;
    std::mutex m_lock;
    std::map<std::string, part_queue> m_parts;
};

} // namespace daisypass
