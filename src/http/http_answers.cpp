#include "http/http_answers.h"

#include <utility>

namespace daisypass {

http_response emptyResponse(int status)
{
    http_response response;
    response.status = status;
    return response;
}

http_response unauthorizedResponse()
{
    http_response response = emptyResponse(statusUnauthorized);
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
    return response;
}

http_response jsonTextResponse(int status, std::string json)
{
    http_response response = emptyResponse(status);
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = std::move(json);
    return response;
}

} // namespace daisypass
