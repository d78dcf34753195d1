#pragma once

// A simulated executor on virtual time. It keeps leases, fencing tokens and lists of ends as the platform's executors do.
//
//     leased_executor executor(entry, now, 1.0, ledger);
//     order_status status = executor.start(order, term, runMs, demand, now);
//     if (executor.poll(order, term, now)) { executor_list list = executor.list(now); ... }

#include "run_ledger.h"
#include "sched/events.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisypass::sched {

/** The part of a poll's answer that describes the executor: its clock, its active runs and the ends that aren't acknowledged. */
struct executor_list
{
    std::int64_t clockMs = 0;
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
};

class leased_executor
{
public:
    /** `clockRate` is the speed of the executor's clock relative to virtual time; `ledger` must outlive the executor. */
    leased_executor(executor_entry entry, time_ms startedAt, double clockRate, run_ledger &ledger);

    order_status start(const start_run &order, std::int64_t term, time_ms runMs, const resources &demand, time_ms now);
    order_status stop(const stop_run &order, std::int64_t term, time_ms now);
    /** Extends the lease and deletes acknowledged ends; false if the executor has seen a higher term. */
    bool poll(const poll_executor &order, std::int64_t term, time_ms now);
    executor_list list(time_ms now) const;
    /** Ends the runs whose work is done, and all runs if the lease has expired. */
    void advance(time_ms now);
    /** Terminates the executor: its runs are stopped and its list of ends is lost. */
    void terminate(time_ms now);

    const executor_entry &entry() const
    {
        return m_entry;
    }
    bool alive() const
    {
        return m_alive;
    }
    bool hasEnds() const
    {
        return !m_ends.empty();
    }
    /** Whether a start has ever brought the demand of the active runs above the capacity. */
    bool exceededCapacity() const
    {
        return m_exceededCapacity;
    }

private:
    struct active_run
    {
        task_id task;
        int run = 0;
        time_ms startedAt = 0;
        time_ms doneAt = 0;
        resources demand;
    };

    std::int64_t clockAt(time_ms now) const;
    /** True if the executor has seen a higher term; otherwise records this one. */
    bool rejectsTerm(std::int64_t term);
    void finish(const std::string &task, run_end how, time_ms now);

    executor_entry m_entry;
    time_ms m_startedAt;
    double m_clockRate;
    run_ledger &m_ledger;
    bool m_alive = true;
    bool m_exceededCapacity = false;
    std::int64_t m_term = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, active_run> m_runs;
    std::map<std::string, int> m_highestRun;
    std::vector<listed_end> m_ends;
    std::int64_t m_lastEndNumber = 0;
};

} // namespace daisypass::sched
