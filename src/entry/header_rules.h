#pragma once

// Which headers pass between callers and targets, and reading the headers that carry the caller's wishes.
//
//     std::variant<submission, request_outcome> read = parseSubmission(request, view, number, now);

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

/** A caller's request after its headers were checked. */
struct submission
{
    request_info info;
    std::string idempotencyKey;
    bool respondAsync = false;
    /** The caller submitted the idempotency key before and did not learn what became of it. */
    bool resubmission = false;
    /** Headers that go to the target. */
    std::vector<http_header> headers;
    std::string body;
};

using team_map = std::map<std::string, team_config, std::less<>>;

/** Checks the headers of a POST to the pool. Returns a NotRun outcome with BadRequest, UnknownTeam or TeamNotPermitted if one is wrong. */
std::variant<submission, request_outcome> parseSubmission(http_request request, const pool_config &pool, const team_map &teams, timestamp now);

/** The team of a request that carries nothing else, such as one for a ticket. Returns the outcome to report if the team may not use the pool. */
std::optional<request_outcome> checkTeam(std::string_view team, const pool_config &pool, const team_map &teams);

/** Whether the headers name an idempotency key and say `Daisypass-Resubmission: true`. */
bool isResubmission(const std::vector<http_header> &headers);

/** False for hop-by-hop headers (RFC 9110, 7.6.1), for headers that the entry sets itself and for its own instructions. */
bool mayPassToTarget(std::string_view headerName);
bool mayPassToCaller(std::string_view headerName);

} // namespace daisypass
