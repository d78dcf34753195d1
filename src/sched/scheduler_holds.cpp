// The long polls of executors: they extend leases, list what runs, and bring the ends.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// How long a list waits for an end. The executors allow 2,000 ms; a lost list hides ends for this long and the call's slack.
constexpr std::int64_t holdWaitMs = 700;
// An empty executor is asked this often, so that its silence is known before work is placed there.
constexpr time_ms idleLookMs = 2'500;
// While ends can't be stored, leases are extended this often.
constexpr time_ms unstoredHoldEveryMs = 1'000;
// Fillers are slowed down when a response time is above this share of its target, well before it is over it, and let loose below
// the other one; a change is judged only after the executors' half-second figures show it.
constexpr double paceDownAbove = 0.85;
constexpr double paceUpBelow = 0.6;
constexpr time_ms paceDownEveryMs = 600;
constexpr time_ms paceUpEveryMs = 1'500;
constexpr int paceUpStep = 15;
constexpr int leastFillPercent = 13;
// Lists come this often where fillers and tasks with a target share an executor.
constexpr std::int64_t pacingHoldWaitMs = 500;

} // namespace

void scheduler::sweepHolds()
{
    for (const std::pair<const std::string, executor_record> &item : m_executors) {
        m_holdDue.insert(item.first);
    }
}

void scheduler::sendHolds(time_ms now)
{
    std::set<std::string> due;
    due.swap(m_holdDue);
    for (const std::string &id : due) {
        const auto found = m_executors.find(id);
        if (found == m_executors.end()) {
            continue;
        }
        executor_record &executor = found->second;
        if (executor.holdInFlight || executor.dead || executor.entry.address.empty() || executor.holdRetryAt > now) {
            continue;
        }
        const bool ackDue = executor.endsListed;
        const bool waitsForStore = ackDue && !executor.unstoredJobs.empty() && executor.silentSince == 0;
        if (waitsForStore && now - executor.holdSentAt < unstoredHoldEveryMs) {
            // A list would return at once with the same ends; the next one acknowledges them as soon as they are stored.
            continue;
        }
        const bool idleLook = now - executor.holdSentAt >= idleLookMs;
        if (executor.lookSoon || !executor.confirmed || !executor.runs.empty() || ackDue || executor.silentSince != 0 || idleLook) {
            sendHold(executor, now);
        }
    }
}

bool scheduler::sharesWithFillers(const executor_record &executor) const
{
    bool fills = false;
    bool serves = false;
    for (const task_id &id : executor.runs) {
        const step_spec &kind = m_jobs.at(id.job)->spec.steps[static_cast<std::size_t>(id.step)];
        fills = fills || kind.fillsIdle;
        serves = serves || kind.latencyTargetMs > 0;
    }
    return fills && serves;
}

// A successor starts runs again when the leases of this term's executors are over. It doesn't reach all of them, so their end has
// to follow from the last renewal that it saw.
time_ms scheduler::grantMs(time_ms now) const
{
    const time_ms latestEnd = m_renewedAt + grantsWithoutRenewalMs + m_bounds.maxLeaseMs;
    return std::clamp<time_ms>(latestEnd - now, 0, m_bounds.maxLeaseMs);
}

// Drains wait for the first list that was asked for when the former holder's stops were over.
std::int64_t scheduler::listWaitMs(const executor_record &executor, time_ms now) const
{
    const std::int64_t wait = sharesWithFillers(executor) ? pacingHoldWaitMs : holdWaitMs;
    const time_ms stopsOverIn = std::max<time_ms>(0, executor.confirmedAt + m_bounds.stopMs - now);
    return executor.earlierStopsOver ? wait : std::min(wait, stopsOverIn);
}

