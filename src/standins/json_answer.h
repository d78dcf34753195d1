#pragma once

// Answers of the platform's stand-ins.

#include "http/http_answers.h"
#include "platform/wire_json.h"

namespace daisypass {

inline http_response jsonAnswer(int status, const wire::json &body)
{
    return jsonTextResponse(status, wire::dump(body));
}

} // namespace daisypass
