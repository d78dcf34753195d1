#pragma once

// The outcome of a request and the HTTP response that reports it to the caller.
//
//     respond(toResponse(notRun(refusal_reason::Overloaded, "the queue is full"), requestId));
//
// The response of a completed request has the target's status, headers and body. All other final outcomes are application/problem+json (RFC 9457)
// with `outcome`, `reason` and `request_id`.

#include "base/time.h"
#include "http/http_client.h"
#include "kernel/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** State of a request; all but Pending and Running are final. The names are part of the peer protocol and of stored outcomes. */
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
    /** One human-readable sentence; may be empty. */
    std::string detail;
    duration retryAfter{};
    /** The target's response if the fate is Completed. */
    http_response response;

    bool isFinal() const
    {
        return fate != request_fate::Pending && fate != request_fate::Running;
    }
};

/** Lower-case name, for example "not_run". */
std::string_view fateName(request_fate fate);

request_outcome notRun(refusal_reason reason, std::string detail = {}, duration retryAfter = {});

request_outcome expired(std::string detail);

/** The response to the caller; `requestId` is empty if the request was refused before it got an id. */
http_response toResponse(request_outcome outcome, std::string_view requestId);

/** Status 202 for an asynchronous request; Location is the URL to query its outcome. */
http_response acceptedResponse(std::string_view requestId);

/** A problem that is not the outcome of a request: unknown path, wrong method, unknown request id. */
http_response problemResponse(int status, std::string_view reason, std::string_view detail);

} // namespace daisypass
