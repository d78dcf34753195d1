#pragma once

// JSON of the administration API: requests in, reports out. No sockets and no threads.

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

/** Fails with SyntaxError, MissingKey or WrongType. */
std::optional<apply_request> decodeApply(std::string_view body, failure &reason);
http_response answerApply(const apply_result &result);

http_response answerStatus(const control_loop &loop);
http_response answerHistory(const std::vector<history_item> &items);
http_response answerFiles(const std::vector<configuration_file> &files, revision_number revision);
/** The table of configuration keys. */
http_response answerExplain();
http_response answerFailure(int status, const failure &reason);

} // namespace daisypass
