#include "sched/crash_suspects.h"

namespace daisypass::sched {

bool hasSurvived(const run_start &start, time_ms heardAt)
{
    return heardAt - start.startedAt >= startSurvivedMs;
}

std::vector<task_id> crashSuspects(std::span<const run_start> starts, time_ms heardAt)
{
    std::vector<task_id> suspects;
    for (const run_start &start : starts) {
        if (!hasSurvived(start, heardAt)) {
            suspects.push_back(start.task);
        }
    }
    return suspects;
}

} // namespace daisypass::sched
