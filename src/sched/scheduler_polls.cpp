// Long polls of executors. A poll extends the leases of the executor's runs, lists these runs, and returns the ends of runs.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// How long a poll waits for a run to end. Executors allow up to 2,000 ms; a lost answer delays the processing of ends by this
// time and the call's timeout margin.
constexpr std::int64_t pollTimeoutMs = 700;
// An executor without runs is polled at this interval, so that it is known to be unresponsive before work is placed on it.
constexpr time_ms idlePollIntervalMs = 2'500;
// Interval of polls, which extend the leases, while the listed ends can't be stored.
constexpr time_ms unstoredPollIntervalMs = 1'000;
// The same while the acknowledgement of ends is deferred. Polls return at once then, and the ends of other runs wait for the next one.
constexpr time_ms deferredPollIntervalMs = 200;
// Best-effort tasks are throttled while a response time is above the first share of its target, which leaves a margin before the
// target is missed, and their share is raised while all are below the second. The executors report figures over half a second, so the
// intervals let the effect of a change show before the next one.
constexpr double throttleAbove = 0.85;
constexpr double unthrottleBelow = 0.6;
constexpr time_ms throttleIntervalMs = 600;
constexpr time_ms unthrottleIntervalMs = 1'500;
constexpr int unthrottleStep = 15;
constexpr int minBestEffortPercent = 13;
// Poll wait of an executor on which a suspect is being started. The next poll can then wait just until the start is survived.
constexpr time_ms unconfirmedTrialPollMs = 25;
// Shorter poll wait, for executors that run both best-effort tasks and tasks with a latency target.
constexpr std::int64_t throttlingPollTimeoutMs = 500;

} // namespace

void scheduler::markAllPollsDue()
{
    for (const std::pair<const std::string, executor_record> &item : m_executors) {
        m_pollDue.insert(item.first);
    }
}

void scheduler::sendPolls(time_ms now)
{
    std::set<std::string> due;
    due.swap(m_pollDue);
    for (const std::string &id : due) {
        const auto found = m_executors.find(id);
        if (found == m_executors.end()) {
            continue;
        }
        executor_record &executor = found->second;
        if (executor.pollInFlight || executor.dead || executor.entry.address.empty() || executor.pollRetryAt > now) {
            continue;
        }
        const bool acknowledgementDue = executor.endsListed;
        const bool waitsForStore = acknowledgementDue && !executor.unstoredJobs.empty() && executor.unresponsiveSince == 0;
        if (waitsForStore && now - executor.pollSentAt < unstoredPollIntervalMs) {
            // A poll would return at once with the same ends. The next one is sent when they are stored, and acknowledges them.
            continue;
        }
        const bool repeatsDeferredEnds = acknowledgementDue && !executor.deferredEnds.empty() && executor.unresponsiveSince == 0;
        if (repeatsDeferredEnds && !executor.pollImmediately && now - executor.pollSentAt < deferredPollIntervalMs) {
            m_pollDue.insert(id);
            continue;
        }
        const bool idlePollDue = now - executor.pollSentAt >= idlePollIntervalMs;
        const bool watched = !executor.confirmed || !executor.runs.empty() || executor.mayStartLate() || executor.unresponsiveSince != 0;
        if (executor.pollImmediately || watched || acknowledgementDue || idlePollDue) {
            sendPoll(executor, now);
        }
    }
}

bool scheduler::runsLatencyAndBestEffortTasks(const executor_record &executor) const
{
    bool runsBestEffort = false;
    bool runsLatencyTask = false;
    for (const task_id &id : executor.runs) {
        const step_spec &stepSpec = m_jobs.at(id.job)->spec.steps[static_cast<std::size_t>(id.step)];
        runsBestEffort = runsBestEffort || stepSpec.bestEffortCpu;
        runsLatencyTask = runsLatencyTask || stepSpec.latencyTargetMs > 0;
    }
    return runsBestEffort && runsLatencyTask;
}

// The next lease holder places runs again when the leases that this term granted have expired. It may be unable to reach some executors,
// so it has to derive the latest expiry from the last renewal of the leadership lease that it read.
time_ms scheduler::grantableLeaseMs(time_ms now) const
{
    const time_ms latestEnd = m_renewedAt + grantsWithoutRenewalMs + m_bounds.maxLeaseMs;
    return std::clamp<time_ms>(latestEnd - now, 0, m_bounds.maxLeaseMs);
}

