#include "platform/wire_json.h"

#include "base/saturating_cast.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace daisypass::wire {
namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::array<int, 256> makeDecodeTable()
{
    std::array<int, 256> table{};
    table.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i) {
        table[static_cast<unsigned char>(alphabet[i])] = static_cast<int>(i);
    }
    return table;
}

// Integers above the greatest one with a sign are held without a sign, and would become negative.
std::int64_t toInt64(const json &value)
{
    constexpr std::uint64_t greatest = std::numeric_limits<std::int64_t>::max();
    if (value.is_number_unsigned()) {
        return static_cast<std::int64_t>(std::min(value.get<std::uint64_t>(), greatest));
    }
    return value.get<std::int64_t>();
}

int clampToInt(std::int64_t value)
{
    return static_cast<int>(std::clamp<std::int64_t>(value, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
}

} // namespace

std::optional<json> parseObject(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    return value;
}

const json *memberOf(const json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

std::optional<std::int64_t> integerIn(const json &object, const char *name)
{
    const json *member = memberOf(object, name);
    if (member == nullptr) {
        return std::nullopt;
    }
    if (member->is_number_integer()) {
        return toInt64(*member);
    }
    constexpr double maxExactInteger = 9e15;
    if (member->is_number_float() && std::floor(member->get<double>()) == member->get<double>() && std::abs(member->get<double>()) < maxExactInteger) {
        return saturatingCast<std::int64_t>(member->get<double>());
    }
    return std::nullopt;
}

std::optional<int> intIn(const json &object, const char *name)
{
    const std::optional<std::int64_t> value = integerIn(object, name);
    return value ? std::optional<int>(clampToInt(*value)) : std::nullopt;
}

int toInt(const json &value)
{
    return clampToInt(toInt64(value));
}

std::optional<double> numberIn(const json &object, const char *name)
{
    const json *member = memberOf(object, name);
    if (member == nullptr || !member->is_number()) {
        return std::nullopt;
    }
    return member->get<double>();
}

std::optional<std::string> stringIn(const json &object, const char *name)
{
    const json *member = memberOf(object, name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return member->get<std::string>();
}

bool boolIn(const json &object, const char *name)
{
    const json *member = memberOf(object, name);
    return member != nullptr && member->is_boolean() && member->get<bool>();
}

const json *arrayIn(const json &object, const char *name)
{
    const json *member = memberOf(object, name);
    return member != nullptr && member->is_array() ? member : nullptr;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    static const std::array<int, 256> table = makeDecodeTable();
    while (!text.empty() && text.back() == '=') {
        text.remove_suffix(1);
    }
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t bits = 0;
    int count = 0;
    for (char c : text) {
        const int value = table[static_cast<unsigned char>(c)];
        if (value < 0) {
            return std::nullopt;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xffU);
        }
    }
    return bytes;
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const bool padding = i + k > bytes.size();
            text += padding ? '=' : alphabet[(bits >> (18U - 6U * k)) & 0x3fU];
        }
    }
    return text;
}

std::string escapeQuery(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string escaped;
    for (char c : text) {
        const unsigned char byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
        if (plain) {
            escaped += c;
        } else {
            escaped += '%';
            escaped += hex[byte >> 4U];
            escaped += hex[byte & 0xfU];
        }
    }
    return escaped;
}

} // namespace daisypass::wire
