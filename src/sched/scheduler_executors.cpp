// Executors: registry entries, liveness, restarts, and the expiry of the leases of runs on unresponsive executors.

#include "sched/scheduler.h"

#include "base/saturating_cast.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// An executor's clock may be 2% slow, so a lease can last longer than granted by this factor.
constexpr double maxClockStretch = 1.0 / 0.98;
// Allows for the delivery time of an order and the resolution of the clocks.
constexpr time_ms leaseExpiryMarginMs = 400;
// The first retry of a failed poll follows almost at once.
constexpr time_ms firstPollRetryMs = 10;
// Interval of further polls of an unresponsive executor.
constexpr time_ms pollRetryIntervalMs = 400;
// The same if a start order without an answer may reach its next incarnation, which carries it out unless it gets the stop before.
constexpr time_ms lateStartPollRetryIntervalMs = 100;
// An executor that answers remains listed for this long after its registry entry was removed: entries that expired while the store was
// down are written again about two seconds after its recovery.
constexpr time_ms removedEntryGraceMs = 2'000;
// An executor that hasn't answered for this long, in which several polls have failed, has been replaced if a later executor's entry names
// its VM. A VM's next executor takes longer to start.
constexpr time_ms replacedSilenceMs = 1'500;

void forgetExpiredStarts(executor_record &executor, time_ms now)
{
    while (!executor.unansweredStarts.empty() && executor.unansweredStarts.front().at + maxOrderDelayMs < now) {
        executor.unansweredStarts.pop_front();
    }
}

std::string ageText(time_ms at, time_ms now)
{
    return at == 0 ? "never" : std::to_string(now - at);
}

} // namespace

executor_record &scheduler::executorFor(const std::string &id, time_ms now)
{
    const bool added = !m_executors.contains(id);
    const auto found = m_executors.try_emplace(id).first;
    if (added) {
        found->second.entry.id = id;
        found->second.emptySince = now;
        found->second.lastLeaseGrantAt = m_term.earlierGrantsUntil;
        found->second.unresponsiveSince = now;
        found->second.reserved = m_orderLedger.reserves(id);
        m_executorIndexStale = true;
    }
    return found->second;
}

void scheduler::indexExecutors()
{
    if (!m_executorIndexStale) {
        return;
    }
    m_executorIndexStale = false;
    m_poolExecutors.clear();
    for (std::pair<const std::string, executor_record> &item : m_executors) {
        if (item.second.listed) {
            m_poolExecutors[item.second.entry.pool].push_back(&item.second);
        }
    }
}

void scheduler::on(const executor_entry_changed &what, time_ms now)
{
    if (m_entryVersions.isOutdated(what.entry.id, what.version, now)) {
        return;
    }
    if (!mayUse(what.entry)) {
        keepUnused(what, now);
        return;
    }
    m_unusedEntries.erase(what.entry.id);
    executor_record &executor = executorFor(what.entry.id, now);
    const bool earlierIncarnation = what.entry.startedUnixMs != 0 && what.entry.startedUnixMs < executor.entry.startedUnixMs;
    if (earlierIncarnation) {
        return;
    }
    const bool firstSeen = !executor.listed && executor.entry.address.empty();
    const bool restarted = adoptIncarnation(executor, {what.entry.address, what.entry.startedUnixMs}, now);
    if (executor.dead) {
        return;
    }
    if (what.entry.draining && !executor.entry.draining) {
        logEvent("executor_draining", {{"executor", what.entry.id}, {"pool", what.entry.pool}});
    }
    const std::int64_t latestStartUnixMs = std::max(executor.entry.startedUnixMs, what.entry.startedUnixMs);
    if (firstSeen || restarted) {
        executor.unresponsiveSince = 0;
        executor.confirmed = false;
        executor.pollImmediately = true;
        executor.pollRetryAt = now;
        logEvent("executor_seen", {{"executor", what.entry.id}, {"pool", what.entry.pool}, {"vm", what.entry.vm}});
    }
    if (!executor.listed || executor.entry.pool != what.entry.pool) {
        m_executorIndexStale = true;
        m_placementPending = true;
    }
    setEntry(executor, what.entry);
    executor.entry.startedUnixMs = latestStartUnixMs;
    executor.entryReadAt = now;
    executor.listed = true;
    executor.unlistedAt = 0;
    m_pollDue.insert(what.entry.id);
    if (firstSeen || restarted) {
        endEarlierExecutorsOf(what.entry.vm, now);
    }
    // The drain was in progress before the takeover. Without the reservation, tasks would be placed here until the first fleet plan.
    if (firstSeen && !executor.reserved && m_fleetPlanner.wasDraining(what.entry.vm)) {
        reserveForMaintenance(what.entry.vm, {what.entry.id, executor.entry.startedUnixMs}, now);
        logEvent("vm_still_draining", {{"vm", what.entry.vm}, {"executor", what.entry.id}});
    }
}

