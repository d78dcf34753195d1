#include "platform/record_errors.h"

#include "platform/wire_json.h"

#include <utility>

namespace daisypass {

failure wrongFieldType(std::string_view name, std::string expected)
{
    return failure{failure_code::WrongType, std::string(name), {}, std::move(expected)};
}

std::optional<nlohmann::json> parseRecord(std::string_view text, failure &reason)
{
    std::optional<nlohmann::json> body = wire::parseObject(text);
    if (!body) {
        reason = failure{failure_code::SyntaxError, std::string(text.substr(0, 40)), {}, "a JSON object"};
    }
    return body;
}

} // namespace daisypass
