#pragma once

// Reading of records, with the reason for one that can't be read.

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

/** A member that is missing or has another type or value than `expected`. */
failure wrongFieldType(std::string_view name, std::string expected);

/** Parses a JSON object. Returns nothing, and the reason, if the text isn't one. */
std::optional<nlohmann::json> parseRecord(std::string_view text, failure &reason);

} // namespace daisypass