void scheduler::sendHold(executor_record &executor, time_ms now)
{
    hold_executor order;
    order.executor = executor.entry.id;
    order.address = executor.entry.address;
    order.bornUnixMs = executor.entry.bornUnixMs;
    // The cursor counts the ends of one life, so only a hold that follows a list with ends carries it: any other may reach a next life,
    // which would forget ends that nobody has read.
    const bool followsEnds = std::exchange(executor.endsListed, false);
    order.acknowledged = followsEnds && executor.unstoredJobs.empty() ? executor.processedEnds : 0;
    const bool works = executor.answers() && !executor.runs.empty();
    const time_ms leaseMs = grantMs(now);
    if (works && leaseMs > 0) {
        order.leaseEndMs = executor.clockAtTime(now) + leaseMs;
        executor.lastGrantAt = now;
    }
    order.waitMs = works && !executor.lookSoon ? listWaitMs(executor, now) : 0;
    executor.lookSoon = false;
    executor.holdInFlight = true;
    executor.holdSentAt = now;
    ++m_counts.holds;
    m_actions.push_back(std::move(order));
}

void scheduler::on(const hold_answered &what, time_ms now)
{
    const auto found = m_executors.find(what.executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_record &executor = found->second;
    executor.holdInFlight = false;
    m_holdDue.insert(what.executor);
    switch (what.status) {
    case order_status::Ok:
        applyListed(executor, what, now);
        return;
    case order_status::Fenced:
        m_actions.push_back(step_down{"hold on " + what.executor});
        return;
    case order_status::WrongExecutor:
        onWrongExecutor(executor, what.sentTo, now);
        return;
    default:
        markSilent(executor, now, nameOf(what.status));
    }
}

void scheduler::applyListed(executor_record &executor, const hold_answered &what, time_ms now)
{
    if (what.bornUnixMs && executor.entry.bornUnixMs != 0 && *what.bornUnixMs < executor.entry.bornUnixMs) {
        // An answer of an earlier incarnation under the same id.
        executor.lookSoon = true;
        return;
    }
    adoptLife(executor, {executor.entry.address, what.bornUnixMs.value_or(0)}, now);
    markAnswering(executor, now);
    executor.listedAt = now;
    executor.listAskedAt = what.sentAt;
    executor.endsListed = !what.ends.empty();
    m_ledger.listed(executor.entry.id, what.sentAt);
    showReservation(executor.entry.id, now);
    if (what.clockMs) {
        executor.clockMs = *what.clockMs;
        executor.clockAt = now;
    }
    if (!executor.confirmed) {
        executor.confirmed = true;
        executor.confirmedAt = now;
        executor.earlierStopsOver = false;
        m_placeWanted = true;
    } else if (what.sentAt >= executor.confirmedAt + m_bounds.stopMs) {
        executor.earlierStopsOver = true;
    }
    for (const listed_end &end : what.ends) {
        if (end.number > executor.processedEnds) {
            executor.processedEnds = end.number;
            applyEnd(executor, end, now);
        }
    }
    std::set<task_id> listed;
    executor.foreign = {};
    for (const listed_run &run : what.runs) {
        const auto found = m_jobs.find(run.task.job);
        task_record *task = found == m_jobs.end() ? nullptr : found->second->find(run.task);
        const bool current = task != nullptr && task->occupies() && task->run == run.run && task->executor == executor.entry.id;
        if (!current) {
            // A run that was given up: it must not go on beside a later one.
            note("unexpected_run", {{"task", run.task.text()}, {"run", std::to_string(run.run)}, {"executor", executor.entry.id}});
            if (found != m_jobs.end() && run.task.step >= 0 && run.task.step < static_cast<int>(found->second->spec.steps.size())) {
                executor.foreign += found->second->spec.steps[static_cast<std::size_t>(run.task.step)].countedDemand();
            }
            m_actions.push_back(stop_run{run.task, run.run, executor.entry.id, executor.entry.address, executor.entry.bornUnixMs});
            continue;
        }
        listed.insert(run.task);
        task->reporterStartedUnixMs = executor.entry.bornUnixMs;
        if (task->phase == task_phase::Starting || task->phase == task_phase::Unconfirmed || isStoppedInVain(*found->second, *task, what.sentAt)) {
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
    if (!what.moreEnds) {
        settleMissing(executor, what, listed, now);
    }
    paceFillers(executor, what.runs, now);
}

// Answers tasks that fill idle capacity and so slow down tasks with users of their own: the fillers are halved until the
// response times keep their target, and raised again slowly while there is a margin.
void scheduler::paceFillers(executor_record &executor, const std::vector<listed_run> &runs, time_ms now)
{
    double worst = 0;
    std::vector<const listed_run *> fillers;
    for (const listed_run &run : runs) {
        const auto found = m_jobs.find(run.task.job);
        const bool known = found != m_jobs.end() && found->second->find(run.task) != nullptr;
        if (!known) {
            continue;
        }
        const step_spec &kind = found->second->spec.steps[static_cast<std::size_t>(run.task.step)];
        if (kind.fillsIdle) {
            fillers.push_back(&run);
        } else if (kind.latencyTargetMs > 0) {
            worst = std::max(worst, static_cast<double>(run.load) / static_cast<double>(kind.latencyTargetMs));
        }
    }
    if (fillers.empty()) {
        executor.fillPercent = 100;
        return;
    }
    if (worst > paceDownAbove && now - executor.fillChangedAt >= paceDownEveryMs) {
        executor.fillPercent = executor.fillPercent > leastFillPercent ? executor.fillPercent / 2 : 0;
        executor.fillChangedAt = now;
    } else if (worst < paceUpBelow && executor.fillPercent < 100 && now - executor.fillChangedAt >= paceUpEveryMs) {
        executor.fillPercent = std::min(100, executor.fillPercent + paceUpStep);
        executor.fillChangedAt = now;
    }
    for (const listed_run *run : fillers) {
        task_record &task = *m_jobs.at(run->task.job)->find(run->task);
        const bool current = task.phase == task_phase::Running && task.run == run->run && task.executor == executor.entry.id;
        if (current && task.pacedPercent != executor.fillPercent) {
            note("run_paced",
                 {{"task", run->task.text()},
                  {"executor", executor.entry.id},
                  {"percent", std::to_string(executor.fillPercent)},
                  {"worst_of_target", std::to_string(worst)}});
            task.pacedPercent = executor.fillPercent;
            m_actions.push_back(pace_run{run->task, run->run, executor.entry.id, executor.entry.address, executor.fillPercent});
        }
    }
}

// The stop was to make sure that the run isn't there, and has had no answer. A list that was asked for after it shows the run.
bool scheduler::isStoppedInVain(const job_record &job, const task_record &task, time_ms listAskedAt)
{
    const bool unanswered = task.phase == task_phase::Stopping && task.stopConfirmsAbsence && task.stopAckedAt == 0;
    return unanswered && !job.ended() && listAskedAt > task.stopSentAt;
}

void scheduler::stopMissing(const task_id &id, task_record &task, time_ms now, std::string_view cause)
{
    requestStop(id, task, now, cause);
    task.stopConfirmsAbsence = true;
}

void scheduler::settleMissing(executor_record &executor, const hold_answered &what, const std::set<task_id> &listed, time_ms now)
{
    const std::set<task_id> runs = executor.runs;
    for (const task_id &id : runs) {
        if (listed.contains(id)) {
            continue;
        }
        job_record &job = *m_jobs.at(id.job);
        task_record &task = *job.find(id);
        if (task.inherited) {
            // The list was asked for with this term's token, so the order of an earlier term can't be carried out any more.
            loseRun(job, id, task, now, "not_listed_after_takeover");
            continue;
        }
        const bool listIsLater = what.sentAt >= task.confirmedAt;
        switch (task.phase) {
        case task_phase::Running:
            if (listIsLater) {
                // It should be listed as ended. A stop makes sure that it isn't there.
                stopMissing(id, task, now, "not_listed");
            }
            break;
        case task_phase::Unconfirmed:
            if (listIsLater) {
                stopMissing(id, task, now, "start_unanswered");
            }
            break;
        case task_phase::Stopping:
            if (task.stopAckedAt != 0 && what.sentAt > task.stopAckedAt) {
                loseRun(job, id, task, now, "stopped_before_start");
            }
            break;
        default:
            break;
        }
    }
}

} // namespace daisypass::sched
