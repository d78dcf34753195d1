#pragma once

// JSON responses of the platform's stand-ins.

#include "http/http_answers.h"
#include "platform/wire_json.h"

namespace daisypass {

inline http_response jsonResponse(int status, const wire::json &body)
{
    return jsonTextResponse(status, wire::dump(body));
}

} // namespace daisypass
