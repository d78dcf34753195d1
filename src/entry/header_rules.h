#pragma once

// Parses and validates the headers of callers' requests, and decides which headers are passed between callers and targets.
//
//     std::variant<submission, request_outcome> parsed = parseSubmission(request, pool, teams, now);

#include "entry/request_outcome.h"
#include "http/http_client.h"
#include "kernel/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

/** A caller's request with valid headers. */
struct submission
{
    request_info info;
    std::string idempotencyKey;
    bool respondAsync = false;
    /** The caller has submitted the idempotency key before and does not know the outcome. */
    bool resubmission = false;
    /** Headers to be passed to the target. */
    std::vector<http_header> headers;
    std::string body;
};

using team_map = std::map<std::string, team_config, std::less<>>;

/** Parses a POST to the pool. Returns a NotRun outcome with BadRequest, UnknownTeam or TeamNotPermitted if a header is invalid. */
std::variant<submission, request_outcome> parseSubmission(http_request request, const pool_config &pool, const team_map &teams, timestamp now);

/** Checks that the team exists and may use the pool; returns the NotRun outcome to report if not. Used alone for requests for a ticket. */
std::optional<request_outcome> checkTeam(std::string_view team, const pool_config &pool, const team_map &teams);

/** Whether the headers have an idempotency key and `Daisypass-Resubmission: true`. */
bool isResubmission(const std::vector<http_header> &headers);

/** False for hop-by-hop headers (RFC 9110, 7.6.1), for headers that the entry sets itself, and for headers that are instructions to the entry. */
bool mayPassToTarget(std::string_view headerName);
bool mayPassToCaller(std::string_view headerName);

} // namespace daisypass
