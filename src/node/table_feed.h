#pragma once

// Follows one table of the store: reads a snapshot, then its changes by long polls. Reads a new snapshot when the store no longer
// has the history of changes.
//
//     table_feed feed(store, runAfter, "op", {""}, pollWait, handlers);
//     feed.start();
//
// Handlers run on the HTTP client's thread, one call at a time. `stop` doesn't wait for a handler that is running.

#include "platform/store_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisypass {

/** Runs a function once after a delay, on any thread. */
using run_after_function = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

struct table_feed_handlers
{
    /** Called for each row that is new, changed or deleted. */
    std::function<void(const store_row &)> rowChanged;
    /** Called after a snapshot; rows of earlier reads that it lacks were passed to `rowChanged` as deleted. */
    std::function<void()> snapshotComplete;
    /** Called when all rows of one answer were passed to `rowChanged`. */
    std::function<void()> batchApplied;
    /** May be empty. Called when every change up to this time on the store's clock was passed to `rowChanged`. */
    std::function<void(std::int64_t storeMs)> caughtUp{};
    /** May be empty. Called when every change that the store had made by this time on this machine's steady clock was passed on. */
    std::function<void(std::int64_t steadyMs)> currentAsOf{};
    /** Called after each call to the store; `reached` is false if the store did not serve it. */
    std::function<void(bool reached)> storeReached;
};

class table_feed
{
public:
    table_feed(store_client &store,
               run_after_function runAfter,
               std::string table,
               std::vector<std::string> parts,
               std::chrono::milliseconds pollWait,
               table_feed_handlers handlers);
    ~table_feed();

    /** Must be called before `start`. */
    void setHandlers(table_feed_handlers handlers);
    /**
     * Makes the first poll after a failed or late one return at once, so that `currentAsOf` is called early after a fault, and also while
     * the store answers slowly. Costs a read for each such fault. Must be called before `start`.
     */
    void confirmSoonAfterFaults();
    void start();
    /** Like start(), but reads no snapshot: the caller has read the table, with answers of this version or a later one. */
    void startAfter(std::int64_t version);
    void stop();

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace daisypass
