#include "standins/store_standin.h"

#include "standins/json_answer.h"

#include "base/clock.h"
#include "platform/wire_json.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>

namespace daisypass {
namespace {

using wire::json;

// The store's limits: rows in an answer, entries in a transaction, and bytes of a table, part or key.
constexpr std::size_t maxRowsPerAnswer = 500;
constexpr std::size_t maxEntriesPerTransaction = 100;
constexpr std::size_t maxNameBytes = 200;

row_key keyIn(const json &item)
{
    return {wire::stringIn(item, "Table").value_or(""), wire::stringIn(item, "part").value_or(""), wire::stringIn(item, "Key").value_or("")};
}

json rowObject(const store_row &row)
{
    json item{{"Table", row.key.table}, {"part", row.key.part}, {"Key", row.key.key}, {"Ver", row.version}};
    if (row.deleted) {
        item["Deleted"] = true;
    } else {
        item["Value"] = wire::encodeBase64(row.value);
    }
    return item;
}

bool isReadOnly(const row_key &key)
{
    return key.table == "op" || key.table == "servers";
}

bool hasValidKey(const json &item)
{
    const row_key key = keyIn(item);
    return std::max({key.table.size(), key.part.size(), key.key.size()}) <= maxNameBytes;
}

} // namespace

store_standin::store_standin(asio::io_context &context, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
{
}

void store_standin::setFault(store_fault fault)
{
    m_fault = fault;
}

void store_standin::watchPuts(std::function<void(const store_row &)> watcher)
{
    m_watcher = std::move(watcher);
}

void store_standin::forgetHistory()
{
    m_historyFrom = m_version;
}

void store_standin::put(const row_key &key, const std::string &value)
{
    ++m_version;
    store(key, value);
    wakeFeeds();
}

void store_standin::remove(const row_key &key)
{
    if (!m_rows.contains(key)) {
        return;
    }
    ++m_version;
    erase(key);
    wakeFeeds();
}

std::string store_standin::value(const row_key &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::string() : found->second.value;
}

std::vector<store_row> store_standin::rowsOf(const std::string &table) const
{
    std::vector<store_row> rows;
    for (const std::pair<const row_key, store_row> &row : m_rows) {
        if (row.first.table == table) {
            rows.push_back(row.second);
        }
    }
    return rows;
}

void store_standin::store(const row_key &key, const std::string &value)
{
    m_rows[key] = store_row{key, value, m_version, false};
    m_lastChange[key] = m_version;
}

void store_standin::erase(const row_key &key)
{
    m_rows.erase(key);
    m_lastChange[key] = m_version;
}

void store_standin::handle(const http_request &request, const http_responder &respond)
{
    switch (m_fault.kind) {
    case store_fault_kind::Busy:
        respond(emptyResponse(statusUnavailable));
        return;
    case store_fault_kind::Silent:
        return;
    case store_fault_kind::Slow: {
        const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, m_fault.delay);
        timer->async_wait([this, timer, request, respond](const asio::error_code &error) {
            if (!error) {
                serve(request, respond);
            }
        });
        return;
    }
    case store_fault_kind::LostAnswers: {
        std::uniform_real_distribution<double> uniform(0, 1);
        const bool lost = request.path == "/-/rows-tx" && uniform(m_random) < m_fault.share;
        if (lost) {
            serve(request, [respond](http_response response) {
                response.delivery = answer_delivery::Closed;
                respond(std::move(response));
            });
            return;
        }
        break;
    }
    case store_fault_kind::None:
        break;
    }
    serve(request, respond);
}

void store_standin::serve(const http_request &request, const http_responder &respond)
{
    if (request.path == "/-/rows-tx") {
        transact(request, respond);
    } else if (request.path == "/-/rows-get") {
        get(request, respond);
    } else if (request.path == "/-/rows-feed") {
        feed(request, respond);
    } else {
        respond(emptyResponse(statusNotFound));
    }
}

bool store_standin::isWithinLimits(const json &conditions, const json &puts, const json &deletes) const
{
    const bool keysAreValid = std::all_of(conditions.begin(), conditions.end(), hasValidKey) && std::all_of(puts.begin(), puts.end(), hasValidKey)
        && std::all_of(deletes.begin(), deletes.end(), hasValidKey);
    const bool valuesAreValid = std::all_of(puts.begin(), puts.end(), [this](const json &item) {
        const std::optional<std::string> value = wire::decodeBase64(wire::stringIn(item, "Value").value_or(""));
        return value && value->size() <= m_maxValueBytes;
    });
    return keysAreValid && valuesAreValid && conditions.size() + puts.size() + deletes.size() <= maxEntriesPerTransaction;
}

void store_standin::transact(const http_request &request, const http_responder &respond)
{
    const std::optional<json> body = wire::parseObject(request.body);
    if (!body) {
        respond(emptyResponse(statusBadRequest));
        return;
    }
    ++m_writes;
    const json none = json::array();
    const json &conditions = wire::arrayIn(*body, "ExpectedRev") == nullptr ? none : *wire::arrayIn(*body, "ExpectedRev");
    const json &puts = wire::arrayIn(*body, "Puts") == nullptr ? none : *wire::arrayIn(*body, "Puts");
    const json &deletes = wire::arrayIn(*body, "Deletes") == nullptr ? none : *wire::arrayIn(*body, "Deletes");
    if (!isWithinLimits(conditions, puts, deletes)) {
        respond(emptyResponse(statusBadRequest));
        return;
    }
    bool conditionsHold = true;
    json current = json::array();
    for (const json &item : conditions) {
        const auto row = m_rows.find(keyIn(item));
        const std::int64_t version = row == m_rows.end() ? 0 : row->second.version;
        conditionsHold = conditionsHold && version == wire::integerIn(item, "Ver").value_or(-1);
        if (row != m_rows.end()) {
            current.push_back(rowObject(row->second));
        }
    }
    if (!conditionsHold) {
        respond(jsonResponse(statusPreconditionFailed, json{{"rows", current}, {"Ver", m_version}, {"NowMs", steadyMillis()}}));
        return;
    }
    for (const json &item : puts) {
        if (isReadOnly(keyIn(item))) {
            respond(emptyResponse(statusForbidden));
            return;
        }
    }
    ++m_version;
    for (const json &item : puts) {
        const row_key key = keyIn(item);
        store(key, wire::decodeBase64(wire::stringIn(item, "Value").value_or("")).value_or(""));
        if (m_watcher) {
            m_watcher(m_rows.at(key));
        }
    }
    for (const json &item : deletes) {
        erase(keyIn(item));
    }
    respond(jsonResponse(statusOk, json{{"Ver", m_version}, {"NowMs", steadyMillis()}}));
    wakeFeeds();
}

void store_standin::get(const http_request &request, const http_responder &respond)
{
    const std::string table(findHeader(request.query, "Table"));
    const std::string part(findHeader(request.query, "part"));
    const std::string from(findHeader(request.query, "From"));
    const std::string to(findHeader(request.query, "To"));
    json rows = json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, from}); row != m_rows.end(); ++row) {
        const bool outside = row->first.table != table || row->first.part != part || (!to.empty() && row->first.key >= to);
        if (outside) {
            break;
        }
        if (rows.size() == maxRowsPerAnswer) {
            more = true;
            break;
        }
        rows.push_back(rowObject(row->second));
    }
    respond(jsonResponse(statusOk, json{{"rows", rows}, {"HasMore", more}, {"Ver", m_version}, {"NowMs", steadyMillis()}}));
}

