#include "platform/store_client.h"

#include "base/json_text.h"
#include "http/http_answers.h"
#include "platform/wire_json.h"

namespace daisypass {
namespace {

using wire::json;

constexpr std::chrono::milliseconds connectTimeout{700};
// The store's limits for one answer. The limit of bytes is 1 MB; a row that doesn't fit any more ends the answer below it.
constexpr std::size_t maxRowsPerAnswer = 500;
constexpr std::size_t nearMaxBytesPerAnswer = 900'000;

// Appends the members that name a row, without the braces around them.
void appendKey(std::string &body, const row_key &key)
{
    body += "\"Table\":";
    appendJsonString(body, key.table);
    body += ",\"part\":";
    appendJsonString(body, key.part);
    body += ",\"Key\":";
    appendJsonString(body, key.key);
}

std::string transactionBody(const row_transaction &transaction)
{
    std::string body = "{\"ExpectedRev\":[";
    for (const row_precondition &expected : transaction.preconditions) {
        appendSeparator(body);
        body += '{';
        appendKey(body, expected.key);
        body += ",\"Ver\":" + std::to_string(expected.version) + '}';
    }
    body += "],\"Puts\":[";
    for (const row_update &put : transaction.puts) {
        appendSeparator(body);
        body += '{';
        appendKey(body, put.key);
        body += ",\"Value\":\"" + wire::encodeBase64(put.value) + "\"}";
    }
    body += "],\"Deletes\":[";
    for (const row_key &key : transaction.deletes) {
        appendSeparator(body);
        body += '{';
        appendKey(body, key);
        body += '}';
    }
    body += "]}";
    return body;
}

// A row whose value is no valid base64 gets an empty value, and its reader decides how to treat it.
std::vector<store_row> readRows(const json &body)
{
    std::vector<store_row> rows;
    const json *list = wire::arrayIn(body, "rows");
    if (list == nullptr) {
        return rows;
    }
    for (const json &item : *list) {
        store_row row;
        row.key = {wire::stringIn(item, "Table").value_or(""), wire::stringIn(item, "part").value_or(""), wire::stringIn(item, "Key").value_or("")};
        row.version = wire::integerIn(item, "Ver").value_or(0);
        row.deleted = wire::boolIn(item, "Deleted");
        row.value = wire::decodeBase64(wire::stringIn(item, "Value").value_or("")).value_or("");
        rows.push_back(std::move(row));
    }
    return rows;
}

store_status statusOf(const http_result &result)
{
    if (result.state == send_state::NotSent) {
        return store_status::Refused;
    }
    if (result.state == send_state::Sent) {
        return store_status::Unknown;
    }
    switch (result.response.status) {
    case statusOk:
        return store_status::Ok;
    case statusPreconditionFailed:
        return store_status::Conflict;
    case statusGone:
        return store_status::HistoryGone;
    case statusBadRequest:
    case statusTooLarge:
        return store_status::Invalid;
    case statusTooMany:
    case statusUnavailable:
        return store_status::Refused;
    default:
        return result.response.status < 500 ? store_status::Refused : store_status::Unknown;
    }
}

int httpStatusOf(const http_result &result)
{
    return result.state == send_state::Answered ? result.response.status : 0;
}

rows_result readRowsResult(const http_result &result)
{
    rows_result read;
    read.status = statusOf(result);
    read.httpStatus = httpStatusOf(result);
    if (read.status != store_status::Ok) {
        return read;
    }
    const std::optional<json> body = wire::parseObject(result.response.body);
    if (!body) {
        read.status = store_status::Unknown;
        return read;
    }
    read.rows = readRows(*body);
    read.more = wire::boolIn(*body, "HasMore");
    read.version = wire::integerIn(*body, "Ver").value_or(0);
    read.storeMs = wire::integerIn(*body, "NowMs").value_or(0);
    read.atLimit = read.rows.size() >= maxRowsPerAnswer || result.response.body.size() >= nearMaxBytesPerAnswer;
    return read;
}

transact_result readTransactResult(const http_result &result)
{
    transact_result read;
    read.status = statusOf(result);
    read.httpStatus = httpStatusOf(result);
    if (read.status != store_status::Ok && read.status != store_status::Conflict) {
        return read;
    }
    const std::optional<json> body = wire::parseObject(result.response.body);
    if (!body) {
        read.status = store_status::Unknown;
        return read;
    }
    read.version = wire::integerIn(*body, "Ver").value_or(0);
    read.rows = readRows(*body);
    return read;
}

std::string parameter(const char *name, const std::string &value)
{
    return std::string("&") + name + '=' + wire::escapeQuery(value);
}

} // namespace

std::optional<row_range> nextPage(row_range range, const rows_result &page)
{
    if (!page.more || page.rows.empty()) {
        return std::nullopt;
    }
    // Keys contain no blanks, and '!' is the first character after the blank. So every later key sorts at or after this one.
    range.from = page.rows.back().key.key + '!';
    return range;
}

std::string_view nameOf(store_status status)
{
    switch (status) {
    case store_status::Ok:
        return "ok";
    case store_status::Conflict:
        return "conflict";
    case store_status::Refused:
        return "refused";
    case store_status::Invalid:
        return "invalid";
    case store_status::Unknown:
        return "unknown";
    case store_status::HistoryGone:
        return "history_gone";
    }
    return "unknown";
}

store_client::store_client(http_client &http, const endpoint &store)
    : m_http(http)
    , m_url("http://" + toString(store))
{
}

void store_client::transact(const row_transaction &transaction, std::chrono::milliseconds timeout, std::function<void(transact_result)> done)
{
    http_call call;
    call.method = "POST";
    call.url = m_url + "/-/rows-tx";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = transactionBody(transaction);
    call.connectTimeout = std::min(connectTimeout, timeout);
    call.totalTimeout = timeout;
    m_http.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(readTransactResult(result));
    });
}

void store_client::get(const row_range &range, std::chrono::milliseconds timeout, std::function<void(rows_result)> done)
{
    http_call call;
    call.url = m_url + "/-/rows-get?Table=" + wire::escapeQuery(range.table) + parameter("part", range.part);
    if (!range.from.empty()) {
        call.url += parameter("From", range.from);
    }
    if (!range.to.empty()) {
        call.url += parameter("To", range.to);
    }
    call.connectTimeout = std::min(connectTimeout, timeout);
    call.totalTimeout = timeout;
    m_http.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(readRowsResult(result));
    });
}

void store_client::feed(
    const std::string &table, std::int64_t version, std::chrono::milliseconds wait, std::function<void(rows_result)> done, std::chrono::milliseconds answerTime)
{
    http_call call;
    call.url = m_url + "/-/rows-feed?Table=" + wire::escapeQuery(table) + parameter("After", std::to_string(version))
        + parameter("WaitMs", std::to_string(wait.count()));
    call.connectTimeout = connectTimeout;
    call.totalTimeout = wait + answerTime;
    m_http.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(readRowsResult(result));
    });
}

} // namespace daisypass
