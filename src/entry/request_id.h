#pragma once

// Text form of request ids and tickets. Both contain the incarnation that issued them, so that any entry can query that incarnation.
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

/** Request numbers above this belong to tickets. The separate range keeps a forged ticket from naming a request that was accepted without one. */
constexpr request_number ticketNumberBase = request_number{1} << 62;

/** Permits one run on the issuing incarnation. The request that uses it has the ticket's number. See checkTicket(). */
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
    /** Not issued by this incarnation: the time lies in the future, or the number has not been issued. */
    Forged,
};

/** Whether the ticket may start a run now. `nowMs` counts from the start of the process; `issuedCount` is the number of tickets issued so far. */
ticket_validity checkTicket(const ticket &presented, std::int64_t nowMs, std::uint64_t issuedCount);

std::string formatIncarnation(incarnation_number incarnation);
std::optional<incarnation_number> parseIncarnation(std::string_view text);

} // namespace daisypass
