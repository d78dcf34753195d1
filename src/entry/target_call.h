#pragma once

// One attempt on a target: the call, and what its result means (docs/design.md, 3.5).

#include "base/time.h"
#include "http/http_client.h"
#include "kernel/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** The call's time limit is what remains until the deadline, so an answer after it is never waited for. `url` is the whole URL. */
http_call makeTargetCall(std::string url, std::string_view requestId, const std::vector<http_header> &headers, std::string body, duration remaining);

/** The outcome of an attempt. An answer counts only if it echoes the request id. */
attempt_outcome classifyAttempt(const http_result &result, std::string_view requestId);

} // namespace daisypass
