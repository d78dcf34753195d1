#pragma once

// Names of requests and tickets. Both name the incarnation of the entry that issued them, so that any entry can ask it.
//
//     formatRequestId({incarnation, 17})      "00c0ffee00c0ffee-17"
//     formatTicket({incarnation, 17, 2'500})  "t00c0ffee00c0ffee-17-2500"

#include "kernel/fleet_change.h"
#include "kernel/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

struct request_id
{
    incarnation_number incarnation = 0;
    request_number number = 0;

    bool operator==(const request_id &) const = default;
};

std::string formatRequestId(const request_id &id);
std::optional<request_id> parseRequestId(std::string_view text);

/** Numbers of requests that run on a ticket start above this, so a forged ticket cannot name another request. */
constexpr request_number ticketNumberBase = request_number{1} << 62;

/** The right to start one run on the issuing incarnation, whose request then has the ticket's number; see checkTicket(). */
struct ticket
{
    incarnation_number incarnation = 0;
    request_number number = 0;
    /** Milliseconds after the start of the issuing process. */
    std::int64_t issuedMs = 0;

    bool operator==(const ticket &) const = default;
};

std::string formatTicket(const ticket &issued);
std::optional<ticket> parseTicket(std::string_view text);

enum class ticket_validity {
    Valid,
    Expired,
    /** Issued in the future or with a number not yet given out, hence not issued by this entry. */
    Forged,
};

/** Whether the ticket may start a run now; `nowMs` counts from the start of the process and `issuedCount` is the number of tickets given out. */
ticket_validity checkTicket(const ticket &presented, std::int64_t nowMs, std::uint64_t issuedCount);

std::string formatIncarnation(incarnation_number incarnation);
std::optional<incarnation_number> parseIncarnation(std::string_view text);

} // namespace daisypass
