#pragma once

// Every key of the configuration files with unit, range, default and reason.
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
    Texts,
    Word,
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
    double least = 0;
    double most = 0;
    /** Permitted words, separated by blanks. */
    std::string_view words;
    /** Default as written in a file; empty means that the key is required. */
    std::string_view fallback;
    /** What the key decides and why the default is as it is. */
    std::string_view reason;
};

std::span<const configuration_key> configurationKeys();

/** The key; the pair must be in the table. */
const configuration_key &configurationKey(std::string_view section, std::string_view name);

/** "an integer from 1 to 1024", "one of none vm rack zone", ... */
std::string describeRange(const configuration_key &key);

std::vector<std::string_view> splitWords(std::string_view words);

} // namespace daisypass
