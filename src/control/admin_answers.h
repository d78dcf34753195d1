#pragma once

// Decodes requests of the administration API and builds its JSON responses. Pure: no sockets and no threads.
//
//     std::optional<apply_request> request = decodeApply(body, reason);
//     http_response response = request ? answerApply(service.apply(*request, now)) : answerFailure(400, reason);

#include "control/configuration_service.h"
#include "control/control_loop.h"
#include "http/http_server.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

nlohmann::json encodeFailure(const failure &reason);

/** Parses the body of POST /admin/v1/apply. Fails with SyntaxError, MissingKey or WrongType. */
std::optional<apply_request> decodeApply(std::string_view body, failure &reason);
http_response answerApply(const apply_result &result);

http_response answerStatus(const control_loop &loop);
http_response answerHistory(const std::vector<history_item> &items);
http_response answerFiles(const std::vector<configuration_file> &files, revision_number revision);
/** Every configuration key with its unit, range, default and reason. */
http_response answerExplain();
http_response answerFailure(int status, const failure &reason);

} // namespace daisypass
