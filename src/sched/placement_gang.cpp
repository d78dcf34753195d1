// Placement of gangs: all tasks of such a step start together or none does.

#include "sched/placement_pass.h"

#include <algorithm>
#include <utility>

namespace daisypass::sched {

// Places all members of the gang or none. Each attempt reserves capacity member by member and releases it afterwards.
void scheduler::placement_pass::placeGang(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates)
{
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    int run = 0;
    for (std::size_t index = 0; index < record.tasks.size(); ++index) {
        const task_record &task = record.tasks[index];
        if (task.phase != task_phase::Waiting || task.notBefore > now || !owner.mayRetry(*ready.job, task)) {
            return;
        }
        run = std::max(run, task.run);
    }
    if (stepSpec.sameRack) {
        std::map<std::string, placement_candidates> racks;
        for (executor_record *executor : candidates.executors()) {
            racks[executor->entry.rack].add(*executor);
        }
        for (std::pair<const std::string, placement_candidates> &rack : racks) {
            rack.second.sort();
            if (placeMembers(ready, stepSpec, rack.second, run + 1)) {
                return;
            }
        }
    }
    placeMembers(ready, stepSpec, candidates, run + 1);
}

bool scheduler::placement_pass::placeMembers(ready_step &ready, const step_spec &stepSpec, placement_candidates &candidates, int run)
{
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    std::vector<executor_record *> chosen;
    std::map<std::string, int> here;
    const resources demand = stepSpec.countedDemand();
    for (std::size_t index = 0; index < record.tasks.size(); ++index) {
        executor_record *candidate = choose(stepSpec, record.tasks[index], candidates, here);
        if (candidate == nullptr) {
            break;
        }
        candidate->used += demand;
        candidates.refresh(*candidate);
        ++here[candidate->entry.id];
        chosen.push_back(candidate);
    }
    for (executor_record *candidate : chosen) {
        candidate->used -= demand;
        candidates.refresh(*candidate);
    }
    if (chosen.size() != record.tasks.size()) {
        return false;
    }
    shareCheckpoint(record.tasks);
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        assign(ready, stepSpec, static_cast<int>(index), run, *chosen[index]);
    }
    return true;
}

// The checkpoint of any member is valid for the gang, and all must start from the same one.
void scheduler::placement_pass::shareCheckpoint(task_table &members)
{
    const std::map<std::size_t, task_record> &records = members.records();
    const auto known = std::find_if(records.begin(), records.end(), [](const std::pair<const std::size_t, task_record> &member) {
        return !member.second.checkpoint.empty();
    });
    if (known == records.end()) {
        return;
    }
    const std::string checkpoint = known->second.checkpoint;
    for (std::size_t index = 0; index < members.size(); ++index) {
        members.record(index).checkpoint = checkpoint;
    }
}

} // namespace daisypass::sched