// Entries of other writers look like those of executors, but name a pool that isn't configured. An executor that has runs of an earlier
// term is polled all the same: without a configuration, or after its pool was removed, these runs would lose their leases.
bool scheduler::mayUse(const executor_entry &entry) const
{
    if (m_namedPools.contains(entry.pool)) {
        return true;
    }
    const auto found = m_executors.find(entry.id);
    return found != m_executors.end() && found->second.entry.address.empty() && !found->second.runs.empty();
}

void scheduler::keepUnused(const executor_entry_changed &what, time_ms now)
{
    m_unusedEntries[what.entry.id] = what;
    const auto found = m_executors.find(what.entry.id);
    if (found != m_executors.end()) {
        unlist(found->second, now);
    }
}

void scheduler::useKeptEntries(time_ms now)
{
    std::vector<executor_entry_changed> named;
    std::erase_if(m_unusedEntries, [&](const std::pair<const std::string, executor_entry_changed> &kept) {
        const bool use = m_namedPools.contains(kept.second.entry.pool);
        if (use) {
            named.push_back(kept.second);
        }
        return use;
    });
    for (const executor_entry_changed &entry : named) {
        on(entry, now);
    }
    // Executors that were polled for their restored runs before their pools were configured are compared only now.
    for (const std::pair<const std::string, std::set<std::string>> &vm : m_executorsOfVm) {
        endEarlierExecutorsOf(vm.first, now);
    }
}

void scheduler::setEntry(executor_record &executor, const executor_entry &entry)
{
    if (executor.entry.vm != entry.vm) {
        removeFromVm(executor);
        if (!entry.vm.empty()) {
            m_executorsOfVm[entry.vm].insert(entry.id);
        }
    }
    executor.entry = entry;
}

void scheduler::removeFromVm(const executor_record &executor)
{
    const auto vm = m_executorsOfVm.find(executor.entry.vm);
    if (vm == m_executorsOfVm.end()) {
        return;
    }
    vm->second.erase(executor.entry.id);
    if (vm->second.empty()) {
        m_executorsOfVm.erase(vm);
    }
}

// A VM has one executor at a time, so only the one that started last can be alive. Executors whose start time is not known can't be
// compared, and entries of pools that aren't configured prove nothing; both are left out.
void scheduler::endEarlierExecutorsOf(const std::string &vm, time_ms now)
{
    const auto executors = m_executorsOfVm.find(vm);
    if (executors == m_executorsOfVm.end()) {
        return;
    }
    std::vector<executor_record *> candidates;
    for (const std::string &id : executors->second) {
        executor_record &executor = m_executors.at(id);
        const bool comparable = executor.entry.startedUnixMs != 0 && !executor.dead && m_namedPools.contains(executor.entry.pool);
        if (comparable) {
            candidates.push_back(&executor);
        }
    }
    const auto latest = std::max_element(candidates.begin(), candidates.end(), [](const executor_record *a, const executor_record *b) {
        return a->entry.startedUnixMs < b->entry.startedUnixMs;
    });
    for (executor_record *incarnation : candidates) {
        if (incarnation->entry.startedUnixMs < (*latest)->entry.startedUnixMs) {
            checkReplacement(*incarnation, **latest, now);
        }
    }
}

