// Tests of request headers, request ids, tickets, and the HTTP responses for outcomes.

#include "entry/header_rules.h"
#include "entry/request_id.h"
#include "entry/target_call.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace daisypass;

namespace {

constexpr timestamp now{1'000'000};

pool_config pool()
{
    pool_config config;
    config.name = "booking";
    config.defaultDeadlineMs = 500;
    return config;
}

team_map teams()
{
    return {{"zagreb", {"zagreb", 1, {}, 0, false}}, {"split", {"split", 1, {"profiles"}, 0, false}}};
}

std::variant<submission, request_outcome> read(std::vector<http_header> headers)
{
    http_request request;
    request.method = "POST";
    request.headers = std::move(headers);
    request.body = "body";
    return parseSubmission(std::move(request), pool(), teams(), now);
}

std::string reasonOf(const std::variant<submission, request_outcome> &result)
{
    const request_outcome *refused = std::get_if<request_outcome>(&result);
    return refused == nullptr ? "accepted" : refused->reason;
}

http_result answerOf(int status, std::vector<http_header> headers)
{
    http_result result;
    result.state = send_state::Answered;
    result.response = {status, std::move(headers), ""};
    return result;
}

} // namespace

TEST_CASE("headers of a submission")
{
    SUBCASE("defaults and values")
    {
        const std::variant<submission, request_outcome> plain = read({{"daisypass-team", "zagreb"}, {"Prefer", "wait=5, Respond-Async; x=1"}});
        const submission &defaults = std::get<submission>(plain);
        CHECK(defaults.info.deadline == now + std::chrono::milliseconds(500));
        CHECK_FALSE(defaults.info.repeatable);
        CHECK(defaults.respondAsync);
        const std::variant<submission, request_outcome> full = read(
            {{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "20"}, {"Daisypass-Repeatable", "true"}, {"Daisypass-Memory-Mib", "64"}, {"X-Own", "1"}});
        const submission &values = std::get<submission>(full);
        CHECK(values.info.deadline == now + std::chrono::milliseconds(20));
        CHECK(values.info.repeatable);
        CHECK(values.info.needs.memoryMib == 64);
        CHECK(values.headers.size() == 1);
    }

    // Guards against an invalid value that is replaced by the default, which would run a request that the caller did not intend.
    SUBCASE("invalid values are refused with a typed reason")
    {
        const std::vector<std::pair<std::vector<http_header>, std::string>> wrong{
            {{}, "bad_request"},
            {{{"Daisypass-Team", ""}}, "bad_request"},
            {{{"Daisypass-Team", "rijeka"}}, "unknown_team"},
            {{{"Daisypass-Team", "split"}}, "team_not_permitted"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Team", "split"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "0"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "-1"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "86400001"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "12x"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Deadline-Ms", "99999999999999999999"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Daisypass-Repeatable", "yes"}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"Idempotency-Key", std::string(129, 'k')}}, "bad_request"},
            {{{"Daisypass-Team", "zagreb"}, {"X-Own", "a\rb"}}, "bad_request"},
        };
        for (const std::pair<std::vector<http_header>, std::string> &row : wrong) {
            CAPTURE(row.first.empty() ? std::string() : row.first.back().name + "=" + row.first.back().value);
            CHECK(reasonOf(read(row.first)) == row.second);
        }
    }

    // Guards against callers that send the target headers that only the entry may set, and against header bytes that corrupt the HTTP call.
    SUBCASE("arbitrary headers give a submission with values in range or a refusal")
    {
        const bool propertyHolds = rc::check([](const std::vector<std::pair<int, std::string>> &fuzz) {
            const std::vector<std::string> names{
                "Daisypass-Deadline-Ms", "Daisypass-Repeatable", "Daisypass-Request-Id", "Idempotency-Key", "Prefer", "Daisypass-Processors", "Host", "X-Own"};
            std::vector<http_header> headers{{"Daisypass-Team", "zagreb"}};
            for (const std::pair<int, std::string> &row : fuzz) {
                headers.push_back({names[static_cast<std::size_t>(static_cast<unsigned>(row.first) % names.size())], row.second});
            }
            const std::variant<submission, request_outcome> result = read(headers);
            if (const submission *accepted = std::get_if<submission>(&result)) {
                RC_ASSERT(accepted->info.deadline > now);
                RC_ASSERT(accepted->info.needs.processors >= 0);
                for (const http_header &header : accepted->headers) {
                    RC_ASSERT(mayPassToTarget(header.name));
                    RC_ASSERT(header.value.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos);
                }
            } else {
                RC_ASSERT(std::get<request_outcome>(result).fate == request_fate::NotRun);
                const std::string body = toResponse(std::get<request_outcome>(result), "").body;
                RC_ASSERT(nlohmann::json::parse(body).at("outcome") == "not_run");
            }
        });
        CHECK(propertyHolds);
    }
}

TEST_CASE("text form of request ids and tickets")
{
    SUBCASE("each request id has exactly one spelling")
    {
        const request_id id{0xc0ffee, 17};
        CHECK(formatRequestId(id) == "0000000000c0ffee-17");
        CHECK(parseRequestId("0000000000c0ffee-17") == id);
        for (const std::string_view wrong : {"",
                                             "0000000000c0ffee",
                                             "0000000000c0ffee-",
                                             "0000000000c0ffee-017",
                                             "0000000000C0FFEE-17",
                                             "c0ffee-17",
                                             "0000000000c0ffee-17x",
                                             "0000000000c0ffee-+1"}) {
            CAPTURE(wrong);
            CHECK_FALSE(parseRequestId(wrong));
        }
    }

    // Guards against a ticket that starts a second run after the record of its first run was removed.
    SUBCASE("a ticket is valid for ten minutes if its number was issued")
    {
        const ticket issued{7, ticketNumberBase + 3, 1'000};
        CHECK(parseTicket(formatTicket(issued)) == issued);
        CHECK(checkTicket(issued, 1'000, 3) == ticket_validity::Valid);
        CHECK(checkTicket(issued, 601'000, 3) == ticket_validity::Valid);
        CHECK(checkTicket(issued, 601'001, 3) == ticket_validity::Expired);
        CHECK(checkTicket(issued, 999, 3) == ticket_validity::Forged);
        CHECK(checkTicket(issued, 1'000, 2) == ticket_validity::Forged);
        CHECK(checkTicket({7, 3, 1'000}, 1'000, 3) == ticket_validity::Forged);
        for (const std::string_view wrong : {"", "t", "key-1", "t0000000000000007-3", "t0000000000000007-3-", "t0000000000000007-3-01"}) {
            CHECK_FALSE(parseTicket(wrong));
        }
    }
}

// Guards against reporting not_run for a request that may have run, and against returning the response of another request.
TEST_CASE("the result of a call on a target becomes an outcome")
{
    http_result none;
    CHECK(classifyAttempt(none, "a-1") == attempt_outcome::NotSent);
    http_result sent;
    sent.state = send_state::Sent;
    CHECK(classifyAttempt(sent, "a-1") == attempt_outcome::Unknown);
    const http_header echo{"daisypass-request-id", "a-1"};
    const std::vector<std::pair<http_result, attempt_outcome>> answers{
        {answerOf(200, {echo}), attempt_outcome::Completed},
        {answerOf(404, {echo}), attempt_outcome::Completed},
        {answerOf(500, {echo}), attempt_outcome::Failed},
        {answerOf(503, {echo, {"Daisypass-Not-Run", "full"}}), attempt_outcome::Refused},
        {answerOf(503, {echo, {"Daisypass-Not-Run", ""}}), attempt_outcome::Refused},
        {answerOf(503, {{"Daisypass-Not-Run", "full"}}), attempt_outcome::Unknown},
        {answerOf(200, {}), attempt_outcome::Unknown},
        {answerOf(200, {{"Daisypass-Request-Id", "a-2"}}), attempt_outcome::Unknown},
    };
    for (const std::pair<http_result, attempt_outcome> &row : answers) {
        CAPTURE(row.first.response.status);
        CHECK(classifyAttempt(row.first, "a-1") == row.second);
    }
}

TEST_CASE("outcomes become HTTP responses")
{
    SUBCASE("a completed response keeps the target's headers except hop-by-hop and Daisypass headers")
    {
        request_outcome outcome;
        outcome.fate = request_fate::Completed;
        outcome.response = {201, {{"Content-Type", "text/plain"}, {"Daisypass-Outcome", "failed"}, {"Keep-Alive", "1"}}, "x"};
        const http_response response = toResponse(outcome, "a-1");
        CHECK(response.status == 201);
        CHECK(findHeader(response.headers, "Daisypass-Outcome") == "completed");
        CHECK(findHeader(response.headers, "Daisypass-Request-Id") == "a-1");
        CHECK(findHeader(response.headers, "Keep-Alive").empty());
    }

    SUBCASE("a refusal is a problem document with Retry-After rounded up to whole seconds")
    {
        const http_response response = toResponse(notRun(refusal_reason::Overloaded, "", duration(1'000'001)), "a-1");
        CHECK(response.status == 503);
        CHECK(findHeader(response.headers, "Retry-After") == "2");
        CHECK(findHeader(response.headers, "Content-Type") == "application/problem+json");
        const nlohmann::json body = nlohmann::json::parse(response.body);
        CHECK(body.at("outcome") == "not_run");
        CHECK(body.at("reason") == "overloaded");
        CHECK(body.at("request_id") == "a-1");
    }
}
