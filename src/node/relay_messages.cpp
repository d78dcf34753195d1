#include "node/relay_messages.h"

#include <nlohmann/json.hpp>

namespace daisypass {
namespace {

using json = nlohmann::json;

json encodeHeaders(const std::vector<http_header> &headers)
{
    json list = json::array();
    for (const http_header &header : headers) {
        list.push_back(header.name);
        list.push_back(header.value);
    }
    return list;
}

std::string toMessagePack(const json &value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<json> fromMessagePack(std::string_view body)
{
    json value = json::from_msgpack(body.begin(), body.end(), true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::optional<relayed_call> decodeCall(const json &item)
{
    constexpr std::size_t size = 7;
    if (!item.is_array() || item.size() != size || !item[0].is_number_integer() || !item[3].is_array()) {
        return std::nullopt;
    }
    relayed_call read;
    read.number = item[0].get<std::int64_t>();
    read.call.method = item[1].get<std::string>();
    read.call.url = item[2].get<std::string>();
    for (std::size_t i = 0; i + 1 < item[3].size(); i += 2) {
        read.call.headers.push_back({item[3][i].get<std::string>(), item[3][i + 1].get<std::string>()});
    }
    read.call.body = item[4].get<std::string>();
    read.call.connectTimeout = std::chrono::milliseconds(item[5].get<std::int64_t>());
    read.call.totalTimeout = std::chrono::milliseconds(item[6].get<std::int64_t>());
    return read;
}

} // namespace

std::string encode(const relay_exchange &exchange)
{
    json calls = json::array();
    for (const relayed_call &relayed : exchange.calls) {
        calls.push_back(json::array({relayed.number,
                                     relayed.call.method,
                                     relayed.call.url,
                                     encodeHeaders(relayed.call.headers),
                                     relayed.call.body,
                                     relayed.call.connectTimeout.count(),
                                     relayed.call.totalTimeout.count()}));
    }
    return toMessagePack(json::array({exchange.session, exchange.waitMs, std::move(calls)}));
}

std::optional<relay_exchange> decodeExchange(std::string_view body)
{
    const std::optional<json> value = fromMessagePack(body);
    const bool valid = value && value->is_array() && value->size() == 3 && (*value)[0].is_string() && (*value)[1].is_number_integer() && (*value)[2].is_array();
    if (!valid) {
        return std::nullopt;
    }
    relay_exchange exchange;
    exchange.session = (*value)[0].get<std::string>();
    exchange.waitMs = (*value)[1].get<std::int64_t>();
    for (const json &item : (*value)[2]) {
        try {
            std::optional<relayed_call> call = decodeCall(item);
            if (!call) {
                return std::nullopt;
            }
            exchange.calls.push_back(std::move(*call));
        } catch (const json::exception &) {
            return std::nullopt;
        }
    }
    return exchange;
}

std::string encode(const std::vector<relayed_result> &results)
{
    json list = json::array();
    for (const relayed_result &relayed : results) {
        list.push_back(json::array({relayed.number, static_cast<int>(relayed.result.state), relayed.result.response.status, relayed.result.response.body}));
    }
    return toMessagePack(list);
}

std::optional<std::vector<relayed_result>> decodeResults(std::string_view body)
{
    const std::optional<json> value = fromMessagePack(body);
    if (!value || !value->is_array()) {
        return std::nullopt;
    }
    std::vector<relayed_result> results;
    for (const json &item : *value) {
        const bool valid = item.is_array() && item.size() == 4 && item[0].is_number_integer() && item[1].is_number_integer() && item[2].is_number_integer()
            && item[3].is_string();
        if (!valid) {
            return std::nullopt;
        }
        relayed_result relayed;
        relayed.number = item[0].get<std::int64_t>();
        relayed.result.state = static_cast<send_state>(item[1].get<int>());
        relayed.result.response.status = item[2].get<int>();
        relayed.result.response.body = item[3].get<std::string>();
        if (relayed.result.state != send_state::Answered) {
            relayed.result.reason = failure{failure_code::PeerUnreachable, "executor call through a relay"};
        }
        results.push_back(std::move(relayed));
    }
    return results;
}

} // namespace daisypass
