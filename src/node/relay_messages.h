#pragma once

// What the lease's holder and a relay exchange: calls to executors one way, their results the other way.
//
// Bodies are MessagePack. An exchange carries new calls and takes along the results that are there; one that polls waits for
// the first result.

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
    /** Names one term of one holder; results of another session are never mixed in. */
    std::string session;
    /** Longest wait for a result; 0 answers at once. */
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
