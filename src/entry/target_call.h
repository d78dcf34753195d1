#pragma once

// One attempt to run a request on a target: makes the HTTP call and classifies its result (docs/design.md, 3.5).
//
//     client.send(makeTargetCall(url, id, headers, body, remaining), [id](http_result result) { ... classifyAttempt(result, id) ... });

#include "base/time.h"
#include "http/http_client.h"
#include "kernel/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** The call that runs the request on the target at `url`. `remaining` is the time until the request's deadline and becomes the call's timeout, so a
 * response after the deadline is never waited for. */
http_call makeTargetCall(std::string url, std::string_view requestId, const std::vector<http_header> &headers, std::string body, duration remaining);

/** The outcome of the attempt. Unknown for a response that does not echo the request id, because it may belong to another request. */
attempt_outcome classifyAttempt(const http_result &result, std::string_view requestId);

} // namespace daisypass
