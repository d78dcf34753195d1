#include "services/table_service.h"

#include "services/http_answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <mutex>

namespace daisypass {

struct memory_table::rows
{
    std::mutex lock;
    std::map<std::string, table_row, std::less<>> byKey;
    // Versions are never reused, so a row that was deleted and written again cannot satisfy an old condition.
    std::uint64_t lastVersion = 0;
    bool outage = false;
    int answersToLose = 0;

    std::uint64_t version(std::string_view key) const
    {
        const auto found = byKey.find(key);
        return found == byKey.end() ? 0 : found->second.version;
    }
};

memory_table::memory_table()
    : m_rows(std::make_shared<rows>())
{
}

commit_outcome memory_table::commit(const table_transaction &transaction, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_rows->lock);
    if (m_rows->outage) {
        reason = failure{failure_code::StoreUnavailable, "commit"};
        return commit_outcome::Refused;
    }
    for (const row_condition &condition : transaction.conditions) {
        if (m_rows->version(condition.key) != condition.version) {
            reason = failure{failure_code::StoreConflict, condition.key};
            return commit_outcome::Conflict;
        }
    }
    for (const row_put &put : transaction.puts) {
        m_rows->byKey[put.key] = table_row{put.key, put.value, ++m_rows->lastVersion, transaction.writeId};
    }
    for (const std::string &key : transaction.deletes) {
        m_rows->byKey.erase(key);
    }
    if (m_rows->answersToLose > 0) {
        --m_rows->answersToLose;
        reason = failure{failure_code::StoreOutcomeUnknown, transaction.writeId};
        return commit_outcome::Unknown;
    }
    return commit_outcome::Committed;
}

std::optional<table_row> memory_table::read(std::string_view key, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_rows->lock);
    if (m_rows->outage) {
        reason = failure{failure_code::StoreUnavailable, "read"};
        return std::nullopt;
    }
    const auto found = m_rows->byKey.find(key);
    if (found == m_rows->byKey.end()) {
        reason = failure{failure_code::NotFound, std::string(key)};
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::vector<table_row>> memory_table::scan(std::string_view prefix, std::string_view after, int limit, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_rows->lock);
    if (m_rows->outage) {
        reason = failure{failure_code::StoreUnavailable, "scan"};
        return std::nullopt;
    }
    std::vector<table_row> found;
    auto row = after < prefix ? m_rows->byKey.lower_bound(prefix) : m_rows->byKey.upper_bound(after);
    while (row != m_rows->byKey.end() && row->first.starts_with(prefix) && static_cast<int>(found.size()) < limit) {
        found.push_back(row->second);
        ++row;
    }
    return found;
}

void memory_table::setOutage(bool outage)
{
    const std::lock_guard<std::mutex> guard(m_rows->lock);
    m_rows->outage = outage;
}

void memory_table::loseAnswers(int count)
{
    const std::lock_guard<std::mutex> guard(m_rows->lock);
    m_rows->answersToLose = count;
}

http_table::http_table(std::shared_ptr<http_client> client, endpoint service)
    : m_client(std::move(client))
    , m_service(std::move(service))
{
}

commit_outcome http_table::commit(const table_transaction &transaction, failure &reason)
{
    nlohmann::json body{
        {"write_id", transaction.writeId}, {"conditions", nlohmann::json::array()}, {"puts", nlohmann::json::array()}, {"deletes", transaction.deletes}};
    for (const row_condition &condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const row_put &put : transaction.puts) {
        body["puts"].push_back({{"key", put.key}, {"value", put.value}});
    }
    const http_result result = m_client->fetch(platformCall(m_service, "POST", "/table/commit", body.dump()));
    if (result.state == send_state::Answered && result.response.status == 409) {
        reason = failure{failure_code::StoreConflict, result.response.body};
        return commit_outcome::Conflict;
    }
    if (checkAnswer(result, transaction.writeId, reason)) {
        return commit_outcome::Committed;
    }
    const bool refused = result.state == send_state::NotSent || reason.code == failure_code::StoreOverloaded
        || (result.state == send_state::Answered && reason.code == failure_code::StoreUnavailable);
    if (refused) {
        return commit_outcome::Refused;
    }
    reason.code = failure_code::StoreOutcomeUnknown;
    return commit_outcome::Unknown;
}

std::optional<table_row> http_table::read(std::string_view key, failure &reason)
{
    const http_result result = m_client->fetch(platformCall(m_service, "GET", "/table/row?key=" + percentEncode(key)));
    std::optional<nlohmann::json> body = readJson(result, key, reason);
    if (!body) {
        return std::nullopt;
    }
    return rowFromJson(*body);
}

std::optional<std::vector<table_row>> http_table::scan(std::string_view prefix, std::string_view after, int limit, failure &reason)
{
    const std::string path = "/table/rows?prefix=" + percentEncode(prefix) + "&after=" + percentEncode(after) + "&limit=" + std::to_string(limit);
    const http_result result = m_client->fetch(platformCall(m_service, "GET", path));
    std::optional<nlohmann::json> body = readJson(result, prefix, reason);
    if (!body) {
        return std::nullopt;
    }
    const auto list = body->find("rows");
    if (!body->is_object() || list == body->end() || !list->is_array()) {
        reason = failure{failure_code::BadAnswer, std::string(prefix), {}, "an object with rows"};
        return std::nullopt;
    }
    std::vector<table_row> rows;
    for (const nlohmann::json &item : *list) {
        rows.push_back(rowFromJson(item));
        if (rows.back().key.empty()) {
            // Without this row the others would have a gap.
            reason = failure{failure_code::BadAnswer, std::string(prefix) + ": " + item.dump(), {}, "a row with a key"};
            return std::nullopt;
        }
    }
    return rows;
}

table_service::table_service(backend chosen)
    : m_backend(std::move(chosen))
{
}

commit_outcome table_service::commit(const table_transaction &transaction, failure &reason)
{
    return std::visit(
        [&](auto &table) {
            return table.commit(transaction, reason);
        },
        m_backend);
}

std::optional<table_row> table_service::read(std::string_view key, failure &reason)
{
    return std::visit(
        [&](auto &table) {
            return table.read(key, reason);
        },
        m_backend);
}

std::optional<std::vector<table_row>> table_service::scan(std::string_view prefix, std::string_view after, int limit, failure &reason)
{
    return std::visit(
        [&](auto &table) {
            return table.scan(prefix, after, limit, reason);
        },
        m_backend);
}

} // namespace daisypass
