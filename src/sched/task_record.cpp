#include "sched/task_record.h"

#include <algorithm>

namespace daisypass::sched {

std::string_view nameOf(wait_cause cause)
{
    switch (cause) {
    case wait_cause::None:
        break;
    case wait_cause::NotConsidered:
        return "not_considered";
    case wait_cause::NoExecutor:
        return "no_executor";
    case wait_cause::OthersCrash:
        return "others_crash";
    case wait_cause::Judgement:
        return "judgement";
    case wait_cause::NoneToKeep:
        return "none_to_keep";
    case wait_cause::KeptBusy:
        return "kept_busy";
    case wait_cause::AttemptsUnknown:
        return "attempts_unknown";
    case wait_cause::TenantCap:
        return "tenant_cap";
    }
    return "none";
}

run_pace task_record::paceAt(time_ms listedAt) const
{
    run_pace pace;
    pace.percent = resumed ? 0 : percent;
    pace.ranMs = static_cast<double>(progressAt - confirmedAt);
    pace.sinceProgressMs = static_cast<double>(listedAt - progressAt);
    pace.initialPercent = resumed ? 0 : confirmedPercent;
    return pace;
}

bool task_record::countFailure(int failedRun)
{
    if (std::find(failedRuns.begin(), failedRuns.end(), failedRun) != failedRuns.end()) {
        return false;
    }
    failedRuns.push_back(failedRun);
    return true;
}

} // namespace daisypass::sched
