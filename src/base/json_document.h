#pragma once

// JSON files with comments, parsed into values that keep their position in the file.
//
//     failure reason;
//     std::optional<json_document> document = json_document::parse(text, "pools.json", reason);
//     const json_value *name = document->root().find("name");
//
// nlohmann::json does the parsing. This module adds lines and columns and rejects duplicate keys.

#include "base/failure.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

struct json_value;

/** One key of an object with its value, in the order of the file. */
struct json_member
{
    std::string key;
    source_position where;
    std::unique_ptr<json_value> value;
};

using json_object = std::vector<json_member>;
using json_array = std::vector<std::unique_ptr<json_value>>;

/** A value and the position where it ends (scalars) or begins (objects and arrays). */
struct json_value
{
    std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, json_array, json_object> data;
    source_position where;

    /** Returns the value of the member with this key, or null if there is none or this value is not an object. */
    const json_value *find(std::string_view key) const;
};

class json_document
{
public:
    /** Parses text. `file` is used only in the positions of failures and values. Fails with SyntaxError or Duplicate. */
    static std::optional<json_document> parse(std::string_view text, std::string_view file, failure &reason);

    /** Reads and parses a file. Fails with FileUnreadable, SyntaxError or Duplicate. */
    static std::optional<json_document> load(const std::string &path, failure &reason);

    const json_value &root() const
    {
        return *m_root;
    }

private:
    std::unique_ptr<json_value> m_root;
};

} // namespace daisypass
