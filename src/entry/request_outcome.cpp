#include "entry/request_outcome.h"

#include "entry/header_rules.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace daisypass {
namespace {

constexpr duration oneSecond{1'000'000};

int statusOfReason(std::string_view reason)
{
    constexpr std::array<std::pair<refusal_reason, int>, 14> statuses{{
        {refusal_reason::Overloaded, 503},
        {refusal_reason::TeamOverLimit, 429},
        {refusal_reason::DeadlinePassed, 504},
        {refusal_reason::NeverRunnable, 422},
        {refusal_reason::UnknownPool, 404},
        {refusal_reason::UnknownTeam, 403},
        {refusal_reason::TeamNotPermitted, 403},
        {refusal_reason::BadRequest, 400},
        {refusal_reason::TicketRequired, 428},
        {refusal_reason::StoreUnavailable, 503},
        {refusal_reason::NoTarget, 503},
        {refusal_reason::ShuttingDown, 503},
        {refusal_reason::Isolated, 503},
        {refusal_reason::Cancelled, 409},
    }};
    for (const std::pair<refusal_reason, int> &entry : statuses) {
        if (reasonName(entry.first) == reason) {
            return entry.second;
        }
    }
    return 503;
}

int statusOf(const request_outcome &outcome)
{
    switch (outcome.fate) {
    case request_fate::Pending:
    case request_fate::Running:
        return 200;
    case request_fate::Completed:
        return outcome.response.status;
    case request_fate::Failed:
        return 502;
    case request_fate::NotRun:
        return statusOfReason(outcome.reason);
    case request_fate::Unknown:
        return 504;
    case request_fate::Expired:
        return 410;
    }
    return 500;
}

std::string_view titleOf(request_fate fate)
{
    switch (fate) {
    case request_fate::Pending:
        return "The request waits";
    case request_fate::Running:
        return "The request runs";
    case request_fate::Completed:
        return "The request completed";
    case request_fate::Failed:
        return "The target failed to run the request";
    case request_fate::NotRun:
        return "The request was not run";
    case request_fate::Unknown:
        return "The request may or may not have run";
    case request_fate::Expired:
        return "The outcome is no longer held";
    }
    return "";
}

http_response jsonResponse(int status, const nlohmann::ordered_json &body, std::string_view type)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", std::string(type)});
    // A detail can quote bytes that a caller sent; dump() would throw on invalid UTF-8, so it is replaced.
    response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    return response;
}

} // namespace

std::string_view fateName(request_fate fate)
{
    switch (fate) {
    case request_fate::Pending:
        return "pending";
    case request_fate::Running:
        return "running";
    case request_fate::Completed:
        return "completed";
    case request_fate::Failed:
        return "failed";
    case request_fate::NotRun:
        return "not_run";
    case request_fate::Unknown:
        return "unknown";
    case request_fate::Expired:
        return "expired";
    }
    return "unknown";
}

request_outcome notRun(refusal_reason reason, std::string detail, duration retryAfter)
{
    return request_outcome{request_fate::NotRun, std::string(reasonName(reason)), std::move(detail), retryAfter, {}};
}

request_outcome expired(std::string detail)
{
    return request_outcome{request_fate::Expired, "", std::move(detail), {}, {}};
}

http_response toResponse(request_outcome outcome, std::string_view requestId)
{
    http_response response;
    if (outcome.fate == request_fate::Completed) {
        response = std::move(outcome.response);
        std::erase_if(response.headers, [](const http_header &header) {
            return !mayPassToCaller(header.name);
        });
    } else {
        const int status = statusOf(outcome);
        nlohmann::ordered_json body{{"type", "urn:daisypass:outcome:" + std::string(fateName(outcome.fate))},
                                    {"title", titleOf(outcome.fate)},
                                    {"status", status},
                                    {"outcome", fateName(outcome.fate)}};
        if (!outcome.reason.empty()) {
            body["reason"] = outcome.reason;
        }
        if (!outcome.detail.empty()) {
            body["detail"] = outcome.detail;
        }
        if (!requestId.empty()) {
            body["request_id"] = requestId;
        }
        response = jsonResponse(status, body, outcome.isFinal() ? "application/problem+json" : "application/json");
    }
    if (outcome.retryAfter > duration::zero()) {
        // Retry-After is in whole seconds (RFC 9110). Rounded up, because a retry before the delay would be refused again.
        const std::int64_t seconds = (outcome.retryAfter.count() + oneSecond.count() - 1) / oneSecond.count();
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.headers.push_back({"Daisypass-Outcome", std::string(fateName(outcome.fate))});
    if (!requestId.empty()) {
        response.headers.push_back({"Daisypass-Request-Id", std::string(requestId)});
    }
    return response;
}

http_response acceptedResponse(std::string_view requestId)
{
    http_response response = jsonResponse(202, {{"outcome", fateName(request_fate::Pending)}, {"request_id", requestId}}, "application/json");
    response.headers.push_back({"Location", "/v1/requests/" + std::string(requestId)});
    response.headers.push_back({"Daisypass-Outcome", std::string(fateName(request_fate::Pending))});
    response.headers.push_back({"Daisypass-Request-Id", std::string(requestId)});
    return response;
}

http_response problemResponse(int status, std::string_view reason, std::string_view detail)
{
    return jsonResponse(status,
                        {{"type", "urn:daisypass:problem:" + std::string(reason)}, {"title", detail}, {"status", status}, {"reason", reason}},
                        "application/problem+json");
}

} // namespace daisypass
