#include "entry/target_call.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds maxConnectTimeout{1'000};
constexpr int minServerError = 500;
constexpr std::string_view requestIdHeader = "Daisypass-Request-Id";

} // namespace

http_call makeTargetCall(std::string url, std::string_view requestId, const std::vector<http_header> &headers, std::string body, duration remaining)
{
    http_call call;
    call.method = "POST";
    call.url = std::move(url);
    call.headers.reserve(headers.size() + 1);
    call.headers = headers;
    call.headers.push_back({std::string(requestIdHeader), std::string(requestId)});
    call.body = std::move(body);
    // At least 1 ms, because 0 means no timeout.
    call.totalTimeout = std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(remaining));
    call.connectTimeout = std::min(maxConnectTimeout, call.totalTimeout);
    call.requiredHeader = http_header{std::string(requestIdHeader), std::string(requestId)};
    return call;
}

attempt_outcome classifyAttempt(const http_result &result, std::string_view requestId)
{
    if (result.state == send_state::NotSent) {
        return attempt_outcome::NotSent;
    }
    if (result.state != send_state::Answered || findHeader(result.response.headers, requestIdHeader) != requestId) {
        return attempt_outcome::Unknown;
    }
    const auto refusal = std::find_if(result.response.headers.begin(), result.response.headers.end(), [](const http_header &header) {
        return equalIgnoringCase(header.name, "Daisypass-Not-Run");
    });
    if (refusal != result.response.headers.end()) {
        return attempt_outcome::Refused;
    }
    return result.response.status >= minServerError ? attempt_outcome::Failed : attempt_outcome::Completed;
}

} // namespace daisypass
