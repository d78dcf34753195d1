#include "store.h"

#include <algorithm>
#include <chrono>

namespace review {
namespace {

constexpr int statusConflict = 412;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;
constexpr std::size_t maxRowsPerAnswer = 500;
constexpr millis transactionMs = 3;

std::string parameter(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::int64_t numberParameter(const http_request &request, const std::string &name)
{
    const std::string text = parameter(request, name);
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

std::string encodeBase64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t groupSize = 3;
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += groupSize) {
        const std::size_t count = std::min(groupSize, text.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < groupSize; ++k) {
            group = (group << 8U) | (k < count ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k <= groupSize; ++k) {
            encoded += k <= count ? digits[(group >> (18U - 6U * k)) & 63U] : '=';
        }
    }
    return encoded;
}

void store::put(const row_key &key, const json &value)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_rows[key] = {encodeBase64(value.dump()), ++m_version, false};
    m_changed.notify_all();
}

void store::remove(const row_key &key)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_rows[key] = {"", ++m_version, true};
    m_changed.notify_all();
}

void store::setDown(bool down)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_down = down;
    m_changed.notify_all();
}

store::row_key store::keyOf(const json &item)
{
    return {item.value("Table", ""), item.value("part", ""), item.value("Key", "")};
}

json store::describe(const row_key &key, const row &stored)
{
    json item{{"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}, {"Ver", stored.version}};
    if (stored.deleted) {
        item["Deleted"] = true;
    } else {
        item["Value"] = stored.value;
    }
    return item;
}

http_response store::answer(json body) const
{
    body["Ver"] = m_version;
    body["NowMs"] = steadyMs();
    return {200, body.dump()};
}

http_response store::handle(const http_request &request)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_down) {
            return {statusUnavailable, "{}"};
        }
    }
    if (request.path == "/-/rows-tx") {
        sleepMs(transactionMs);
        return transact(json::parse(request.body));
    }
    if (request.path == "/-/rows-get") {
        return get(request);
    }
    if (request.path == "/-/rows-feed") {
        return feed(request);
    }
    return {statusNotFound, "{}"};
}

http_response store::transact(const json &body)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    bool holds = true;
    json current = json::array();
    for (const json &item : body.value("ExpectedRev", json::array())) {
        const auto found = m_rows.find(keyOf(item));
        const bool exists = found != m_rows.end() && !found->second.deleted;
        holds = holds && (exists ? found->second.version : 0) == item.value("Ver", std::int64_t{0});
        if (exists) {
            current.push_back(describe(found->first, found->second));
        }
    }
    if (!holds) {
        http_response refused = answer(json{{"rows", current}});
        refused.status = statusConflict;
        return refused;
    }
    ++m_version;
    for (const json &item : body.value("Puts", json::array())) {
        m_rows[keyOf(item)] = {item.value("Value", ""), m_version, false};
    }
    for (const json &item : body.value("Deletes", json::array())) {
        const auto found = m_rows.find(keyOf(item));
        if (found != m_rows.end()) {
            found->second = {"", m_version, true};
        }
    }
    m_changed.notify_all();
    return answer(json::object());
}

http_response store::get(const http_request &request)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::string table = parameter(request, "Table");
    const std::string part = parameter(request, "part");
    const std::string to = parameter(request, "To");
    json rows = json::array();
    bool more = false;
    for (auto found = m_rows.lower_bound({table, part, parameter(request, "From")}); found != m_rows.end(); ++found) {
        const bool inRange = std::get<0>(found->first) == table && std::get<1>(found->first) == part && (to.empty() || std::get<2>(found->first) < to);
        if (!inRange) {
            break;
        }
        if (rows.size() >= maxRowsPerAnswer) {
            more = true;
            break;
        }
        if (!found->second.deleted) {
            rows.push_back(describe(found->first, found->second));
        }
    }
    return answer(json{{"rows", rows}, {"HasMore", more}});
}

http_response store::feed(const http_request &request)
{
    std::unique_lock<std::mutex> guard(m_lock);
    const std::string table = parameter(request, "Table");
    const std::int64_t after = numberParameter(request, "After");
    std::vector<std::pair<std::int64_t, json>> changes;
    const auto collect = [&] {
        for (auto found = m_rows.lower_bound({table, "", ""}); found != m_rows.end() && std::get<0>(found->first) == table; ++found) {
            if (found->second.version > after) {
                changes.emplace_back(found->second.version, describe(found->first, found->second));
            }
        }
        return !changes.empty() || m_down;
    };
    m_changed.wait_for(guard, std::chrono::milliseconds(numberParameter(request, "WaitMs")), collect);
    if (m_down) {
        return {statusUnavailable, "{}"};
    }
    std::stable_sort(changes.begin(), changes.end(), [](const std::pair<std::int64_t, json> &a, const std::pair<std::int64_t, json> &b) {
        return a.first < b.first;
    });
    json rows = json::array();
    for (const std::pair<std::int64_t, json> &change : changes) {
        rows.push_back(change.second);
    }
    return answer(json{{"rows", rows}});
}

} // namespace review
