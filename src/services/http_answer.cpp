#include "services/http_answer.h"

#include <cctype>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds platformConnectTimeout{500};
constexpr std::chrono::milliseconds platformCallTimeout{2'000};

} // namespace

std::string stringMember(const nlohmann::json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object.at(name).is_string() ? object.at(name).get<std::string>() : std::string();
}

http_call platformCall(const endpoint &service, std::string_view method, std::string_view path, std::string body)
{
    http_call call;
    call.method = method;
    call.url = "http://" + toString(service) + std::string(path);
    if (!body.empty()) {
        call.headers.push_back({"Content-Type", "application/json"});
    }
    call.body = std::move(body);
    call.connectTimeout = platformConnectTimeout;
    call.totalTimeout = platformCallTimeout;
    return call;
}

bool checkAnswer(const http_result &result, std::string_view subject, failure &reason)
{
    if (result.state != send_state::Answered) {
        reason = failure{failure_code::StoreUnavailable, std::string(subject) + ": " + result.reason.argument};
        return false;
    }
    const int status = result.response.status;
    if (status >= 200 && status < 300) {
        return true;
    }
    failure_code code = failure_code::BadAnswer;
    if (status == 404) {
        code = failure_code::NotFound;
    } else if (status == 429) {
        code = failure_code::StoreOverloaded;
    } else if (status == 503) {
        code = failure_code::StoreUnavailable;
    }
    reason = failure{code, std::string(subject) + ": status " + std::to_string(status)};
    return false;
}

std::optional<nlohmann::json> readJson(const http_result &result, std::string_view subject, failure &reason)
{
    if (!checkAnswer(result, subject, reason)) {
        return std::nullopt;
    }
    constexpr bool allowExceptions = false;
    nlohmann::json body = nlohmann::json::parse(result.response.body, nullptr, allowExceptions);
    if (body.is_discarded()) {
        reason = failure{failure_code::BadAnswer, std::string(subject) + ": not JSON"};
        return std::nullopt;
    }
    return body;
}

table_row rowFromJson(const nlohmann::json &row)
{
    table_row result;
    if (!row.is_object()) {
        return result;
    }
    result.key = stringMember(row, "key");
    result.value = stringMember(row, "value");
    result.writeId = stringMember(row, "write_id");
    if (row.contains("version") && row.at("version").is_number_unsigned()) {
        result.version = row.at("version").get<std::uint64_t>();
    }
    return result;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded += static_cast<char>(c);
        } else {
            encoded += '%';
            encoded += digits[c >> 4];
            encoded += digits[c & 15];
        }
    }
    return encoded;
}

} // namespace daisypass
