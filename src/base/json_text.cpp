#include "base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisypass {
namespace {

bool needsNoEscape(unsigned char c)
{
    return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
}

} // namespace

void appendJsonString(std::string &out, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), needsNoEscape)) {
        out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

void appendSeparator(std::string &out)
{
    if (out.back() != '[' && out.back() != '{') {
        out += ',';
    }
}

} // namespace daisypass
