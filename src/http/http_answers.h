#pragma once

// Named HTTP status codes, and helpers that build responses with an empty or a JSON body.

#include "http/http_server.h"

#include <string>

namespace daisypass {

inline constexpr int statusOk = 200;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusForbidden = 403;
inline constexpr int statusNotFound = 404;
inline constexpr int statusMethodNotAllowed = 405;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusTooLarge = 413;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooMany = 429;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

http_response emptyResponse(int status);
/** Refuses a call without a valid key, and names the scheme in which one is sent (RFC 6750, section 3). */
http_response unauthorizedResponse();
/** Returns a response with the serialized JSON text `json` as its body. */
http_response jsonTextResponse(int status, std::string json);

} // namespace daisypass