// The answer to a poll shows that a start has been survived only if it comes late enough after the start's confirmation.
std::int64_t scheduler::trialPollWaitMs(const executor_record &executor, time_ms now) const
{
    std::int64_t wait = startSurvivedMs;
    for (const task_id &id : executor.probation) {
        const task_record *task = taskOf(id);
        if (task != nullptr && task->phase == task_phase::Running) {
            wait = std::min(wait, std::max(unconfirmedTrialPollMs, task->confirmedAt + startSurvivedMs - now));
        } else if (task != nullptr && (task->phase == task_phase::Placing || task->phase == task_phase::Starting)) {
            wait = unconfirmedTrialPollMs;
        }
    }
    return wait;
}

// Drains wait for the first list requested after the stops of earlier lease holders have taken effect, so that poll must not be
// delayed.
std::int64_t scheduler::pollWaitMs(const executor_record &executor, time_ms now) const
{
    if (!executor.probation.empty()) {
        return trialPollWaitMs(executor, now);
    }
    const std::int64_t wait = runsLatencyAndBestEffortTasks(executor) ? throttlingPollTimeoutMs : pollTimeoutMs;
    const time_ms stopsOverIn = std::max<time_ms>(0, executor.confirmedAt + m_bounds.stopMs - now);
    return executor.earlierStopsSettled ? wait : std::min(wait, stopsOverIn);
}

void scheduler::sendPoll(executor_record &executor, time_ms now)
{
    poll_executor order;
    order.executor = executor.entry.id;
    order.address = executor.entry.address;
    order.startedUnixMs = executor.entry.startedUnixMs;
    order.restarts = executor.restarts;
    // The cursor counts the ends of one incarnation. Only a poll that follows a list with ends carries it: any other may reach the next
    // incarnation, which would then discard ends that have not been read.
    const bool followsEnds = std::exchange(executor.endsListed, false);
    order.acknowledged = followsEnds && executor.unstoredJobs.empty() ? executor.deferredEnds.acknowledgeable(executor.processedEnds) : 0;
    const bool works = executor.isResponsive() && !executor.runs.empty();
    const time_ms leaseMs = grantableLeaseMs(now);
    if (works && leaseMs > 0) {
        order.leaseEndMs = executor.clockAtTime(now) + leaseMs;
        executor.lastLeaseGrantAt = now;
    }
    const bool mayWait = executor.isResponsive() && (works || executor.mayStartLate()) && !executor.pollImmediately;
    order.waitMs = mayWait ? pollWaitMs(executor, now) : 0;
    executor.pollImmediately = false;
    executor.pollInFlight = true;
    executor.pollSentAt = now;
    ++m_counts.polls;
    m_actions.push_back(std::move(order));
}

