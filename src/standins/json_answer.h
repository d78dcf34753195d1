#pragma once

// Answers of the platform's stand-ins.

#include "http/http_server.h"
#include "platform/wire_json.h"

namespace daisypass {

inline http_response jsonAnswer(int status, const wire::json &body)
{
    http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = wire::dump(body);
    return response;
}

} // namespace daisypass
