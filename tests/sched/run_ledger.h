#pragma once

// Judges the runs of a model by what its executors do: no task may run twice.
//
//     run_ledger ledger;
//     ledger.started("j1.0.0.0", 1, "e1", now);
//     ledger.ended("j1.0.0.0", 1, "e1", run_end::Done, now);
//     ledger.acknowledged("e1", {"j1.0.0.0", 1});
//     ledger.doubleStarts();
//
// A start breaks the rule while another run of the task is alive, or after a run that ended as done and whose end was acknowledged
// before the executor's lease lapsed.

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
    /** The executor is gone, or its lease has lapsed: ends that aren't acknowledged don't count any more. */
    void forgetEnds(const std::string &executor);

    /** One line for each start that broke the rule. */
    std::vector<std::string> doubleStarts() const;
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
        bool besideAnother = false;
    };

    struct done_end
    {
        int run = 0;
        std::string executor;
        time_ms at = 0;
        bool acknowledged = false;
        bool forgotten = false;
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
