// Runs: applies the ends of runs to their tasks and jobs, and sends and repeats stop orders.

#include "sched/scheduler.h"

#include <algorithm>
#include <utility>

namespace daisypass::sched {
namespace {

// Exponential backoff of an executor after failed runs of this many jobs without a done one; it doubles with each further job up to the maximum.
constexpr std::size_t failedJobsBeforeBackoff = 2;
constexpr time_ms firstFailureBackoffMs = 1'000;
constexpr std::size_t maxFailureBackoffDoublings = 3;
// Minimum time between two starts of a long-running task whose runs end as done. Each start costs a transaction of the store.
constexpr time_ms minRestartIntervalMs = 1'000;

} // namespace

void scheduler::occupy(const task_id &id, const step_spec &step, executor_record &executor)
{
    executor.longRunningRuns += step.longRunning ? 1 : 0;
    executor.used += step.countedDemand();
    executor.runs.insert(id);
    if (mayInterfere(step)) {
        ++executor.images[step.image];
    }
    executor.emptySince = 0;
    m_pollDue.insert(executor.entry.id);
    chargeTenant(*m_jobs.at(id.job), id);
}

// Frees the executor's capacity and returns the task to its waiting state.
void scheduler::release(const task_id &id, const step_spec &step, task_record &task, time_ms now)
{
    const auto found = m_executors.find(task.executor);
    if (found != m_executors.end() && found->second.runs.erase(id) > 0) {
        found->second.used -= step.countedDemand();
        found->second.longRunningRuns -= step.longRunning ? 1 : 0;
        if (mayInterfere(step) && --found->second.images[step.image] == 0) {
            found->second.images.erase(step.image);
        }
        if (found->second.runs.empty()) {
            found->second.emptySince = now;
        }
        if (found->second.probation.contains(id)) {
            endProbation(found->second, id);
        }
    }
    m_tenants.remove(id);
    job_record &job = *m_jobs.at(id.job);
    step_record &record = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    task.phase = task_phase::Waiting;
    task.executor.clear();
    task.inherited = false;
    task.reporterStartedUnixMs = 0;
    task.batch = 0;
    task.stopAckedAt = 0;
    task.stopSentAt = 0;
    task.stopConfirmsAbsence = false;
    task.percent = 0;
    task.confirmedPercent = 0;
    task.throttlePercent = 100;
    task.throttleUnknown = false;
    task.listNumber = 0;
    if (task.available || task.availabilityChangedAt == 0) {
        task.availabilityChangedAt = now;
    }
    task.available = false;
    task.waitingSince = now;
    task.waitCause = wait_cause::None;
    task.waitLogged = false;
    ++record.waiting;
    m_placementPending = true;
    if (!job.ended()) {
        addToBacklog(job);
    }
    if (job.ended() && !job.anyOccupying()) {
        m_stoppingJobs.erase(job.spec.id);
    }
}

void scheduler::applyEnd(executor_record &executor, const listed_end &end, time_ms now)
{
    const auto found = m_jobs.find(end.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    job_record &job = *found->second;
    job.begun = true;
    executor.unstoredJobs.insert(job.spec.id);
    m_executorsToAcknowledge.insert(executor.entry.id);
    const step_spec *step = job.stepOf(end.task);
    if (step != nullptr) {
        deferIfStartMayCome(executor, end, *step, now);
    }
    if (end.how == run_end::Done) {
        executor.failedJobs.clear();
    } else if (end.how == run_end::Failed) {
        backOffIfFailing(executor, job.spec.id, now);
    }
    const task_record *known = std::as_const(job).find(end.task);
    if (known == nullptr || known->phase == task_phase::Done) {
        return;
    }
    task_record *task = job.find(end.task);
    const step_spec &stepSpec = *step;
    const bool current = task->occupies() && task->run == end.run && task->executor == executor.entry.id;
    if (end.how == run_end::Done && !stepSpec.longRunning) {
        // A completed run completes the task, even if it isn't the task's current run.
        if (task->occupies() && !current) {
            abandonRun(end.task, *task, stepSpec, now);
        }
        ++m_counts.doneRuns;
        if (current) {
            updateSlowness(executor, stepSpec, *task, now);
            learnDuration(job, end.task, *task, executor);
        }
        completeTask(job, end.task, now);
        return;
    }
    if (current) {
        endRun(job, end.task, *task, end.how, end.checkpoint, now);
    } else if (end.how == run_end::Failed && !stepSpec.longRunning && task->countFailure(end.run)) {
        markDirty(job);
        failIfOutOfAttempts(job, end.task, *task, now);
    }
}

void scheduler::backOffIfFailing(executor_record &executor, const std::string &failedJob, time_ms now)
{
    executor.failedJobs.insert(failedJob);
    if (executor.failedJobs.size() < failedJobsBeforeBackoff) {
        return;
    }
    const std::size_t doublings = std::min(maxFailureBackoffDoublings, executor.failedJobs.size() - failedJobsBeforeBackoff);
    executor.backoffUntil = std::max(executor.backoffUntil, now + (firstFailureBackoffMs << doublings));
    logEvent("executor_failing", {{"executor", executor.entry.id}, {"failed_jobs", std::to_string(executor.failedJobs.size())}});
}

// The run's start may have no answer yet, so it can begin after this. It uses capacity until it has certainly ended.
void scheduler::abandonRun(const task_id &id, const task_record &task, const step_spec &step, time_ms now)
{
    if (task.phase == task_phase::Placing) {
        // The start order was not sent, and won't be.
        return;
    }
    executor_record &executor = executorFor(task.executor, now);
    const run_id run{id, task.run};
    if (task.phase == task_phase::Starting || task.phase == task_phase::Unconfirmed) {
        m_lateStarts.add(run, task.executor, now);
    }
    executor.abandoned.add(run, step.countedDemand(), task.startSentAt == 0 ? now : task.startSentAt);
    executor.abandoned.stopSent(run, now);
    sendStop(id, task.run, executor);
    requestPoll(executor);
}

void scheduler::endRun(job_record &job, const task_id &id, task_record &task, run_end how, const std::string &checkpoint, time_ms now)
{
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (how == run_end::Failed) {
        ++m_counts.failedRuns;
        failTask(job, id, task, now);
        return;
    }
    if (how == run_end::Done) {
        // Only the end of a long-running task's run comes here. The next run starts from the beginning.
        ++m_counts.doneRuns;
        task.checkpoint.clear();
        task.notBefore = task.startSentAt + minRestartIntervalMs;
    } else {
        ++m_counts.otherEnds;
    }
    logEvent("run_ended", {{"task", id.text()}, {"run", std::to_string(task.run)}, {"how", std::string(nameOf(how))}, {"executor", task.executor}});
    release(id, job.spec.steps[static_cast<std::size_t>(id.step)], task, now);
    markDirty(job);
}

void scheduler::completeTask(job_record &job, const task_id &id, time_ms now)
{
    const step_spec &stepSpec = job.spec.steps[static_cast<std::size_t>(id.step)];
    step_record &step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    const int first = stepSpec.gang ? 0 : id.index;
    const int last = stepSpec.gang ? stepSpec.taskCount - 1 : id.index;
    for (int index = first; index <= last; ++index) {
        if (step.tasks[static_cast<std::size_t>(index)].phase == task_phase::Done) {
            continue;
        }
        task_record &member = step.tasks.record(static_cast<std::size_t>(index));
        if (member.occupies()) {
            release({id.job, id.occurrence, id.step, index}, stepSpec, member, now);
        }
        --step.waiting;
        ++step.done;
        step.keepDuration(member);
        step.tasks.finish(static_cast<std::size_t>(index));
    }
    if (step.finished()) {
        step.doneDurations.clear();
        job.stepFinished();
    }
    markDirty(job);
    if (job.ended()) {
        return;
    }
    addToBacklog(job);
    if (job.dropFinished()) {
        ++m_counts.completedJobs;
        logEvent("job_completed", {{"request", job.spec.id}, {"age_ms", std::to_string(now - job.acceptedAt)}});
        finishJob(job, job_phase::Completed, now);
    }
}

void scheduler::failTask(job_record &job, const task_id &id, task_record &task, time_ms now)
{
    const step_spec &stepSpec = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (!stepSpec.longRunning) {
        task.countFailure(task.run);
    }
    task.avoidedExecutor = task.executor;
    logEvent("run_failed",
             {{"task", id.text()}, {"run", std::to_string(task.run)}, {"executor", task.executor}, {"failures", std::to_string(task.failures())}});
    release(id, stepSpec, task, now);
    markDirty(job);
    failIfOutOfAttempts(job, id, task, now);
}

void scheduler::failIfOutOfAttempts(job_record &job, const task_id &id, const task_record &task, time_ms now)
{
    if (job.ended() || job.spec.steps[static_cast<std::size_t>(id.step)].longRunning) {
        return;
    }
    const queue_terms *terms = termsOf(job);
    if (terms == nullptr) {
        // The task waits until it is known how often it may fail.
        return;
    }
    const int attempts = std::max(1, terms->maxAttempts);
    if (task.failures() < attempts) {
        return;
    }
    ++m_counts.failedJobs;
    logEvent("job_failed",
             {{"request", job.spec.id}, {"task", id.text()}, {"failures", std::to_string(task.failures())}, {"max_attempts", std::to_string(attempts)}});
    finishJob(job, job_phase::Failed, now);
}

void scheduler::markRunLost(job_record &job, const task_id &id, task_record &task, time_ms now, std::string_view cause)
{
    ++m_counts.lostRuns;
    logEvent("run_lost", {{"task", id.text()}, {"run", std::to_string(task.run)}, {"executor", task.executor}, {"cause", std::string(cause)}});
    if (task.inherited) {
        // The stored row doesn't say whether the start order of the earlier lease holder was answered, so the order may still arrive.
        addUnansweredStart(executorFor(task.executor, now), {id, task.run}, now);
    }
    release(id, job.spec.steps[static_cast<std::size_t>(id.step)], task, now);
    markDirty(job);
}

void scheduler::requestStop(const task_id &id, task_record &task, time_ms now, std::string_view cause)
{
    if (task.phase == task_phase::Stopping) {
        return;
    }
    logEvent("run_stopping", {{"task", id.text()}, {"run", std::to_string(task.run)}, {"executor", task.executor}, {"cause", std::string(cause)}});
    task.phase = task_phase::Stopping;
    m_unansweredStops.insert(id);
    task.stopSentAt = now;
    task.stopAckedAt = 0;
    task.stopConfirmsAbsence = false;
    ++m_counts.stops;
    const executor_record &executor = executorFor(task.executor, now);
    if (!executor.entry.address.empty()) {
        sendStop(id, task.run, executor);
    }
}

// A stop that was sent to rule out an unlisted run is repeated only if a list requested after it doesn't show the run. Until then the run
// may have started, and it is still needed.
bool scheduler::mayResendStop(const job_record &job, const task_record &task, const executor_record &executor)
{
    if (!task.stopConfirmsAbsence || job.ended() || task.stopSentAt == 0) {
        return true;
    }
    return executor.isResponsive() && executor.listAskedAt > task.stopSentAt;
}

void scheduler::resendStops(time_ms now)
{
    for (auto id = m_unansweredStops.begin(); id != m_unansweredStops.end();) {
        const auto job = m_jobs.find(id->job);
        task_record *task = job == m_jobs.end() ? nullptr : job->second->find(*id);
        const bool unanswered = task != nullptr && task->phase == task_phase::Stopping && task->stopAckedAt == 0;
        if (!unanswered) {
            id = m_unansweredStops.erase(id);
            continue;
        }
        const auto executor = m_executors.find(task->executor);
        const bool reachable = executor != m_executors.end() && !executor->second.dead && !executor->second.entry.address.empty();
        const bool due = task->stopSentAt == 0 || task->stopSentAt + stopRetryMs < now;
        if (reachable && due && mayResendStop(*job->second, *task, executor->second)) {
            task->stopSentAt = now;
            sendStop(*id, task->run, executor->second);
        }
        ++id;
    }
    for (std::pair<const std::string, executor_record> &item : m_executors) {
        if (item.second.dead || item.second.entry.address.empty()) {
            continue;
        }
        sendDueStops(item.second, {item.second.entry.address, item.second.entry.startedUnixMs}, now);
    }
}

void scheduler::sendStop(const task_id &id, int run, const executor_record &executor)
{
    m_actions.push_back(stop_run{id, run, executor.entry.id, executor.entry.address, executor.entry.startedUnixMs, executor.restarts});
}

void scheduler::sendDueStops(executor_record &executor, const order_target &incarnation, time_ms now)
{
    for (const run_id &run : executor.abandoned.takeDueStops(now)) {
        m_actions.push_back(stop_run{run.first, run.second, executor.entry.id, incarnation.address, incarnation.startedUnixMs, executor.restarts});
    }
}

} // namespace daisypass::sched
