#pragma once

// Reads typed, range-checked settings from a JSON object and collects all failures instead of stopping at the first.
//
//     std::vector<failure> failures;
//     settings_reader reader(document.root(), failures);
//     int threads = reader.integer("threads", {1, 64}, 4);
//     std::string zone = reader.text("availability_zone");
//     reader.finish();                          // reports unknown keys
//
// A key without a default is required. Units are part of the key's name (`_ms`, `_bytes`, `_mib`).

#include "base/failure.h"
#include "base/json_document.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct integer_range
{
    std::int64_t min;
    std::int64_t max;
};

struct number_range
{
    double min;
    double max;
};

/** An IP address and port, as in "127.0.0.1:8080" or "[::1]:8080". Listening on port 0 lets the operating system choose the port. */
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint &) const = default;
};

/** Parses an endpoint. Fails with BadAddress. Host names are rejected because processes connect by IP address only. */
std::optional<endpoint> parseEndpoint(std::string_view text, failure &reason);
std::string toString(const endpoint &place);

class settings_reader
{
public:
    /** Both references must outlive the reader. A value that is not an object is reported and read as an empty object. */
    settings_reader(const json_value &object, std::vector<failure> &failures);

    bool has(std::string_view key) const;
    source_position position(std::string_view key) const;

    std::int64_t integer(std::string_view key, integer_range range, std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view key, number_range range, std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    std::string text(std::string_view key, const std::optional<std::string> &fallback = std::nullopt);
    /** Reads a string that must be one of `words`. */
    std::string word(std::string_view key, std::span<const std::string_view> words, const std::optional<std::string> &fallback = std::nullopt);
    endpoint address(std::string_view key, const std::optional<endpoint> &fallback = std::nullopt);
    std::vector<std::string> texts(std::string_view key, bool required);

    /** Calls `visit` with a reader for the object under `key`, then reports the unknown keys of the object. */
    void object(std::string_view key, bool required, const std::function<void(settings_reader &)> &visit);
    /** Does the same as `object` for each object of the array under `key`. */
    void objects(std::string_view key, bool required, const std::function<void(settings_reader &)> &visit);

    void report(failure_code code, std::string_view key, std::string_view argument, std::string_view expected);

    /** Reports each key of the object that has not been read. */
    void finish();

private:
    const json_value *lookUp(std::string_view key, bool required, std::string_view expected);

    const json_value &m_object;
    std::vector<failure> &m_failures;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace daisypass
