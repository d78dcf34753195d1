#include "platform/json_cost.h"

namespace daisypass::wire {
namespace {

// Shorter texts aren't counted: whatever they hold, their documents take less memory than a connection.
constexpr std::size_t alwaysCheapBytes = 512;

// Position after the string that begins at `start`, or the text's end.
std::size_t skipString(std::string_view text, std::size_t start)
{
    std::size_t end = start + 1;
    while (end < text.size() && text[end] != '"') {
        end += text[end] == '\\' ? 2 : 1;
    }
    return end + 1;
}

} // namespace

// A parsed field, object or list takes about a hundred bytes, but as few as 1 of the text. The largest job, of 1,000 steps with 18 fields each,
// has about 20,000 of them. Numbers and strings in lists take little more than their text.
bool isCheapToParse(std::string_view text)
{
    if (text.size() <= alwaysCheapBytes) {
        return true;
    }
    std::size_t parts = 0;
    std::size_t depth = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const char c = text[position];
        if (c == '"') {
            position = skipString(text, position);
            continue;
        }
        ++position;
        if (c == '{' || c == '[') {
            ++depth;
            ++parts;
        } else if (c == ':') {
            ++parts;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
        if (depth > maxJsonDepth || parts > maxJsonParts) {
            return false;
        }
    }
    return true;
}

} // namespace daisypass::wire
