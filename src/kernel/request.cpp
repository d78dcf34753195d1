#include "kernel/request.h"

namespace daisypass {

std::string_view reasonName(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::Overloaded:
        return "overloaded";
    case refusal_reason::TeamOverLimit:
        return "team_over_limit";
    case refusal_reason::DeadlinePassed:
        return "deadline_passed";
    case refusal_reason::NeverRunnable:
        return "never_runnable";
    case refusal_reason::UnknownPool:
        return "unknown_pool";
    case refusal_reason::UnknownTeam:
        return "unknown_team";
    case refusal_reason::TeamNotPermitted:
        return "team_not_permitted";
    case refusal_reason::BadRequest:
        return "bad_request";
    case refusal_reason::TicketRequired:
        return "ticket_required";
    case refusal_reason::StoreUnavailable:
        return "store_unavailable";
    case refusal_reason::NoTarget:
        return "no_target";
    case refusal_reason::ShuttingDown:
        return "shutting_down";
    case refusal_reason::Isolated:
        return "isolated";
    case refusal_reason::Cancelled:
        return "cancelled";
    }
    return "bad_request";
}

} // namespace daisypass
