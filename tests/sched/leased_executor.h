#pragma once

// A modelled executor that keeps leases, fences and lists of ends as the platform's executors do, on virtual time.
//
//     leased_executor executor(entry, now, 1.0, ledger);
//     order_status status = executor.start(order, term, runMs, demand, now);
//     if (executor.hold(order, term, now)) { executor_list list = executor.list(now); ... }

#include "run_ledger.h"
#include "sched/events.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisypass::sched {

struct executor_list
{
    std::int64_t clockMs = 0;
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
};

class leased_executor
{
public:
    /** `clockRate` is the speed of the executor's clock; the ledger outlives it. */
    leased_executor(executor_entry entry, time_ms bornAt, double clockRate, run_ledger &ledger);

    order_status start(const start_run &order, std::int64_t term, time_ms runMs, const resources &demand, time_ms now);
    order_status stop(const stop_run &order, std::int64_t term, time_ms now);
    /** Extends the lease and forgets acknowledged ends; false if a higher term has been used. */
    bool hold(const poll_executor &order, std::int64_t term, time_ms now);
    executor_list list(time_ms now) const;
    /** Ends the runs whose work is done or whose lease is over. */
    void advance(time_ms now);
    /** Everything ends at once, and nothing is listed any more. */
    void end(time_ms now);

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
    /** A start brought it over its capacity. */
    bool wasOverfull() const
    {
        return m_overfull;
    }

private:
    struct held_run
    {
        task_id task;
        int run = 0;
        time_ms startedAt = 0;
        time_ms doneAt = 0;
        resources demand;
    };

    std::int64_t clockAt(time_ms now) const;
    bool fences(std::int64_t term);
    void finish(const std::string &task, run_end how, time_ms now);

    executor_entry m_entry;
    time_ms m_bornAt;
    double m_clockRate;
    run_ledger &m_ledger;
    bool m_alive = true;
    bool m_overfull = false;
    std::int64_t m_term = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, held_run> m_runs;
    std::map<std::string, int> m_highestRun;
    std::vector<listed_end> m_ends;
    std::int64_t m_lastEnd = 0;
};

} // namespace daisypass::sched
