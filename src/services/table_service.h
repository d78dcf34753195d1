#pragma once

// Client of the platform's transactional table service.
//
//     table_service table{http_table{client, base}};        // or memory_table{} in tests
//     failure reason;
//     commit_outcome outcome = table.commit(transaction, reason);
//
// Calls block for up to their time limit. A commit whose response is lost returns Unknown; the caller finds out the outcome by
// reading a row that only this transaction writes and comparing write ids.

#include "base/failure.h"
#include "http/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    /** Write id of the transaction that wrote the row last. */
    std::string writeId;
};

/** The row must have this version; 0 means that the row must not exist. */
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

struct row_put
{
    std::string key;
    std::string value;
};

struct table_transaction
{
    std::string writeId;
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    std::vector<std::string> deletes;
};

enum class commit_outcome {
    Committed,
    /** A condition was not met; nothing was written. */
    Conflict,
    /** The service refused the transaction (outage or over the rate limit), or was not reached; nothing was written. */
    Refused,
    /** The response was lost; the write may or may not have taken effect. */
    Unknown,
};

/** Rows in memory; shared by all copies. For tests and benchmarks. */
class memory_table
{
public:
    memory_table();

    commit_outcome commit(const table_transaction &transaction, failure &reason);
    std::optional<table_row> read(std::string_view key, failure &reason);
    std::optional<std::vector<table_row>> scan(std::string_view prefix, std::string_view after, int limit, failure &reason);

    /** While set, every call fails with StoreUnavailable. */
    void setOutage(bool outage);
    /** The next `count` commits take effect but return Unknown. */
    void loseAnswers(int count);

private:
    struct rows;

    std::shared_ptr<rows> m_rows;
};

class http_table
{
public:
    http_table(std::shared_ptr<http_client> client, endpoint service);

    commit_outcome commit(const table_transaction &transaction, failure &reason);
    std::optional<table_row> read(std::string_view key, failure &reason);
    std::optional<std::vector<table_row>> scan(std::string_view prefix, std::string_view after, int limit, failure &reason);

private:
    std::shared_ptr<http_client> m_client;
    endpoint m_service;
};

class table_service
{
public:
    using backend = std::variant<memory_table, http_table>;

    explicit table_service(backend chosen);

    /** Unless committed, the reason is StoreConflict, StoreUnavailable, StoreOverloaded or StoreOutcomeUnknown. */
    commit_outcome commit(const table_transaction &transaction, failure &reason);
    /** Fails with NotFound, StoreUnavailable or StoreOverloaded. */
    std::optional<table_row> read(std::string_view key, failure &reason);
    /** Rows whose keys start with `prefix` and come after `after`, in key order, at most `limit`. */
    std::optional<std::vector<table_row>> scan(std::string_view prefix, std::string_view after, int limit, failure &reason);

private:
    backend m_backend;
};

} // namespace daisypass
