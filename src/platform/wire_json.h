#pragma once

// Lenient access to JSON written by other programs: a missing member or one of the wrong type reads as nothing.
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

/** Returns nothing if the text isn't a JSON object. */
std::optional<json> parseObject(std::string_view text);

/** Returns null if there is no such member. */
const json *memberOf(const json &object, const char *name);
/** Integers, and floating-point numbers with an integral value such as 2.0. An integer that 64 bits with a sign can't hold reads as the greatest. */
std::optional<std::int64_t> integerIn(const json &object, const char *name);
/** Like integerIn(); a greater or lesser number reads as the limit of the type. */
std::optional<int> intIn(const json &object, const char *name);
std::optional<double> numberIn(const json &object, const char *name);
std::optional<std::string> stringIn(const json &object, const char *name);
bool boolIn(const json &object, const char *name);
/** The integer, or the limit of the type that is nearest to it. `value` must be an integer. */
int toInt(const json &value);
/** Returns the member if it is an array, else null. */
const json *arrayIn(const json &object, const char *name);

/** Serializes the value; invalid UTF-8 is replaced. */
std::string dump(const json &value);

/** Returns nothing if the text isn't base64. */
std::optional<std::string> decodeBase64(std::string_view text);
std::string encodeBase64(std::string_view bytes);
std::string escapeQuery(std::string_view text);

} // namespace daisypass::wire
