#include "base/failure.h"

namespace daisypass {

std::string_view codeName(failure_code code)
{
    switch (code) {
    case failure_code::None:
        return "none";
    case failure_code::FileUnreadable:
        return "file_unreadable";
    case failure_code::SyntaxError:
        return "syntax_error";
    case failure_code::UnknownKey:
        return "unknown_key";
    case failure_code::MissingKey:
        return "missing_key";
    case failure_code::WrongType:
        return "wrong_type";
    case failure_code::OutOfRange:
        return "out_of_range";
    case failure_code::Duplicate:
        return "duplicate";
    case failure_code::DanglingReference:
        return "dangling_reference";
    case failure_code::UnknownPolicy:
        return "unknown_policy";
    case failure_code::BudgetUnreachable:
        return "budget_unreachable";
    case failure_code::WaveCannotFinish:
        return "wave_cannot_finish";
    case failure_code::BadAddress:
        return "bad_address";
    case failure_code::StoreUnavailable:
        return "store_unavailable";
    case failure_code::StoreOverloaded:
        return "store_overloaded";
    case failure_code::StoreConflict:
        return "store_conflict";
    case failure_code::StoreOutcomeUnknown:
        return "store_outcome_unknown";
    case failure_code::NotFound:
        return "not_found";
    case failure_code::ConnectFailed:
        return "connect_failed";
    case failure_code::Timeout:
        return "timeout";
    case failure_code::BadAnswer:
        return "bad_answer";
    case failure_code::PeerUnreachable:
        return "peer_unreachable";
    case failure_code::WrongIncarnation:
        return "wrong_incarnation";
    case failure_code::ListenFailed:
        return "listen_failed";
    case failure_code::RevisionConflict:
        return "revision_conflict";
    case failure_code::RevisionGap:
        return "revision_gap";
    case failure_code::UnknownVm:
        return "unknown_vm";
    case failure_code::UnknownPool:
        return "unknown_pool";
    case failure_code::UnknownEntry:
        return "unknown_entry";
    case failure_code::WrongState:
        return "wrong_state";
    case failure_code::WrongEpoch:
        return "wrong_epoch";
    case failure_code::BudgetBreach:
        return "budget_breach";
    case failure_code::Unconfirmed:
        return "unconfirmed";
    case failure_code::NotPermitted:
        return "not_permitted";
    }
    return "none";
}

std::string describe(const failure &reason)
{
    std::string line;
    if (!reason.where.file.empty()) {
        line += reason.where.file;
        if (reason.where.line > 0) {
            line += ':' + std::to_string(reason.where.line) + ':' + std::to_string(reason.where.column);
        }
        line += ": ";
    }
    line += codeName(reason.code);
    if (!reason.argument.empty()) {
        line += " '" + reason.argument + "'";
    }
    if (!reason.expected.empty()) {
        line += ": expected " + reason.expected;
    }
    return line;
}

} // namespace daisypass
