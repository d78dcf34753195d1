// Answers to start and stop orders: what each says of the run.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// An executor that refused a start for its health gets no work for this long.
constexpr time_ms unhealthyPauseMs = 2'000;
// A run that was refused waits before it is placed again, and its executor before it gets another.
constexpr time_ms rejectedPauseMs = 300;

} // namespace

void scheduler::on(const start_answered &what, time_ms now)
{
    const auto found = m_jobs.find(what.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    job_record &job = *found->second;
    task_record *task = job.find(what.task);
    const auto place = m_executors.find(what.executor);
    if (place == m_executors.end()) {
        return;
    }
    executor_record &executor = place->second;
    if (what.status != order_status::WrongExecutor) {
        adoptLife(executor, {executor.entry.address, what.bornUnixMs.value_or(0)}, now);
        const bool presentLife = what.bornUnixMs.value_or(executor.entry.bornUnixMs) == executor.entry.bornUnixMs;
        if (what.clockMs && presentLife) {
            executor.clockMs = *what.clockMs;
            executor.clockAt = now;
        }
    }
    const bool current = task != nullptr && task->run == what.run && task->executor == what.executor
        && (task->phase == task_phase::Starting || task->phase == task_phase::Unconfirmed || task->phase == task_phase::Stopping);
    if (what.status == order_status::Fenced) {
        m_actions.push_back(step_down{"start on " + what.executor});
        return;
    }
    if (!current) {
        return;
    }
    if (what.status == order_status::Ok) {
        task->confirmedAt = now;
        task->progressAt = now;
        task->percent = 0;
        task->confirmedPercent = 0;
        task->reporterStartedUnixMs = what.bornUnixMs.value_or(0);
        if (task->phase != task_phase::Stopping) {
            task->phase = task_phase::Running;
        }
        if (job.ended()) {
            requestStop(what.task, *task, now, nameOf(job.phase));
        }
        return;
    }
    if (what.status == order_status::Unknown) {
        note("start_unanswered", {{"task", what.task.text()}, {"run", std::to_string(what.run)}, {"executor", what.executor}});
        if (task->phase == task_phase::Starting) {
            task->phase = task_phase::Unconfirmed;
        }
        task->confirmedAt = now;
        executor.unansweredStarts.push_back({what.task, what.run, now});
        askSoon(executor);
        executor.avoidUntil = std::max(executor.avoidUntil, now + rejectedPauseMs);
        return;
    }
    ++m_counts.refusedStarts;
    note("start_refused",
         {{"task", what.task.text()}, {"run", std::to_string(what.run)}, {"executor", what.executor}, {"reason", std::string(nameOf(what.status))}});
    switch (what.status) {
    case order_status::Unhealthy:
        executor.avoidUntil = now + unhealthyPauseMs;
        break;
    case order_status::Unreachable:
        markSilent(executor, now, "start_unreachable");
        break;
    case order_status::BadTicket:
        job.occurrences.at(what.task.occurrence).steps[static_cast<std::size_t>(what.task.step)].tickets.erase(what.executor);
        break;
    case order_status::NoRoom:
        executor.avoidUntil = now + rejectedPauseMs;
        executor.lookSoon = true;
        break;
    case order_status::WrongExecutor:
        loseRun(job, what.task, *task, now, nameOf(what.status));
        onWrongExecutor(executor, what.sentTo, now);
        return;
    default:
        task->notBefore = now + rejectedPauseMs;
        break;
    }
    loseRun(job, what.task, *task, now, nameOf(what.status));
}

void scheduler::on(const stop_answered &what, time_ms now)
{
    const auto place = m_executors.find(what.executor);
    if (place != m_executors.end() && what.status == order_status::WrongExecutor) {
        onWrongExecutor(place->second, what.sentTo, now);
        return;
    }
    if (what.status == order_status::Fenced) {
        m_actions.push_back(step_down{"stop on " + what.executor});
        return;
    }
    const auto found = m_jobs.find(what.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    task_record *task = found->second->find(what.task);
    if (task == nullptr || task->phase != task_phase::Stopping || task->run != what.run || task->executor != what.executor) {
        return;
    }
    // A life knows nothing of the stops that a former one acknowledged. An answer that names no life may be of the one that it was sent to.
    const std::int64_t answeredBy = what.bornUnixMs.value_or(what.sentTo.bornUnixMs);
    const bool formerLife = place != m_executors.end() && answeredBy != 0 && answeredBy < place->second.entry.bornUnixMs;
    if (!formerLife && (what.status == order_status::Ok || what.status == order_status::StaleRun)) {
        task->stopAckedAt = now;
        if (place != m_executors.end()) {
            askSoon(place->second);
        }
    }
}

} // namespace daisypass::sched
