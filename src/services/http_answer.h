#pragma once

// Helpers of the HTTP clients of the platform's services: they build calls and turn responses into typed failures.
//
//     const http_result result = client.fetch(platformCall(service, "GET", "/vms"));
//     std::optional<nlohmann::json> body = readJson(result, "vm list", reason);

#include "http/http_client.h"
#include "services/table_service.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

/** A call with the platform's time limits: 500 ms to connect, 2 s in all. */
http_call platformCall(const endpoint &service, std::string_view method, std::string_view path, std::string body = {});

/** Whether the response is a 2xx; `subject` names the call in the reason. Fails with NotFound, StoreUnavailable, StoreOverloaded or BadAnswer. */
bool checkAnswer(const http_result &result, std::string_view subject, failure &reason);

/** The JSON body of a 2xx response. Fails like checkAnswer(). */
std::optional<nlohmann::json> readJson(const http_result &result, std::string_view subject, failure &reason);

/** The member's text; empty if the value is no object, or has no such member of type string. */
std::string stringMember(const nlohmann::json &object, const char *name);

/** Decodes a row; a missing member leaves its field empty. */
table_row rowFromJson(const nlohmann::json &row);

std::string percentEncode(std::string_view text);

} // namespace daisypass
