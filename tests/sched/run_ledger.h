#pragma once

// Records what the executors of a simulation do, and reports each start that breaks the rule that no task runs twice.
//
//     run_ledger ledger;
//     ledger.started("j1.0.0.0", 1, "e1", now);
//     ledger.ended("j1.0.0.0", 1, "e1", run_end::Done, now);
//     ledger.acknowledged("e1", "j1.0.0.0", 1);
//     ledger.duplicateStarts();
//
// A start breaks the rule while another run of the task is active, or after a run of the task was done and its end was acknowledged
// before the executor's lease expired.

#include "sched/model.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisypass::sched {

class run_ledger
{
public:
    void started(const std::string &task, int run, const std::string &executor, time_ms now);
    void ended(const std::string &task, int run, const std::string &executor, run_end how, time_ms now);
    void acknowledged(const std::string &executor, const std::string &task, int run);
    /** Excludes the executor's unacknowledged ends from the rule: the executor is terminated, or its lease has expired. */
    void discardUnacknowledgedEnds(const std::string &executor);

    /** Describes each start that broke the rule, one line per start. */
    std::vector<std::string> duplicateStarts() const;
    int starts() const
    {
        return m_starts;
    }

private:
    struct run_start
    {
        int run = 0;
        std::string executor;
        time_ms at = 0;
        bool overlapsAnother = false;
    };

    struct done_end
    {
        int run = 0;
        std::string executor;
        time_ms at = 0;
        bool acknowledged = false;
        bool discarded = false;
    };

    struct task_history
    {
        std::set<std::pair<std::string, int>> alive;
        std::vector<run_start> starts;
        std::vector<done_end> done;
    };

    std::map<std::string, task_history> m_tasks;
    int m_starts = 0;
};

} // namespace daisypass::sched
