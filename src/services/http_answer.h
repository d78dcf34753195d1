#pragma once

// Shared by the HTTP back ends of the platform's services: building calls and turning answers into typed failures.

#include "http/http_client.h"
#include "services/table_service.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

/** A call with the platform's time limits: 500 ms to connect, 2 s in all. */
http_call platformCall(const endpoint &service, std::string_view method, std::string_view path, std::string body = {});

/** Whether the answer is a 2xx. Fails with NotFound, StoreUnavailable, StoreOverloaded or BadAnswer. */
bool checkAnswer(const http_result &result, std::string_view subject, failure &reason);

/** The body of a 2xx answer. Fails like checkAnswer(). */
std::optional<nlohmann::json> readJson(const http_result &result, std::string_view subject, failure &reason);

/** Missing members read as empty. */
table_row rowFromJson(const nlohmann::json &row);

std::string percentEncode(std::string_view text);

} // namespace daisypass
