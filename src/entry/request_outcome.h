#pragma once

// What a caller learns about a request, and its HTTP form.
//
// Completed answers pass the target's status, headers and body on. Everything else is application/problem+json (RFC 9457)
// with `outcome`, `reason` and `request_id`.

#include "base/time.h"
#include "http/http_client.h"
#include "kernel/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class request_fate {
    Pending,
    Running,
    Completed,
    Failed,
    NotRun,
    Unknown,
    Expired,
};

struct request_outcome
{
    request_fate fate = request_fate::Unknown;
    /** For NotRun: the refusal reason's name. For the others: a short code such as "target_failed", or empty. */
    std::string reason;
    /** One sentence for people; may be empty. */
    std::string detail;
    duration retryAfter{};
    /** The target's answer when Completed. */
    http_response answer;

    bool isFinal() const
    {
        return fate != request_fate::Pending && fate != request_fate::Running;
    }
};

/** Lower-case name, for example "not_run". */
std::string_view fateName(request_fate fate);

request_outcome notRun(refusal_reason reason, std::string detail = {}, duration retryAfter = {});

request_outcome expired(std::string detail);

/** The answer to the caller of the request; `requestId` may be empty when none was given out. */
http_response toResponse(request_outcome outcome, std::string_view requestId);

/** 202 for an asynchronous request, with its Location. */
http_response acceptedResponse(std::string_view requestId);

/** A problem that concerns no request: unknown path, wrong method, unknown request id. */
http_response problemResponse(int status, std::string_view reason, std::string_view detail);

} // namespace daisypass
