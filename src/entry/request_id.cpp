#include "entry/request_id.h"

#include <array>
#include <charconv>

namespace daisypass {
namespace {

constexpr std::size_t incarnationDigits = 16;
// The outcome of a run is kept for 15 minutes, so a ticket that is valid for 10 minutes expires before the record of its run is removed.
constexpr std::int64_t ticketLifetimeMs = 600'000;

template<typename T>
std::optional<T> parseNumber(std::string_view text, int base)
{
    T value{};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string formatIncarnation(incarnation_number incarnation)
{
    std::array<char, incarnationDigits> digits{};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), incarnation, 16);
    const std::size_t length = static_cast<std::size_t>(end.ptr - digits.data());
    return std::string(incarnationDigits - length, '0') + std::string(digits.data(), length);
}

std::optional<incarnation_number> parseIncarnation(std::string_view text)
{
    if (text.size() != incarnationDigits) {
        return std::nullopt;
    }
    return parseNumber<incarnation_number>(text, 16);
}

std::string formatRequestId(const request_id &id)
{
    return formatIncarnation(id.incarnation) + '-' + std::to_string(id.number);
}

std::optional<request_id> parseRequestId(std::string_view text)
{
    if (text.size() < incarnationDigits + 2 || text[incarnationDigits] != '-') {
        return std::nullopt;
    }
    const std::optional<incarnation_number> incarnation = parseIncarnation(text.substr(0, incarnationDigits));
    const std::optional<request_number> number = parseNumber<request_number>(text.substr(incarnationDigits + 1), 10);
    if (!incarnation || !number) {
        return std::nullopt;
    }
    const request_id id{*incarnation, *number};
    // Leading zeros and capital letters are rejected, because an id must have exactly one spelling.
    return formatRequestId(id) == text ? std::optional<request_id>(id) : std::nullopt;
}

std::string formatTicket(const ticket &issued)
{
    return 't' + formatRequestId({issued.incarnation, issued.number}) + '-' + std::to_string(issued.issuedMs);
}

std::optional<ticket> parseTicket(std::string_view text)
{
    const std::size_t dash = text.rfind('-');
    if (text.empty() || text.front() != 't' || dash == std::string_view::npos || dash == 0) {
        return std::nullopt;
    }
    const std::optional<request_id> id = parseRequestId(text.substr(1, dash - 1));
    const std::optional<std::int64_t> issued = parseNumber<std::int64_t>(text.substr(dash + 1), 10);
    if (!id || !issued) {
        return std::nullopt;
    }
    const ticket parsed{id->incarnation, id->number, *issued};
    return formatTicket(parsed) == text ? std::optional<ticket>(parsed) : std::nullopt;
}

ticket_validity checkTicket(const ticket &presented, std::int64_t nowMs, std::uint64_t issuedCount)
{
    if (presented.issuedMs < 0 || presented.issuedMs > nowMs || presented.number <= ticketNumberBase || presented.number > ticketNumberBase + issuedCount) {
        return ticket_validity::Forged;
    }
    return nowMs - presented.issuedMs > ticketLifetimeMs ? ticket_validity::Expired : ticket_validity::Valid;
}

} // namespace daisypass
