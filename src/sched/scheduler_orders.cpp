// Handles the answers to start and stop orders.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// Backoff of an executor that refused a start because it is unhealthy or overloaded.
constexpr time_ms unhealthyBackoffMs = 2'000;
// Backoff of a refused task before it is placed again, and of its executor before it gets new work.
constexpr time_ms rejectionBackoffMs = 300;

} // namespace

// An order to a former incarnation that the current one refuses has met a token that this holder gave.
bool scheduler::isFenced(order_status status, const executor_record *executor, const order_target &sentTo)
{
    const bool toFormerIncarnation = executor != nullptr && sentTo.startedUnixMs != 0 && sentTo.startedUnixMs < executor->entry.startedUnixMs;
    return status == order_status::Fenced && !toFormerIncarnation;
}

void scheduler::on(const start_answered &what, time_ms now)
{
    const auto found = m_jobs.find(what.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    job_record &job = *found->second;
    task_record *task = job.find(what.task);
    const auto foundExecutor = m_executors.find(what.executor);
    if (foundExecutor == m_executors.end()) {
        return;
    }
    executor_record &executor = foundExecutor->second;
    if (what.status != order_status::WrongExecutor) {
        adoptIncarnation(executor, {executor.entry.address, what.startedUnixMs.value_or(0)}, now);
        const bool fromCurrentIncarnation = what.startedUnixMs.value_or(executor.entry.startedUnixMs) == executor.entry.startedUnixMs;
        if (what.clockMs && fromCurrentIncarnation) {
            executor.clockMs = *what.clockMs;
            executor.clockAt = now;
        }
    }
    const bool current = task != nullptr && task->run == what.run && task->executor == what.executor
        && (task->phase == task_phase::Starting || task->phase == task_phase::Unconfirmed || task->phase == task_phase::Stopping);
    if (isFenced(what.status, &executor, what.sentTo)) {
        m_actions.push_back(step_down{"start on " + what.executor});
        return;
    }
    if (what.status == order_status::Unknown) {
        // The order may still be carried out, in the executor's next incarnation too, also if the task doesn't need the run any more.
        addUnansweredStart(executor, {what.task, what.run}, now);
    }
    if (!current) {
        return;
    }
    if (what.status == order_status::Ok) {
        job.begun = true;
        task->confirmedAt = now;
        task->progressAt = now;
        task->percent = 0;
        task->confirmedPercent = 0;
        task->reporterStartedUnixMs = what.startedUnixMs.value_or(0);
        if (task->phase != task_phase::Stopping) {
            task->phase = task_phase::Running;
        }
        if (job.ended()) {
            requestStop(what.task, *task, now, nameOf(job.phase));
        }
        return;
    }
    if (what.status == order_status::Unknown) {
        logEvent("start_unanswered", {{"task", what.task.text()}, {"run", std::to_string(what.run)}, {"executor", what.executor}});
        if (task->phase == task_phase::Starting) {
            task->phase = task_phase::Unconfirmed;
        }
        task->confirmedAt = now;
        requestPoll(executor);
        executor.backoffUntil = std::max(executor.backoffUntil, now + rejectionBackoffMs);
        return;
    }
    ++m_counts.refusedStarts;
    logEvent("start_refused",
             {{"task", what.task.text()}, {"run", std::to_string(what.run)}, {"executor", what.executor}, {"reason", std::string(nameOf(what.status))}});
    switch (what.status) {
    case order_status::Unhealthy:
        executor.backoffUntil = now + unhealthyBackoffMs;
        break;
    case order_status::Unreachable:
        markUnresponsive(executor, now, "start_unreachable");
        break;
    case order_status::InvalidTicket:
        job.occurrences.at(what.task.occurrence).steps[static_cast<std::size_t>(what.task.step)].tickets.erase(what.executor);
        break;
    case order_status::InsufficientCapacity:
        executor.backoffUntil = now + rejectionBackoffMs;
        executor.pollImmediately = true;
        break;
    case order_status::WrongExecutor:
        markRunLost(job, what.task, *task, now, nameOf(what.status));
        handleWrongExecutor(executor, what.sentTo, now);
        return;
    default:
        task->notBefore = now + rejectionBackoffMs;
        break;
    }
    markRunLost(job, what.task, *task, now, nameOf(what.status));
}

void scheduler::on(const stop_answered &what, time_ms now)
{
    const auto foundExecutor = m_executors.find(what.executor);
    if (foundExecutor != m_executors.end() && what.status == order_status::WrongExecutor) {
        handleWrongExecutor(foundExecutor->second, what.sentTo, now);
        return;
    }
    if (isFenced(what.status, foundExecutor == m_executors.end() ? nullptr : &foundExecutor->second, what.sentTo)) {
        m_actions.push_back(step_down{"stop on " + what.executor});
        return;
    }
    // An incarnation doesn't know the stops that an earlier one acknowledged. An answer without a start time may come from the incarnation
    // to which the stop was sent.
    const std::int64_t answeredByStartUnixMs = what.startedUnixMs.value_or(what.sentTo.startedUnixMs);
    const bool earlierIncarnation
        = foundExecutor != m_executors.end() && answeredByStartUnixMs != 0 && answeredByStartUnixMs < foundExecutor->second.entry.startedUnixMs;
    const bool confirmed = !earlierIncarnation && (what.status == order_status::Ok || what.status == order_status::StaleRun);
    if (!confirmed) {
        if (foundExecutor != m_executors.end() && what.status == order_status::Unknown) {
            foundExecutor->second.abandoned.stopUnanswered({what.task, what.run});
        }
        return;
    }
    if (foundExecutor != m_executors.end() && foundExecutor->second.abandoned.contains({what.task, what.run})) {
        foundExecutor->second.abandoned.stopConfirmed({what.task, what.run}, now);
        requestPoll(foundExecutor->second);
    }
    task_record *task = taskOf(what.task);
    if (task == nullptr || task->phase != task_phase::Stopping || task->run != what.run || task->executor != what.executor) {
        return;
    }
    task->stopAckedAt = now;
    if (foundExecutor != m_executors.end()) {
        requestPoll(foundExecutor->second);
    }
}

} // namespace daisypass::sched
