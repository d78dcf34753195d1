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
using delayed_call = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

struct table_feed_handlers
{
    /** A row that is new, changed or deleted. */
    std::function<void(const store_row &)> changed;
    /** The table has been read whole; rows seen before and missing now were passed to `changed` as deleted. */
    std::function<void()> complete;
    /** All rows of an answer were passed to `changed`. */
    std::function<void()> applied;
    /** After each answer of the store or its absence. */
    std::function<void(bool reached)> reached;
};

class table_feed
{
public:
    table_feed(store_client &store,
               delayed_call later,
               std::string table,
               std::vector<std::string> parts,
               std::chrono::milliseconds wait,
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
