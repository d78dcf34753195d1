#pragma once

// Tolerant reading of JSON values from other writers: a missing member or one of another type reads as nothing.
//
//     std::optional<nlohmann::json> body = parseObject(text);
//     std::int64_t version = integerIn(*body, "Version").value_or(0);

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass::wire {

using json = nlohmann::json;

/** Nothing if the text is no JSON object. */
std::optional<json> parseObject(std::string_view text);

/** Null if there is no such member. */
const json *memberOf(const json &object, const char *name);
/** Whole numbers only; fractions of integral value count. */
std::optional<std::int64_t> integerIn(const json &object, const char *name);
std::optional<double> numberIn(const json &object, const char *name);
std::optional<std::string> stringIn(const json &object, const char *name);
bool boolIn(const json &object, const char *name);
/** The member if it is an array, else null. */
const json *arrayIn(const json &object, const char *name);

/** Text with invalid UTF-8 replaced. */
std::string dump(const json &value);

/** Nothing if the text is no base64. */
std::optional<std::string> decodeBase64(std::string_view text);
std::string encodeBase64(std::string_view bytes);
std::string escapeQuery(std::string_view text);

} // namespace daisypass::wire
