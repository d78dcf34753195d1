#pragma once

// All keys of the configuration files with unit, range, default and description.
//
//     const configuration_key &key = configurationKey("pool", "min_available");
//
// The parser takes ranges and defaults from this table, `daisypassctl explain` prints it, and a test compares
// docs/configuration.md with it.

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class key_kind {
    Integer,
    Number,
    Boolean,
    Text,
    TextArray,
    Enumeration,
    Address,
    Object,
};

struct configuration_key
{
    std::string_view section;
    std::string_view name;
    key_kind kind = key_kind::Text;
    /** Unit of a number, or empty. */
    std::string_view unit;
    /** Range of numbers; unused for other kinds. */
    double minimum = 0;
    double maximum = 0;
    /** Permitted values of an enumeration or of the strings of an array, separated by blanks. */
    std::string_view words;
    /** Default value as it would be written in a file; empty means that the key is required. */
    std::string_view fallback;
    /** What the key controls, and the reason for its default or limits. */
    std::string_view reason;
};

std::span<const configuration_key> configurationKeys();

/** Returns the key. Aborts if the table has no key of this section and name. */
const configuration_key &configurationKey(std::string_view section, std::string_view name);

/** Describes the permitted values, for example "an integer from 1 to 1024" or "one of none vm rack zone". */
std::string describeRange(const configuration_key &key);

std::vector<std::string_view> splitWords(std::string_view words);

} // namespace daisypass
