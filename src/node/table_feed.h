#pragma once

// Follows one table of the store: reads it whole, then its changes; reads it whole again when the history is gone.
//
//     table_feed feed(store, "op", {""}, handlers, options);
//     feed.start();
//
// Handlers run on the HTTP client's thread, one call at a time. `stop` doesn't wait: a handler that runs then may still end.

#include "platform/store_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisypass {

/** Runs a function after a while, on any thread. */
using run_after_function = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

struct table_feed_handlers
{
    /** A row that is new, changed or deleted. */
    std::function<void(const store_row &)> rowChanged;
    /** The table has been read whole; rows seen before and missing now were passed to `rowChanged` as deleted. */
    std::function<void()> snapshotComplete;
    /** All rows of an answer were passed to `rowChanged`. */
    std::function<void()> batchApplied;
    /** After each answer of the store or its absence. */
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

    /** Before `start` only. */
    void setHandlers(table_feed_handlers handlers);
    void start();
    void stop();

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace daisypass
