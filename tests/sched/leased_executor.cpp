#include "leased_executor.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {

leased_executor::leased_executor(executor_entry entry, time_ms startedAt, double clockRate, run_ledger &ledger)
    : m_entry(std::move(entry))
    , m_startedAt(startedAt)
    , m_clockRate(clockRate)
    , m_ledger(ledger)
{
}

std::int64_t leased_executor::clockAt(time_ms now) const
{
    return std::llround(static_cast<double>(now - m_startedAt) * m_clockRate);
}

bool leased_executor::rejectsTerm(std::int64_t term)
{
    if (term < m_term) {
        return true;
    }
    m_term = term;
    return false;
}

order_status leased_executor::start(const start_run &order, std::int64_t term, time_ms runMs, const resources &demand, time_ms now)
{
    if (rejectsTerm(term)) {
        return order_status::Fenced;
    }
    const std::string name = order.task.text();
    const auto present = m_runs.find(name);
    if (present != m_runs.end() && present->second.run == order.run) {
        return order_status::Ok;
    }
    if (order.leaseEndMs <= clockAt(now)) {
        return order_status::TooLate;
    }
    m_leaseEnd = std::max(m_leaseEnd, order.leaseEndMs);
    const auto highest = m_highestRun.find(name);
    if (highest != m_highestRun.end() && order.run <= highest->second) {
        return order_status::StaleRun;
    }
    resources used = demand;
    for (const std::pair<const std::string, active_run> &run : m_runs) {
        used += run.second.demand;
    }
    m_exceededCapacity = m_exceededCapacity || !used.fitsIn(m_entry.capacity);
    m_runs[name] = {order.task, order.run, now, now + runMs, demand};
    m_ledger.started(name, order.run, m_entry.id, now);
    return order_status::Ok;
}

order_status leased_executor::stop(const stop_run &order, std::int64_t term, time_ms now)
{
    if (rejectsTerm(term)) {
        return order_status::Fenced;
    }
    const std::string name = order.task.text();
    int &highest = m_highestRun[name];
    highest = std::max(highest, order.run);
    const auto run = m_runs.find(name);
    if (run != m_runs.end() && run->second.run <= order.run) {
        finish(name, run_end::Stopped, now);
    }
    return order_status::Ok;
}

bool leased_executor::poll(const poll_executor &order, std::int64_t term, time_ms now)
{
    if (rejectsTerm(term)) {
        return false;
    }
    if (order.leaseEndMs) {
        m_leaseEnd = std::max(m_leaseEnd, *order.leaseEndMs);
    }
    for (const listed_end &end : m_ends) {
        if (end.number <= order.acknowledged) {
            m_ledger.acknowledged(m_entry.id, end.task.text(), end.run);
        }
    }
    std::erase_if(m_ends, [&](const listed_end &end) {
        return end.number <= order.acknowledged;
    });
    return true;
}

executor_list leased_executor::list(time_ms now) const
{
    executor_list list;
    list.clockMs = clockAt(now);
    list.ends = m_ends;
    for (const std::pair<const std::string, active_run> &item : m_runs) {
        const active_run &run = item.second;
        listed_run listed;
        listed.task = run.task;
        listed.run = run.run;
        listed.percent = static_cast<int>(99 * (now - run.startedAt) / std::max<time_ms>(1, run.doneAt - run.startedAt));
        list.runs.push_back(listed);
    }
    return list;
}

void leased_executor::advance(time_ms now)
{
    std::vector<std::string> done;
    for (const std::pair<const std::string, active_run> &run : m_runs) {
        if (run.second.doneAt <= now) {
            done.push_back(run.first);
        }
    }
    for (const std::string &name : done) {
        finish(name, run_end::Done, now);
    }
    if (clockAt(now) < m_leaseEnd) {
        return;
    }
    m_ledger.discardUnacknowledgedEnds(m_entry.id);
    while (!m_runs.empty()) {
        finish(m_runs.begin()->first, run_end::LeaseExpired, now);
    }
}

void leased_executor::terminate(time_ms now)
{
    m_alive = false;
    for (const std::pair<const std::string, active_run> &run : m_runs) {
        m_ledger.ended(run.first, run.second.run, m_entry.id, run_end::Stopped, now);
    }
    m_runs.clear();
    m_ledger.discardUnacknowledgedEnds(m_entry.id);
    m_ends.clear();
}

void leased_executor::finish(const std::string &task, run_end how, time_ms now)
{
    const active_run run = m_runs.at(task);
    m_runs.erase(task);
    int &highest = m_highestRun[task];
    highest = std::max(highest, run.run);
    listed_end end;
    end.number = ++m_lastEndNumber;
    end.task = run.task;
    end.run = run.run;
    end.how = how;
    m_ends.push_back(end);
    m_ledger.ended(task, run.run, m_entry.id, how, now);
}

} // namespace daisypass::sched
