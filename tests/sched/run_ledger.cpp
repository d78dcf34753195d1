#include "run_ledger.h"

#include <algorithm>

namespace daisypass::sched {

void run_ledger::started(const std::string &task, int run, const std::string &executor, time_ms now)
{
    ++m_starts;
    task_history &history = m_tasks[task];
    history.starts.push_back({run, executor, now, !history.alive.empty()});
    history.alive.emplace(executor, run);
}

void run_ledger::ended(const std::string &task, int run, const std::string &executor, run_end how, time_ms now)
{
    task_history &history = m_tasks[task];
    history.alive.erase({executor, run});
    if (how == run_end::Done) {
        history.done.push_back({run, executor, now});
    }
}

void run_ledger::acknowledged(const std::string &executor, const std::string &task, int run)
{
    for (done_end &end : m_tasks[task].done) {
        if (end.executor == executor && end.run == run && !end.discarded) {
            end.acknowledged = true;
        }
    }
}

void run_ledger::discardUnacknowledgedEnds(const std::string &executor)
{
    for (std::pair<const std::string, task_history> &task : m_tasks) {
        for (done_end &end : task.second.done) {
            end.discarded = end.discarded || (end.executor == executor && !end.acknowledged);
        }
    }
}

std::vector<std::string> run_ledger::duplicateStarts() const
{
    std::vector<std::string> violations;
    for (const std::pair<const std::string, task_history> &task : m_tasks) {
        for (const run_start &start : task.second.starts) {
            const bool afterDone = std::any_of(task.second.done.begin(), task.second.done.end(), [&](const done_end &end) {
                return end.acknowledged && end.at < start.at;
            });
            if (start.overlapsAnother || afterDone) {
                violations.push_back(task.first + " run " + std::to_string(start.run) + " on " + start.executor + " at " + std::to_string(start.at)
                                     + (afterDone ? " after it was done" : " while another run was active"));
            }
        }
    }
    return violations;
}

} // namespace daisypass::sched
