#pragma once

// Messages between the lease holder and a relay: orders to executors in requests, and the executors' answers in responses.
//
//     std::string body = encode(relay_exchange{session, waitMs, orders});
//     std::optional<std::vector<relayed_answer>> answers = decodeAnswers(response.body);
//
// Bodies are MessagePack. An exchange passes new orders and returns the answers available so far; with a wait time it is a long poll
// that waits for the first answer.

#include "platform/executor_orders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Path of an exchange on a relay's server for other nodes. */
inline constexpr std::string_view relayExchangePath = "/relay/orders";

struct relayed_order
{
    std::int64_t number = 0;
    executor_order order;
};

struct relay_exchange
{
    /** Identifies one term of one holder. A poll returns answers of its own session only. */
    std::string session;
    /** Longest wait for an answer, in ms; with 0 the relay responds at once. */
    std::int64_t waitMs = 0;
    std::vector<relayed_order> orders;
};

struct relayed_answer
{
    std::int64_t number = 0;
    executor_answer answer;
};

std::string encode(const relay_exchange &exchange);
/** Returns nothing if the body is malformed. */
std::optional<relay_exchange> decodeExchange(std::string_view body);
std::string encode(const std::vector<relayed_answer> &answers);
/** Returns nothing if the body is malformed. */
std::optional<std::vector<relayed_answer>> decodeAnswers(std::string_view body);

} // namespace daisypass