// The successor's entry may come from another writer, so an executor that answered until now is asked first. If it has ended, the poll is
// refused at once.
void scheduler::checkReplacement(executor_record &executor, const executor_record &successor, time_ms now)
{
    const bool asked = executor.replacement && executor.replacement->successor == successor.entry.id
        && executor.replacement->successorStartedUnixMs == successor.entry.startedUnixMs;
    if (asked) {
        return;
    }
    executor.replacement = replacement_claim{successor.entry.id, successor.entry.startedUnixMs, now};
    if (executor.unresponsiveSince != 0 && now - executor.unresponsiveSince >= replacedSilenceMs) {
        endReplaced(executor, now);
        return;
    }
    executor.pollRetryAt = now;
    requestPoll(executor);
}

// A poll that timed out may have reached a live executor, so it only adds to the executor's silence.
void scheduler::confirmReplacement(executor_record &executor, const poll_answered &what, time_ms now)
{
    if (!executor.replacement) {
        return;
    }
    const bool refused = what.status == order_status::Unreachable && what.sentAt >= executor.replacement->readAt;
    if (refused || now - executor.unresponsiveSince >= replacedSilenceMs) {
        endReplaced(executor, now);
    }
}

void scheduler::refuteReplacement(executor_record &executor, time_ms pollSentAt)
{
    if (!executor.replacement || pollSentAt < executor.replacement->readAt) {
        return;
    }
    logEvent("executor_not_replaced", {{"executor", executor.entry.id}, {"vm", executor.entry.vm}, {"claimed_successor", executor.replacement->successor}});
    executor.replacement.reset();
    m_placementPending = true;
}

void scheduler::endReplaced(executor_record &executor, time_ms now)
{
    const replacement_claim claim = *executor.replacement;
    markDead(executor,
             now,
             "vm_has_new_executor",
             {{"vm", executor.entry.vm}, {"successor", claim.successor}, {"successor_born", std::to_string(claim.successorStartedUnixMs)}});
}

void scheduler::on(const executor_entry_removed &what, time_ms now)
{
    if (m_entryVersions.isOutdated(what.executor, what.version, now)) {
        return;
    }
    m_unusedEntries.erase(what.executor);
    const auto found = m_executors.find(what.executor);
    if (found != m_executors.end()) {
        unlist(found->second, now);
    }
}

void scheduler::unlist(executor_record &executor, time_ms now)
{
    // Repeated rows don't prolong the grace period.
    executor.unlistedAt = executor.unlistedAt == 0 ? now : executor.unlistedAt;
    if (executor.listed && (!executor.isResponsive() || executor.entry.draining)) {
        removeFromListed(executor);
    }
}

// Entries also expire while the store is down; live executors write theirs again soon after its recovery.
void scheduler::removeFromListed(executor_record &executor)
{
    executor.listed = false;
    m_executorIndexStale = true;
    logEvent("executor_unlisted", {{"executor", executor.entry.id}, {"runs", std::to_string(executor.runs.size())}});
}

void scheduler::markUnresponsive(executor_record &executor, time_ms now, std::string_view cause)
{
    if (executor.unresponsiveSince == 0) {
        executor.unresponsiveSince = now;
        logEvent("executor_silent", {{"executor", executor.entry.id}, {"cause", std::string(cause)}, {"runs", std::to_string(executor.runs.size())}});
    }
    const bool first = executor.unresponsiveSince == now;
    const time_ms intervalMs = executor.mayStartLate() ? lateStartPollRetryIntervalMs : pollRetryIntervalMs;
    executor.pollRetryAt = now + (first ? firstPollRetryMs : intervalMs);
}

void scheduler::markResponsive(executor_record &executor, time_ms now)
{
    if (executor.unresponsiveSince != 0 && executor.confirmed) {
        logEvent("executor_answers", {{"executor", executor.entry.id}, {"silent_ms", std::to_string(now - executor.unresponsiveSince)}});
    }
    executor.unresponsiveSince = 0;
}

