#include "entry/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <span>

namespace daisypass {
namespace {

constexpr integer_range deadlineRangeMs{1, 86'400'000};
constexpr integer_range memoryRangeMib{0, 1 << 30};
constexpr integer_range countRange{0, 1 << 20};
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxKeyLength = 128;

constexpr std::array<std::string_view, 12> hopByHop{"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade",
                                                    "content-length",
                                                    "host",
                                                    "expect"};

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return lower;
}

bool isHopByHop(std::string_view lowerName)
{
    return std::find(hopByHop.begin(), hopByHop.end(), lowerName) != hopByHop.end();
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 0x7f;
    });
}

bool hasControlCharacters(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return (c < ' ' && c != '\t') || c == 0x7f;
    });
}

// Parses the headers that are instructions to the entry and keeps the first error. Such a header must not occur twice, because its value would be ambiguous.
class header_reader
{
public:
    explicit header_reader(std::span<const http_header> headers)
    {
        for (const http_header &header : headers) {
            const std::string name = lowerCase(header.name);
            if (name.starts_with("daisypass-") || name == "idempotency-key") {
                if (!m_values.emplace(name, header.value).second) {
                    setError(header.name, "given at most once");
                }
            }
            if (hasControlCharacters(header.value)) {
                setError(header.name, "free of control characters");
            }
        }
    }

    std::int64_t number(std::string_view name, integer_range range, std::int64_t fallback)
    {
        const std::string *text = find(name);
        if (text == nullptr) {
            return fallback;
        }
        std::int64_t value = 0;
        const std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() || value < range.min || value > range.max) {
            setError(name, "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
            return fallback;
        }
        return value;
    }

    bool boolean(std::string_view name)
    {
        const std::string *text = find(name);
        if (text != nullptr && *text != "true" && *text != "false") {
            setError(name, "true or false");
        }
        return text != nullptr && *text == "true";
    }

    std::string token(std::string_view name, std::size_t maxLength)
    {
        const std::string *text = find(name);
        if (text == nullptr) {
            return {};
        }
        if (text->empty() || text->size() > maxLength || !isVisibleAscii(*text)) {
            setError(name, "1 to " + std::to_string(maxLength) + " visible ASCII characters");
            return {};
        }
        return *text;
    }

    const std::optional<std::string> &error() const
    {
        return m_error;
    }

private:
    const std::string *find(std::string_view name) const
    {
        const auto found = m_values.find(lowerCase(name));
        return found == m_values.end() ? nullptr : &found->second;
    }

    void setError(std::string_view name, std::string_view expected)
    {
        if (!m_error) {
            m_error = std::string(name) + ": expected " + std::string(expected);
        }
    }

    std::map<std::string, std::string> m_values;
    std::optional<std::string> m_error;
};

// Prefer is a list of comma-separated preferences, which may have parameters (RFC 7240).
bool prefersRespondAsync(std::span<const http_header> headers)
{
    for (const http_header &header : headers) {
        if (lowerCase(header.name) != "prefer") {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            std::string item = lowerCase(rest.substr(0, std::min(rest.find(';'), comma)));
            std::erase_if(item, [](char c) {
                return c == ' ' || c == '\t';
            });
            if (item == "respond-async") {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

} // namespace

bool mayPassToTarget(std::string_view headerName)
{
    const std::string name = lowerCase(headerName);
    return !isHopByHop(name) && !name.starts_with("daisypass-") && name != "prefer";
}

bool mayPassToCaller(std::string_view headerName)
{
    const std::string name = lowerCase(headerName);
    return !isHopByHop(name) && !name.starts_with("daisypass-");
}

std::optional<request_outcome> checkTeam(std::string_view team, const pool_config &pool, const team_map &teams)
{
    if (team.empty()) {
        return notRun(refusal_reason::BadRequest, "Daisypass-Team: expected the name of a team");
    }
    const auto found = teams.find(team);
    if (found == teams.end()) {
        return notRun(refusal_reason::UnknownTeam, "no team has this name");
    }
    const std::vector<std::string> &allowed = found->second.pools;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), pool.name) == allowed.end()) {
        return notRun(refusal_reason::TeamNotPermitted, "the team may not use this pool");
    }
    return std::nullopt;
}

bool isResubmission(const std::vector<http_header> &headers)
{
    return !findHeader(headers, "Idempotency-Key").empty() && findHeader(headers, "Daisypass-Resubmission") == "true";
}

std::variant<submission, request_outcome> parseSubmission(http_request request, const pool_config &pool, const team_map &teams, timestamp now)
{
    header_reader reader(request.headers);
    submission read;
    read.info.pool = pool.name;
    read.info.team = reader.token("Daisypass-Team", maxNameLength);
    read.info.requestClass = reader.token("Daisypass-Class", maxNameLength);
    read.info.repeatable = reader.boolean("Daisypass-Repeatable");
    read.info.needs.memoryMib = reader.number("Daisypass-Memory-Mib", memoryRangeMib, 0);
    read.info.needs.processors = reader.number("Daisypass-Processors", countRange, 0);
    read.info.needs.accelerators = reader.number("Daisypass-Accelerators", countRange, 0);
    const std::int64_t deadlineMs = reader.number("Daisypass-Deadline-Ms", deadlineRangeMs, pool.defaultDeadlineMs);
    read.idempotencyKey = reader.token("Idempotency-Key", maxKeyLength);
    read.resubmission = reader.boolean("Daisypass-Resubmission") && !read.idempotencyKey.empty();
    if (reader.error()) {
        return notRun(refusal_reason::BadRequest, *reader.error());
    }
    if (std::optional<request_outcome> refused = checkTeam(read.info.team, pool, teams)) {
        return *std::move(refused);
    }
    read.info.arrived = now;
    read.info.deadline = now + std::chrono::milliseconds(deadlineMs);
    read.respondAsync = prefersRespondAsync(request.headers);
    read.body = std::move(request.body);
    read.headers = std::move(request.headers);
    std::erase_if(read.headers, [](const http_header &header) {
        return !mayPassToTarget(header.name);
    });
    return read;
}

} // namespace daisypass
