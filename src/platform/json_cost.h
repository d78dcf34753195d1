#pragma once

// Checks, before a JSON text of a caller is parsed, that the parsed document isn't many times larger than the text.

#include <cstddef>
#include <string_view>

namespace daisypass::wire {

/** Most fields, objects and lists of a caller's text together, and its deepest nesting. */
inline constexpr std::size_t maxJsonParts = 32'768;
inline constexpr std::size_t maxJsonDepth = 16;

/** Whether parsing the text costs at most a bounded multiple of its length. Texts that aren't JSON may be either. */
bool isCheapToParse(std::string_view text);

} // namespace daisypass::wire