bool scheduler::adoptIncarnation(executor_record &executor, const order_target &incarnation, time_ms now)
{
    if (incarnation.startedUnixMs <= executor.entry.startedUnixMs) {
        return false;
    }
    const bool restarted = executor.entry.startedUnixMs != 0;
    executor.restarts += restarted ? 1 : 0;
    // Even the first known incarnation may be a restart of the one to which the starts were sent.
    executor.abandoned.executorRestarted();
    stopUnansweredStarts(executor, incarnation, now);
    if (restarted) {
        handleRestart(executor, incarnation, now);
    }
    executor.entry.startedUnixMs = incarnation.startedUnixMs;
    executor.incarnationFirstSeenAt = now;
    return restarted;
}

// A start that is in transit, or whose answer didn't come from the previous incarnation for certain, may have reached the new one; the new
// incarnation's list or a stop resolves it. Only runs that the previous incarnation listed or confirmed have certainly ended with it.
void scheduler::handleRestart(executor_record &executor, const order_target &incarnation, time_ms now)
{
    logEvent("executor_restarted",
             {{"executor", executor.entry.id},
              {"runs", std::to_string(executor.runs.size())},
              {"born", std::to_string(executor.entry.startedUnixMs)},
              {"next_born", std::to_string(incarnation.startedUnixMs)},
              {"list_age_ms", ageText(executor.listedAt, now)}});
    const std::int64_t formerStartUnixMs = executor.entry.startedUnixMs;
    recordCrash(executor, now);
    executor.dead = false;
    requestPoll(executor);
    resetListedState(executor);
    const std::set<task_id> runs = executor.runs;
    for (const task_id &id : runs) {
        job_record &job = *m_jobs.at(id.job);
        task_record &task = *job.find(id);
        if (task.reporterStartedUnixMs == formerStartUnixMs) {
            markRunLost(job, id, task, now, "restarted");
        } else if (task.phase == task_phase::Stopping) {
            // The new incarnation must refuse the start order as well.
            task.stopSentAt = 0;
            task.stopAckedAt = 0;
            m_unansweredStops.insert(id);
        } else if (task.phase != task_phase::Placing) {
            task.phase = task_phase::Unconfirmed;
            task.confirmedAt = now;
        }
    }
}

// Sends stops for runs whose start orders had no answer: the new incarnation doesn't know the stops that the previous one acknowledged, and
// would carry out a delayed start order. A finished job has no record of the task, but its run is stopped all the same. Runs that are still
// tracked are resolved by polls.
void scheduler::stopUnansweredStarts(executor_record &executor, const order_target &incarnation, time_ms now)
{
    forgetExpiredStarts(executor, now);
    for (const unanswered_start &start : executor.unansweredStarts) {
        const auto job = m_jobs.find(start.task.job);
        const task_record *task = job == m_jobs.end() ? nullptr : job->second->find(start.task);
        const bool current = task != nullptr && task->occupies() && task->run == start.run;
        if (!current) {
            const step_spec *step = job == m_jobs.end() ? nullptr : job->second->stepOf(start.task);
            executor.abandoned.add({start.task, start.run}, step == nullptr ? resources{} : step->countedDemand(), start.at);
        }
    }
    if (!incarnation.address.empty()) {
        sendDueStops(executor, incarnation, now);
    }
}

// Resets what is known from the executor's lists, because it doesn't apply to the next incarnation.
void scheduler::resetListedState(executor_record &executor)
{
    executor.confirmed = false;
    executor.replacement.reset();
    executor.processedEnds = 0;
    executor.endsListed = false;
    executor.deferredEnds.clear();
    executor.unstoredJobs.clear();
    executor.untracked = {};
    executor.untrackedRuns.clear();
}

