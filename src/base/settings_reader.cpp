#include "base/settings_reader.h"

#include <arpa/inet.h>

#include <charconv>

namespace daisypass {
namespace {

std::string rangeText(integer_range range)
{
    return "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

std::string decimal(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string rangeText(number_range range)
{
    return "a number from " + decimal(range.min) + " to " + decimal(range.max);
}

bool isIpAddress(const std::string &text)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

} // namespace

std::optional<endpoint> parseEndpoint(std::string_view text, failure &reason)
{
    endpoint place;
    const std::size_t colon = text.rfind(':');
    bool valid = colon != std::string_view::npos && colon + 1 < text.size();
    if (valid) {
        std::string_view host = text.substr(0, colon);
        if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
            host = host.substr(1, host.size() - 2);
        }
        place.address = std::string(host);
        const std::string_view port = text.substr(colon + 1);
        const std::from_chars_result parsed = std::from_chars(port.data(), port.data() + port.size(), place.port);
        valid = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size() && isIpAddress(place.address);
    }
    if (!valid) {
        reason = failure{failure_code::BadAddress, std::string(text), {}, "IP number and port, such as 127.0.0.1:8080"};
        return std::nullopt;
    }
    return place;
}

std::string toString(const endpoint &place)
{
    const bool v6 = place.address.find(':') != std::string::npos;
    return (v6 ? '[' + place.address + ']' : place.address) + ':' + std::to_string(place.port);
}

settings_reader::settings_reader(const json_value &object, std::vector<failure> &failures)
    : m_object(object)
    , m_failures(failures)
{
    if (!std::holds_alternative<json_object>(object.data)) {
        m_failures.push_back({failure_code::WrongType, "", object.where, "an object"});
    }
}

bool settings_reader::has(std::string_view key) const
{
    return m_object.find(key) != nullptr;
}

source_position settings_reader::position(std::string_view key) const
{
    const json_value *value = m_object.find(key);
    return value != nullptr ? value->where : m_object.where;
}

void settings_reader::report(failure_code code, std::string_view key, std::string_view argument, std::string_view expected)
{
    m_failures.push_back({code, std::string(argument), position(key), std::string(expected)});
}

const json_value *settings_reader::lookUp(std::string_view key, bool required, std::string_view expected)
{
    m_knownKeys.emplace(key);
    const json_value *value = m_object.find(key);
    if (value == nullptr && required) {
        m_failures.push_back({failure_code::MissingKey, std::string(key), m_object.where, std::string(expected)});
    }
    return value;
}

std::int64_t settings_reader::integer(std::string_view key, integer_range range, std::optional<std::int64_t> fallback)
{
    const json_value *value = lookUp(key, !fallback, rangeText(range));
    if (value == nullptr) {
        return fallback.value_or(range.min);
    }
    const std::int64_t *number = std::get_if<std::int64_t>(&value->data);
    if (number == nullptr) {
        report(failure_code::WrongType, key, key, rangeText(range));
        return fallback.value_or(range.min);
    }
    if (*number < range.min || *number > range.max) {
        report(failure_code::OutOfRange, key, key, rangeText(range));
        return fallback.value_or(range.min);
    }
    return *number;
}

double settings_reader::number(std::string_view key, number_range range, std::optional<double> fallback)
{
    const json_value *value = lookUp(key, !fallback, rangeText(range));
    if (value == nullptr) {
        return fallback.value_or(range.min);
    }
    double number = 0;
    if (const std::int64_t *integerValue = std::get_if<std::int64_t>(&value->data)) {
        number = static_cast<double>(*integerValue);
    } else if (const double *realValue = std::get_if<double>(&value->data)) {
        number = *realValue;
    } else {
        report(failure_code::WrongType, key, key, rangeText(range));
        return fallback.value_or(range.min);
    }
    if (!(number >= range.min && number <= range.max)) {
        report(failure_code::OutOfRange, key, key, rangeText(range));
        return fallback.value_or(range.min);
    }
    return number;
}

bool settings_reader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const json_value *value = lookUp(key, !fallback, "true or false");
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (const bool *flag = std::get_if<bool>(&value->data)) {
        return *flag;
    }
    report(failure_code::WrongType, key, key, "true or false");
    return fallback.value_or(false);
}

std::string settings_reader::text(std::string_view key, const std::optional<std::string> &fallback)
{
    const json_value *value = lookUp(key, !fallback, "a non-empty string");
    if (value == nullptr) {
        return fallback.value_or("");
    }
    const std::string *found = std::get_if<std::string>(&value->data);
    if (found == nullptr || found->empty()) {
        report(failure_code::WrongType, key, key, "a non-empty string");
        return fallback.value_or("");
    }
    return *found;
}

std::string settings_reader::word(std::string_view key, std::span<const std::string_view> words, const std::optional<std::string> &fallback)
{
    std::string expected = "one of";
    for (std::string_view candidate : words) {
        expected += ' ' + std::string(candidate);
    }
    const json_value *value = lookUp(key, !fallback, expected);
    if (value == nullptr) {
        return fallback.value_or("");
    }
    const std::string *found = std::get_if<std::string>(&value->data);
    for (std::string_view candidate : words) {
        if (found != nullptr && *found == candidate) {
            return *found;
        }
    }
    report(found == nullptr ? failure_code::WrongType : failure_code::OutOfRange, key, found == nullptr ? key : std::string_view(*found), expected);
    return fallback.value_or("");
}

endpoint settings_reader::address(std::string_view key, const std::optional<endpoint> &fallback)
{
    const std::string_view expected = "IP number and port, such as 127.0.0.1:8080";
    const json_value *value = lookUp(key, !fallback, expected);
    if (value == nullptr) {
        return fallback.value_or(endpoint{});
    }
    const std::string *found = std::get_if<std::string>(&value->data);
    failure reason;
    std::optional<endpoint> place = found != nullptr ? parseEndpoint(*found, reason) : std::nullopt;
    if (!place) {
        report(failure_code::BadAddress, key, key, expected);
        return fallback.value_or(endpoint{});
    }
    return *place;
}

std::vector<std::string> settings_reader::texts(std::string_view key, bool required)
{
    std::vector<std::string> found;
    const json_value *value = lookUp(key, required, "an array of strings");
    if (value == nullptr) {
        return found;
    }
    const json_array *array = std::get_if<json_array>(&value->data);
    if (array == nullptr) {
        report(failure_code::WrongType, key, key, "an array of strings");
        return found;
    }
    for (const std::unique_ptr<json_value> &element : *array) {
        if (const std::string *item = std::get_if<std::string>(&element->data)) {
            found.push_back(*item);
        } else {
            m_failures.push_back({failure_code::WrongType, std::string(key), element->where, "a string"});
        }
    }
    return found;
}

void settings_reader::object(std::string_view key, bool required, const std::function<void(settings_reader &)> &visit)
{
    const json_value *value = lookUp(key, required, "an object");
    if (value == nullptr) {
        return;
    }
    settings_reader reader(*value, m_failures);
    if (std::holds_alternative<json_object>(value->data)) {
        visit(reader);
        reader.finish();
    }
}

void settings_reader::objects(std::string_view key, bool required, const std::function<void(settings_reader &)> &visit)
{
    const json_value *value = lookUp(key, required, "an array of objects");
    if (value == nullptr) {
        return;
    }
    const json_array *array = std::get_if<json_array>(&value->data);
    if (array == nullptr) {
        report(failure_code::WrongType, key, key, "an array of objects");
        return;
    }
    for (const std::unique_ptr<json_value> &element : *array) {
        settings_reader reader(*element, m_failures);
        if (std::holds_alternative<json_object>(element->data)) {
            visit(reader);
            reader.finish();
        }
    }
}

void settings_reader::finish()
{
    const json_object *object = std::get_if<json_object>(&m_object.data);
    if (object == nullptr) {
        return;
    }
    for (const json_member &member : *object) {
        if (m_knownKeys.contains(member.key)) {
            continue;
        }
        std::string expected = "one of";
        for (const std::string &known : m_knownKeys) {
            expected += ' ' + known;
        }
        m_failures.push_back({failure_code::UnknownKey, member.key, member.where, expected});
    }
}

} // namespace daisypass
