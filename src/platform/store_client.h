#pragma once

// Client of the platform's metadata store: rows in tables, conditional transactions, and a change feed.
//
//     store_client store(http, settings.store);
//     store.transact({.preconditions = {{key, 0}}, .puts = {{key, "value"}}}, timeout, [](transact_result result) { ... });
//
// Every call is asynchronous; callbacks run on the HTTP client's thread. A result distinguishes that nothing was done (Refused),
// that a precondition failed (Conflict) and that the outcome isn't known (Unknown).

#include "http/http_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace daisypass {

struct row_key
{
    std::string table;
    std::string part;
    std::string key;

    bool operator==(const row_key &other) const
    {
        return std::tie(table, part, key) == std::tie(other.table, other.part, other.key);
    }
    bool operator<(const row_key &other) const
    {
        return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
    }
};

struct store_row
{
    row_key key;
    std::string value;
    /** The store's version at the last change of the row. */
    std::int64_t version = 0;
    /** Set in feeds only. */
    bool deleted = false;
};

struct row_precondition
{
    row_key key;
    /** The version that the row must have; 0 means that the row must not exist. */
    std::int64_t version = 0;
};

struct row_update
{
    row_key key;
    std::string value;
};

struct row_transaction
{
    std::vector<row_precondition> preconditions;
    std::vector<row_update> puts;
    std::vector<row_key> deletes;
};

/** Maximum number of entries in a transaction, a limit of the store. */
inline constexpr std::size_t maxTransactionEntries = 100;

enum class store_status {
    Ok,
    /** A precondition of a transaction did not hold; nothing was changed. */
    Conflict,
    /** The store answered that it did nothing, or was not reached. */
    Refused,
    /** The store did nothing and will never carry out this call: a row or the transaction is above a limit, or malformed. */
    Invalid,
    /** The call may have taken effect, or may still take effect later. */
    Unknown,
    /** The store no longer has the changes after the version that a feed asked for. */
    HistoryGone,
};

std::string_view nameOf(store_status status);

struct transact_result
{
    store_status status = store_status::Unknown;
    std::int64_t version = 0;
    /** On Conflict, the current rows of the preconditions; rows that don't exist are omitted. */
    std::vector<store_row> rows;
    /** HTTP status, or 0 without an answer. */
    int httpStatus = 0;
};

struct rows_result
{
    store_status status = store_status::Unknown;
    std::vector<store_row> rows;
    bool more = false;
    /** For a read, the store's latest version; for a feed, the version after which the next call continues. */
    std::int64_t version = 0;
    /** The store's steady clock when it answered, in ms; 0 if the answer doesn't have it. */
    std::int64_t storeMs = 0;
    /** The answer is at the store's limit of rows or bytes, so it may end before the latest change. */
    bool atLimit = false;
    int httpStatus = 0;
};

struct row_range
{
    std::string table;
    std::string part;
    /** First key; empty for the start. */
    std::string from;
    /** The range ends before this key; empty for the end. */
    std::string to;
};

/** Returns the range of the next page after a page of a read, or nothing if the store has no more rows. */
std::optional<row_range> nextPage(row_range range, const rows_result &page);

class store_client
{
public:
    store_client(http_client &http, const endpoint &store);

    void transact(const row_transaction &transaction, std::chrono::milliseconds timeout, std::function<void(transact_result)> done);
    void get(const row_range &range, std::chrono::milliseconds timeout, std::function<void(rows_result)> done);
    /**
     * Long poll for rows that changed after `version`. The store answers at once if there are any, else after `wait` at the latest. The call
     * is given up if the answer takes `answerTime` longer than that.
     */
    void feed(const std::string &table,
              std::int64_t version,
              std::chrono::milliseconds wait,
              std::function<void(rows_result)> done,
              std::chrono::milliseconds answerTime = defaultAnswerTime);
    static constexpr std::chrono::milliseconds defaultAnswerTime{600};

private:
    http_client &m_http;
    std::string m_url;
};

} // namespace daisypass
