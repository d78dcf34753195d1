#pragma once

// Appends JSON texts to a string without building a document, for messages that are written thousands of times a second.
//
//     std::string body = "[";
//     for (std::string_view key : keys) {
//         appendSeparator(body);
//         appendJsonString(body, key);
//     }
//     body += ']';

#include <string>
#include <string_view>

namespace daisypass {

/** Appends the text as a JSON string in quotes. Characters are escaped where JSON requires it; invalid UTF-8 is replaced. */
void appendJsonString(std::string &out, std::string_view text);

/** Appends the comma before the next element of a list or an object; nothing right after its opening bracket. */
void appendSeparator(std::string &out);

} // namespace daisypass