void scheduler::on(const poll_answered &what, time_ms now)
{
    const auto found = m_executors.find(what.executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_record &executor = found->second;
    executor.pollInFlight = false;
    m_pollDue.insert(what.executor);
    switch (what.status) {
    case order_status::Ok:
        applyPoll(executor, what, now);
        return;
    case order_status::Fenced:
        if (isFenced(what.status, &executor, what.sentTo)) {
            m_actions.push_back(step_down{"hold on " + what.executor});
        } else {
            executor.pollImmediately = true;
        }
        return;
    case order_status::WrongExecutor:
        handleWrongExecutor(executor, what.sentTo, now);
        return;
    default:
        markUnresponsive(executor, now, nameOf(what.status));
        confirmReplacement(executor, what, now);
    }
}

void scheduler::applyPoll(executor_record &executor, const poll_answered &what, time_ms now)
{
    if (what.startedUnixMs && executor.entry.startedUnixMs != 0 && *what.startedUnixMs < executor.entry.startedUnixMs) {
        // The answer is from an earlier incarnation under the same id.
        executor.pollImmediately = true;
        return;
    }
    adoptIncarnation(executor, {executor.entry.address, what.startedUnixMs.value_or(0)}, now);
    markResponsive(executor, now);
    refuteReplacement(executor, what.sentAt);
    executor.listedAt = now;
    ++executor.listNumber;
    executor.listAskedAt = what.sentAt;
    executor.endsListed = !what.ends.empty();
    m_orderLedger.listed(executor.entry.id, what.sentAt);
    updateReservation(executor.entry.id, now);
    if (what.clockMs) {
        executor.clockMs = *what.clockMs;
        executor.clockAt = now;
    }
    if (!executor.confirmed) {
        executor.confirmed = true;
        executor.confirmedAt = now;
        executor.earlierStopsSettled = false;
        m_placementPending = true;
    } else if (what.sentAt >= executor.confirmedAt + m_bounds.stopMs) {
        executor.earlierStopsSettled = true;
    }
    for (const listed_end &end : what.ends) {
        if (end.number > executor.processedEnds) {
            executor.processedEnds = end.number;
            executor.abandoned.ended({end.task, end.run});
            applyLateStart({end.task, end.run});
            applyEnd(executor, end, now);
        }
    }
    std::set<run_id> listedAbandoned;
    executor.untracked = {};
    executor.untrackedRuns.clear();
    for (const listed_run &run : what.runs) {
        applyLateStart({run.task, run.run});
        const auto found = m_jobs.find(run.task.job);
        task_record *task = found == m_jobs.end() ? nullptr : found->second->find(run.task);
        if (found != m_jobs.end()) {
            found->second->begun = true;
        }
        const bool current = task != nullptr && task->occupies() && task->run == run.run && task->executor == executor.entry.id;
        if (!current) {
            // The scheduler no longer tracks this run. It is stopped so that it can't continue in parallel with a later run of the task.
            logEvent("unexpected_run", {{"task", run.task.text()}, {"run", std::to_string(run.run)}, {"executor", executor.entry.id}});
            if (executor.abandoned.contains({run.task, run.run})) {
                listedAbandoned.insert({run.task, run.run});
            } else if (const step_spec *step = found == m_jobs.end() ? nullptr : found->second->stepOf(run.task)) {
                executor.untracked += step->countedDemand();
                executor.untrackedRuns.push_back(run.task);
            }
            sendStop(run.task, run.run, executor);
            continue;
        }
        task->listNumber = executor.listNumber;
        task->reporterStartedUnixMs = executor.entry.startedUnixMs;
        if (task->phase == task_phase::Starting || task->phase == task_phase::Unconfirmed || startedDespiteStop(*found->second, *task, what.sentAt)) {
            task->phase = task_phase::Running;
            task->confirmedAt = now;
            task->progressAt = now;
            task->confirmedPercent = run.percent;
            task->inherited = false;
        }
        if (run.percent > task->percent || run.percent >= 100) {
            task->progressAt = now;
        }
        task->percent = run.percent;
        if (task->phase == task_phase::Running && hasSurvived({run.task, task->confirmedAt}, executor.clockAt)) {
            found->second->occurrences.at(run.task.occurrence).steps[static_cast<std::size_t>(run.task.step)].proven = true;
        }
        const bool works = run.percent >= 100;
        if (works != task->available) {
            task->available = works;
            task->availabilityChangedAt = now;
        }
        if (!run.checkpoint.empty()) {
            task->checkpoint = run.checkpoint;
        }
        if (found->second->ended() && task->phase == task_phase::Running) {
            requestStop(run.task, *task, now, nameOf(found->second->phase));
        }
    }
    executor.abandoned.applyList(listedAbandoned, what.sentAt);
    if (!what.moreEnds) {
        resolveUnlistedRuns(executor, what, now);
    }
    settleProbation(executor);
    observeInterference(executor, what.runs, now);
    throttleBestEffort(executor, what.runs, now);
}

// Keeps best-effort tasks from slowing down tasks with a latency target on the same executor: the share of the best-effort tasks is
// halved while a response time is near its target or misses it, and set to 0 from minBestEffortPercent down. It is raised again slowly
// while all response times have a margin.
void scheduler::throttleBestEffort(executor_record &executor, const std::vector<listed_run> &runs, time_ms now)
{
    double worst = 0;
    std::vector<const listed_run *> bestEffortRuns;
    for (const listed_run &run : runs) {
        const auto found = m_jobs.find(run.task.job);
        const bool known = found != m_jobs.end() && found->second->find(run.task) != nullptr;
        if (!known) {
            continue;
        }
        const step_spec &stepSpec = found->second->spec.steps[static_cast<std::size_t>(run.task.step)];
        if (stepSpec.bestEffortCpu) {
            bestEffortRuns.push_back(&run);
        } else if (stepSpec.latencyTargetMs > 0) {
            worst = std::max(worst, static_cast<double>(run.load) / static_cast<double>(stepSpec.latencyTargetMs));
        }
    }
    if (bestEffortRuns.empty()) {
        executor.bestEffortPercent = 100;
        return;
    }
    if (worst > throttleAbove && now - executor.bestEffortChangedAt >= throttleIntervalMs) {
        executor.bestEffortPercent = executor.bestEffortPercent > minBestEffortPercent ? executor.bestEffortPercent / 2 : 0;
        executor.bestEffortChangedAt = now;
    } else if (worst < unthrottleBelow && executor.bestEffortPercent < 100 && now - executor.bestEffortChangedAt >= unthrottleIntervalMs) {
        executor.bestEffortPercent = std::min(100, executor.bestEffortPercent + unthrottleStep);
        executor.bestEffortChangedAt = now;
    }
    for (const listed_run *run : bestEffortRuns) {
        task_record &task = *m_jobs.at(run->task.job)->find(run->task);
        const bool current = task.phase == task_phase::Running && task.run == run->run && task.executor == executor.entry.id;
        if (current && (task.throttleUnknown || task.throttlePercent != executor.bestEffortPercent)) {
            logEvent("run_paced",
                     {{"task", run->task.text()},
                      {"executor", executor.entry.id},
                      {"percent", std::to_string(executor.bestEffortPercent)},
                      {"worst_of_target", std::to_string(worst)}});
            task.throttlePercent = executor.bestEffortPercent;
            task.throttleUnknown = false;
            m_actions.push_back(throttle_run{run->task, run->run, executor.entry.id, executor.entry.address, executor.bestEffortPercent, executor.restarts});
        }
    }
}

// True if a stop that was sent only to rule out an unlisted run has not been answered, and the list, requested after it, shows the run:
// the run has started and may continue.
bool scheduler::startedDespiteStop(const job_record &job, const task_record &task, time_ms listAskedAt)
{
    const bool unanswered = task.phase == task_phase::Stopping && task.stopConfirmsAbsence && task.stopAckedAt == 0;
    return unanswered && !job.ended() && listAskedAt > task.stopSentAt;
}

void scheduler::stopUnlistedRun(const task_id &id, task_record &task, time_ms now, std::string_view cause)
{
    requestStop(id, task, now, cause);
    task.stopConfirmsAbsence = true;
}

void scheduler::resolveUnlistedRuns(executor_record &executor, const poll_answered &what, time_ms now)
{
    std::vector<task_id> unlisted;
    for (const task_id &id : executor.runs) {
        if (m_jobs.at(id.job)->find(id)->listNumber != executor.listNumber) {
            unlisted.push_back(id);
        }
    }
    for (const task_id &id : unlisted) {
        job_record &job = *m_jobs.at(id.job);
        task_record &task = *job.find(id);
        if (task.inherited) {
            // The poll carried this term's fencing token, so the executor refuses start orders of earlier terms from then on.
            markRunLost(job, id, task, now, "not_listed_after_takeover");
            continue;
        }
        const bool listIsLater = what.sentAt >= task.confirmedAt;
        switch (task.phase) {
        case task_phase::Running:
            if (listIsLater) {
                // The executor lists neither the run nor its end. The stop makes sure that the run isn't there.
                stopUnlistedRun(id, task, now, "not_listed");
            }
            break;
        case task_phase::Unconfirmed:
            if (listIsLater) {
                stopUnlistedRun(id, task, now, "start_unanswered");
            }
            break;
        case task_phase::Stopping:
            if (task.stopAckedAt != 0 && what.sentAt > task.stopAckedAt) {
                markRunLost(job, id, task, now, "stopped_before_start");
            }
            break;
        default:
            break;
        }
    }
}

} // namespace daisypass::sched