void scheduler::markDead(executor_record &executor, time_ms now, std::string_view cause, const log_fields &evidence)
{
    log_fields fields{{"executor", executor.entry.id},
                      {"cause", std::string(cause)},
                      {"runs", std::to_string(executor.runs.size())},
                      {"born", std::to_string(executor.entry.startedUnixMs)},
                      {"entry_age_ms", ageText(executor.entryReadAt, now)},
                      {"list_age_ms", ageText(executor.listedAt, now)}};
    fields.insert(fields.end(), evidence.begin(), evidence.end());
    logEvent("executor_dead", std::move(fields));
    recordCrash(executor, now);
    executor.dead = true;
    executor.deadSince = now;
    resetListedState(executor);
    const std::set<task_id> runs = executor.runs;
    for (const task_id &id : runs) {
        job_record &job = *m_jobs.at(id.job);
        task_record *task = job.find(id);
        if (task == nullptr || task->executor != executor.entry.id) {
            continue;
        }
        const bool unanswered = task->phase == task_phase::Starting || (task->phase == task_phase::Unconfirmed && !task->inherited);
        if (unanswered) {
            // The start order may still reach the next incarnation; its answer or a stop resolves the run.
            task->phase = task_phase::Unconfirmed;
            task->confirmedAt = now;
        } else {
            markRunLost(job, id, *task, now, cause);
        }
    }
}

void scheduler::requestPoll(executor_record &executor)
{
    executor.pollImmediately = true;
    m_pollDue.insert(executor.entry.id);
}

// The executor is polled at once, and gets no new runs before it answers.
void scheduler::revive(executor_record &executor, time_ms now)
{
    logEvent("executor_revived", {{"executor", executor.entry.id}, {"vm", executor.entry.vm}, {"dead_ms", std::to_string(now - executor.deadSince)}});
    executor.dead = false;
    executor.unresponsiveSince = now;
    executor.pollRetryAt = now;
    requestPoll(executor);
}

// The answer proves only that the incarnation to which the order was sent no longer runs. It proves nothing about a later
// incarnation or another address.
void scheduler::handleWrongExecutor(executor_record &executor, const order_target &sentTo, time_ms now)
{
    const bool laterIncarnation = sentTo.startedUnixMs != 0 && executor.entry.startedUnixMs > sentTo.startedUnixMs;
    if (laterIncarnation || sentTo.address != executor.entry.address) {
        requestPoll(executor);
        return;
    }
    if (!m_namedPools.contains(executor.entry.pool)) {
        // The address may be another writer's, so the answer proves nothing of the executor.
        markUnresponsive(executor, now, nameOf(order_status::WrongExecutor));
        return;
    }
    markDead(executor, now, "another_executor_at_address", {{"address", sentTo.address}});
}

time_ms scheduler::longestLeaseMs() const
{
    return saturatingCast<time_ms>(static_cast<double>(m_bounds.maxLeaseMs) * maxClockStretch) + leaseExpiryMarginMs;
}

void scheduler::expireUnresponsive(time_ms now)
{
    std::vector<std::string> empty;
    for (std::pair<const std::string, executor_record> &item : m_executors) {
        executor_record &executor = item.second;
        forgetExpiredStarts(executor, now);
        if (executor.listed && executor.unlistedAt != 0 && now - executor.unlistedAt > removedEntryGraceMs) {
            removeFromListed(executor);
        }
        // The record is kept while it is reserved, because the reservation may be older than the entry, and without it the executor would
        // get runs that the order for its VM ends. It is also kept while starts are unanswered, because a new incarnation under the same
        // id must receive the stops for them.
        const bool awaited = !executor.dead && (executor.reserved || !executor.abandoned.empty());
        if (!executor.listed && executor.runs.empty() && !awaited && executor.unansweredStarts.empty()) {
            empty.push_back(item.first);
            continue;
        }
        settleProbation(executor);
        if (executor.unresponsiveSince == 0 && !executor.dead) {
            continue;
        }
        if (executor.lastLeaseGrantAt + longestLeaseMs() < now) {
            const std::set<task_id> runs = executor.runs;
            for (const task_id &id : runs) {
                job_record &job = *m_jobs.at(id.job);
                markRunLost(job, id, *job.find(id), now, "lease_over");
            }
            // Nothing runs there any more, and only a late order can still start a run.
            executor.abandoned.applyList({}, now);
        }
    }
    for (const std::string &id : empty) {
        removeFromVm(m_executors.at(id));
        m_executors.erase(id);
        m_orderLedger.forget(id);
        m_executorIndexStale = true;
    }
}

} // namespace daisypass::sched