void store_standin::feed(const http_request &request, const http_responder &respond)
{
    const std::int64_t after = findNumber(request.query, "After");
    if (after < m_historyFrom) {
        respond(emptyResponse(statusGone));
        return;
    }
    const std::shared_ptr<waiting_feed> waiting = std::make_shared<waiting_feed>();
    waiting->table = findHeader(request.query, "Table");
    waiting->after = after;
    waiting->respond = respond;
    if (answerFeed(*waiting)) {
        return;
    }
    waiting->timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(findNumber(request.query, "WaitMs")));
    waiting->timer->async_wait([this, waiting](const asio::error_code &error) {
        if (error) {
            return;
        }
        std::erase(m_feeds, waiting);
        waiting->respond(jsonResponse(statusOk, json{{"rows", json::array()}, {"Ver", m_version}, {"NowMs", steadyMillis()}}));
    });
    m_feeds.push_back(waiting);
}

bool store_standin::answerFeed(const waiting_feed &feed)
{
    json rows = json::array();
    std::vector<std::pair<std::int64_t, row_key>> changes;
    for (const std::pair<const row_key, std::int64_t> &change : m_lastChange) {
        if (change.first.table == feed.table && change.second > feed.after) {
            changes.emplace_back(change.second, change.first);
        }
    }
    if (changes.empty()) {
        return false;
    }
    std::sort(changes.begin(), changes.end());
    for (const std::pair<std::int64_t, row_key> &change : changes) {
        const auto row = m_rows.find(change.second);
        rows.push_back(rowObject(row == m_rows.end() ? store_row{change.second, "", change.first, true} : row->second));
    }
    feed.respond(jsonResponse(statusOk, json{{"rows", rows}, {"Ver", m_version}, {"NowMs", steadyMillis()}}));
    return true;
}

void store_standin::wakeFeeds()
{
    std::erase_if(m_feeds, [this](const std::shared_ptr<waiting_feed> &feed) {
        const bool answered = answerFeed(*feed);
        if (answered) {
            feed->timer->cancel();
        }
        return answered;
    });
}

} // namespace daisypass
