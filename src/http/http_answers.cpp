#include "http/http_answers.h"

#include <utility>

namespace daisypass {

http_response emptyAnswer(int status)
{
    http_response response;
    response.status = status;
    return response;
}

http_response jsonTextAnswer(int status, std::string json)
{
    http_response response = emptyAnswer(status);
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = std::move(json);
    return response;
}

} // namespace daisypass
