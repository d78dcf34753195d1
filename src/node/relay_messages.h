#pragma once

// Messages between the lease holder and a relay: calls to executors in requests, and their results in answers.
//
// Bodies are MessagePack. An exchange sends new calls and returns the results available so far; with a wait time it is a long poll
// that waits for the first result.

#include "http/http_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct relayed_call
{
    std::int64_t number = 0;
    http_call call;
};

struct relay_exchange
{
    /** Identifies one term of one holder. A poll returns results of its own session only. */
    std::string session;
    /** Longest wait for a result, in ms; with 0 the relay answers at once. */
    std::int64_t waitMs = 0;
    std::vector<relayed_call> calls;
};

struct relayed_result
{
    std::int64_t number = 0;
    http_result result;
};

std::string encode(const relay_exchange &exchange);
std::optional<relay_exchange> decodeExchange(std::string_view body);
std::string encode(const std::vector<relayed_result> &results);
std::optional<std::vector<relayed_result>> decodeResults(std::string_view body);

} // namespace daisypass
