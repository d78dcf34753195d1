#include "sched/events.h"

namespace daisypass::sched {

std::string_view nameOf(order_status status)
{
    switch (status) {
    case order_status::Ok:
        return "ok";
    case order_status::Fenced:
        return "fenced";
    case order_status::StaleRun:
        return "stale_run";
    case order_status::TooLate:
        return "too_late";
    case order_status::InsufficientCapacity:
        return "no_room";
    case order_status::InvalidTicket:
        return "bad_ticket";
    case order_status::Unhealthy:
        return "unhealthy";
    case order_status::WrongExecutor:
        return "wrong_executor";
    case order_status::Rejected:
        return "rejected";
    case order_status::Unreachable:
        return "unreachable";
    case order_status::Unknown:
        break;
    }
    return "unknown";
}

std::string_view nameOf(fleet_status status)
{
    switch (status) {
    case fleet_status::Ok:
        return "ok";
    case fleet_status::Fenced:
        return "fenced";
    case fleet_status::Busy:
        return "busy";
    case fleet_status::NotInWave:
        return "not_in_wave";
    case fleet_status::Rejected:
        return "rejected";
    case fleet_status::Refused:
        return "refused";
    case fleet_status::Unknown:
        break;
    }
    return "unknown";
}

std::string_view nameOf(run_end how)
{
    switch (how) {
    case run_end::Done:
        return "done";
    case run_end::Failed:
        return "failed";
    case run_end::Stopped:
        return "stopped";
    case run_end::LeaseExpired:
        return "lapsed";
    case run_end::GangMemberEnded:
        return "broken";
    case run_end::GangIncomplete:
        break;
    }
    return "alone";
}

} // namespace daisypass::sched
