#include "sched/scheduler.h"

#include <algorithm>
#include <utility>

namespace daisypass::sched {
namespace {

// A store transaction has at most 100 entries, conditions and deletes included; a dozen are kept for the lease and fleet rows.
constexpr std::size_t maxRowsPerBatch = 80;
// Placements wait with at most this many jobs for the store: those of the batch that is being stored and of the next one. Others would
// hold capacity of executors without work for as long as the store takes for all batches before theirs.
constexpr std::size_t maxJobsWaitingForStore = 2 * maxRowsPerBatch;
// Keeps a transaction well below the store's limit of 1 MB after base64 encoding.
constexpr std::size_t maxBytesPerBatch = 400'000;
constexpr row_room batchRoom{maxRowsPerBatch, maxBytesPerBatch};
// Maximum number of waves whose rows go with one batch; the others follow with the next ones.
constexpr std::size_t maxWaveRowsPerBatch = 4;
// Maximum number of rows deleted with one batch, so that the clean-up doesn't delay the storing of progress.
constexpr std::size_t maxDeletesPerBatch = 8;
// Interval of the clean-up of ended jobs and old registry versions.
constexpr time_ms cleanupIntervalMs = 1'000;
// A placement pass looks at all waiting jobs and at the executors of their pools, a sweep at all executors and runs, and a fleet plan at all
// jobs and VMs. The more work waits, the longer they take, so each gets a share of the processor: the handling of ends and answers, which
// reduces the waiting work, needs the rest. A transaction takes about as long as the shortest time between two placement passes, so the
// placements of a pass mostly share one.
constexpr pass_limits placementLimits{4, 250, 0.2};
constexpr pass_limits sweepLimits{100, 400, 0.1};
constexpr pass_limits fleetLimits{100, 500, 0.1};
// Longest lease that executors are granted. It is long enough to last through a change of lease holder, and short enough that a run on an
// executor that has left is placed again within six seconds.
constexpr time_ms maxGrantedLeaseMs = 5'500;

// A fleet order may still be carried out for this long in addition to bounds::leaseMs, the platform's bound on the time between two lease
// holders that are both alive.
constexpr time_ms fleetOrderMarginMs = 200;
// A tenant that a placement pass has held back by its cap within this time is at its cap. Passes follow each other more closely than this.
constexpr time_ms capHoldMs = 500;

// What the configuration says of the queue goes before what the job has kept of it; null if neither is known.
template<typename Part>
const Part *configuredOrKept(const queue_config *queue, const std::optional<Part> &kept)
{
    if (queue != nullptr) {
        return queue;
    }
    return kept ? &*kept : nullptr;
}

bounds withCappedLease(bounds limits)
{
    limits.maxLeaseMs = std::min<std::int64_t>(limits.maxLeaseMs, maxGrantedLeaseMs);
    return limits;
}

} // namespace

scheduler::scheduler(bounds limits, const term_times &term, processing_clock clock)
    : m_bounds(withCappedLease(limits))
    , m_term(term)
    , m_renewedAt(term.acquiredAt)
    , m_jobAccount(limits.jobBytes)
    , m_fleetPlanner(limits)
    , m_fleetOrders(limits.leaseMs + fleetOrderMarginMs, limits.rowBytes)
    , m_placementPacer(placementLimits)
    , m_fleetPacer(fleetLimits)
    , m_sweepPacer(sweepLimits)
    , m_clock(std::move(clock))
{
}

scheduler::~scheduler() = default;

void scheduler::logEvent(std::string event, log_fields fields)
{
    m_actions.push_back(log_event{std::move(event), std::move(fields)});
}

std::vector<action> scheduler::takeActions()
{
    std::vector<action> taken;
    taken.swap(m_actions);
    return taken;
}

void scheduler::handle(const event &what, time_ms now)
{
    std::visit(
        [&](const auto &one) {
            on(one, now);
        },
        what);
}

void scheduler::plan(time_ms now)
{
    if (m_placementPending && m_placementPacer.isDue(now)) {
        m_placementPending = false;
        makePass("placement", m_placementPacer, now, [&] {
            place(now);
        });
    }
    sendPolls(now);
}

std::optional<time_ms> scheduler::nextPlanAt() const
{
    if (!m_placementPending || m_backlog.empty()) {
        return std::nullopt;
    }
    return m_placementPacer.dueAt();
}

bool scheduler::restore(const job_spec &spec, const std::string &row, time_ms now, const std::map<std::string, std::string> &taskRows)
{
    std::unique_ptr<job_record> job = std::make_unique<job_record>(spec);
    job->acceptedAt = now;
    if (row.empty() && taskRows.empty()) {
        job->openDueOccurrences(spec.repeatCount > 0 ? 0 : spec.acceptedUnixMs);
    } else if (!readState(row, taskRows, *job)) {
        logEvent("state_row_unreadable", {{"request", spec.id}});
        m_unreadableJobs.insert(spec.id);
        return false;
    }
    job_record &restored = *job;
    m_jobs[spec.id] = std::move(job);
    addToTenant(restored);
    charge(restored, openJobSize(spec), now);
    job_rows rows;
    rows.restore(row, taskRows);
    if (rows.isInUse()) {
        m_jobRows[spec.id] = std::move(rows);
    }
    restored.forEachOccupying([&](const task_id &id, task_record &task) {
        occupy(id, restored.spec.steps[static_cast<std::size_t>(id.step)], executorFor(task.executor, now));
    });
    restored.forEachSuspect([&](const task_id &id, task_record &) {
        m_suspects.insert(id);
    });
    if (!restored.ended()) {
        m_activeJobs.insert(spec.id);
        if (spec.repeatCount > 0) {
            m_repeatingJobs.insert(spec.id);
        }
        addToBacklog(restored);
        keepTerms(restored, now);
    } else {
        restored.endedAt = now;
        m_endedJobs.push_back(spec.id);
        m_untrimmedJobs.push_back(spec.id);
        if (restored.anyOccupying()) {
            m_stoppingJobs.insert(spec.id);
        }
    }
    return true;
}

void scheduler::restoreWave(std::string_view key, std::string_view row)
{
    m_fleetPlanner.readRow(key, row);
}

bool scheduler::restoreFleetOrders(std::string_view row, time_ms now)
{
    if (!m_fleetOrders.readPredecessorRow(row, now)) {
        return false;
    }
    for (const maintain_vm &maintenance : m_fleetOrders.predecessorMaintenance()) {
        m_fleetPlanner.predecessorMaintenance(maintenance.wave, maintenance.vm);
    }
    return true;
}

const queue_config *scheduler::queueOf(const job_record &job) const
{
    const auto found = m_queues.find(job.spec.queue);
    return found == m_queues.end() ? nullptr : &found->second;
}

const queue_terms *scheduler::termsOf(const job_record &job) const
{
    return configuredOrKept(queueOf(job), job.terms);
}

const queue_objective *scheduler::objectiveOf(const job_record &job) const
{
    return configuredOrKept(queueOf(job), job.objective);
}

void scheduler::keepTerms(job_record &job, time_ms now)
{
    const queue_config *queue = queueOf(job);
    if (job.ended() || queue == nullptr) {
        return;
    }
    if (!job.objective) {
        job.objective = static_cast<const queue_objective &>(*queue);
    }
    if (job.terms) {
        return;
    }
    job.terms = static_cast<const queue_terms &>(*queue);
    std::vector<task_id> failed;
    const auto collect = [&failed](const task_id &id, const task_record &task) {
        if (task.failures() > 0) {
            failed.push_back(id);
        }
    };
    job.forEachPlacedIn(task_phase::Waiting, collect);
    job.forEachOccupying(collect);
    for (const task_id &id : failed) {
        failIfOutOfAttempts(job, id, *job.find(id), now);
    }
}

bool scheduler::mayRetry(const job_record &job, const task_record &task) const
{
    return task.failures() == 0 || termsOf(job) != nullptr;
}

const std::string &scheduler::poolOf(const job_record &job) const
{
    const queue_config *queue = queueOf(job);
    return queue == nullptr ? job.spec.pool : queue->pool;
}

void scheduler::on(const configuration_changed &what, time_ms now)
{
    if (what.view.version < m_configuration.version) {
        return;
    }
    m_configuration = what.view;
    m_queues.clear();
    m_namedPools.clear();
    for (const queue_config &queue : what.view.queues) {
        m_queues[queue.key] = queue;
        m_namedPools.insert(queue.pool);
    }
    m_pools.clear();
    for (const pool_config &pool : what.view.pools) {
        m_pools[pool.name] = pool;
        m_namedPools.insert(pool.name);
    }
    configureTenants();
    const std::vector<std::string> jobs(m_activeJobs.begin(), m_activeJobs.end());
    for (const std::string &id : jobs) {
        keepTerms(*m_jobs.at(id), now);
    }
    m_placementPending = true;
    useKeptEntries(now);
}

void scheduler::on(const job_submitted &what, time_ms now)
{
    // A page of the table that was read before the deletion may still contain a deleted job.
    if (m_jobs.contains(what.job.id) || m_deletedJobs.contains(what.job.id) || m_unreadableJobs.contains(what.job.id)) {
        return;
    }
    std::unique_ptr<job_record> job = std::make_unique<job_record>(what.job);
    if (m_durations.corrects(job->spec.queue)) {
        for (step_spec &step : job->spec.steps) {
            step.estimateMs = m_durations.expectedMs(job->spec.queue, step.estimateMs);
        }
        job->estimatesChanged();
    }
    job->acceptedAt = now;
    job->openDueOccurrences(what.job.repeatCount > 0 ? m_unixMs : what.job.acceptedUnixMs);
    m_activeJobs.insert(what.job.id);
    if (what.job.repeatCount > 0) {
        m_repeatingJobs.insert(what.job.id);
    }
    job_record &added = *m_jobs.emplace(what.job.id, std::move(job)).first->second;
    addToTenant(added);
    charge(added, openJobSize(added.spec), now);
    // The work of a tenant that is at its cap needs no executors when it arrives.
    if (what.job.repeatCount == 0 && !m_capHolds.wasHeld(added.tenant, now, capHoldMs)) {
        m_arrivals[poolOf(added)].add(workOf(added.spec), now);
    }
    addToBacklog(added);
    keepTerms(added, now);
}

void scheduler::addToBacklog(job_record &job)
{
    m_placementPending = true;
    if (!job.inBacklog) {
        job.inBacklog = true;
        m_backlog.push_back(&job);
    }
}

void scheduler::on(const job_cancelled &what, time_ms now)
{
    const auto found = m_jobs.find(what.job);
    if (found == m_jobs.end() || found->second->ended()) {
        return;
    }
    ++m_counts.cancelledJobs;
    logEvent("job_cancelled", {{"request", what.job}});
    finishJob(*found->second, job_phase::Cancelled, now);
}

void scheduler::on(const submission_barred &what, time_ms now)
{
    m_barredSubmissions.try_emplace(what.job, barred_submission{now});
}

void scheduler::finishJob(job_record &job, job_phase phase, time_ms now)
{
    job.phase = phase;
    job.endedAt = now;
    m_activeJobs.erase(job.spec.id);
    m_repeatingJobs.erase(job.spec.id);
    m_endedJobs.push_back(job.spec.id);
    m_untrimmedJobs.push_back(job.spec.id);
    job.forEachOccupying([&](const task_id &id, task_record &task) {
        if (task.phase == task_phase::Placing) {
            // The start order was not sent, and won't be.
            release(id, job.spec.steps[static_cast<std::size_t>(id.step)], task, now);
        } else {
            requestStop(id, task, now, nameOf(phase));
        }
    });
    if (job.anyOccupying()) {
        m_stoppingJobs.insert(job.spec.id);
    }
    markDirty(job);
}

void scheduler::markDirty(job_record &job, row_wait waits)
{
    job.dirty = true;
    m_storeQueue.add(job.spec.id, job.ended() ? row_wait::StartOrEnd : waits);
}

bool scheduler::mayQueuePlacements(const job_record &job) const
{
    return m_storeQueue.contains(job.spec.id) || jobsWaitingForStore() < maxJobsWaitingForStore;
}

bool scheduler::hasUnstoredChanges() const
{
    return !m_storeQueue.empty() || m_fleetPlanner.hasChangedWaves() || m_fleetOrders.isDirty() || m_lateStartsDirty || !m_rowsToDelete.empty();
}

std::optional<commit_batch> scheduler::takeBatch(time_ms now)
{
    if (!hasUnstoredChanges()) {
        return std::nullopt;
    }
    commit_batch batch;
    batch.number = ++m_lastBatch;
    m_jobsInBatch.clear();
    row_changes changes;
    while (changes.entries() < batchRoom.entries && changes.bytes < batchRoom.bytes) {
        const std::optional<std::string> next = m_storeQueue.takeNext();
        if (!next) {
            break;
        }
        job_record &job = *m_jobs.at(*next);
        job.batch = batch.number;
        m_jobsInBatch.push_back(*next);
        if (!takeRows(job, batch.number, changes, now)) {
            m_storeQueue.add(*next, row_wait::StartOrEnd);
            break;
        }
    }
    takeWaveRows(changes);
    batch.rows = std::move(changes.rows);
    batch.deletedKeys = std::move(changes.deletedKeys);
    if (m_fleetOrders.isDirty()) {
        batch.rows.emplace_back(fleetOrdersRowKey, m_fleetOrders.writeRow());
    }
    if (m_lateStartsDirty) {
        batch.rows.emplace_back(lateStartsRowKey, writeLateStarts(now));
    }
    const std::size_t deletes = std::min(m_rowsToDelete.size(), maxDeletesPerBatch);
    batch.deletedKeys.insert(batch.deletedKeys.end(), m_rowsToDelete.end() - static_cast<std::ptrdiff_t>(deletes), m_rowsToDelete.end());
    m_rowsToDelete.resize(m_rowsToDelete.size() - deletes);
    return batch;
}

void scheduler::takeWaveRows(row_changes &changes)
{
    for (std::size_t taken = 0; taken < maxWaveRowsPerBatch && changes.bytes < batchRoom.bytes; ++taken) {
        std::optional<std::pair<std::string, std::string>> row = m_fleetPlanner.takeChangedRow();
        if (!row) {
            return;
        }
        changes.bytes += row->second.size();
        changes.rows.push_back(std::move(*row));
    }
}

bool scheduler::takeRows(job_record &job, std::int64_t batch, row_changes &changes, time_ms now)
{
    job_rows &rows = m_jobRows[job.spec.id];
    const bool leftCheckpointsOut = rows.leavesCheckpointsOut();
    rows_taken taken = rows.takeChanges(job, batch, m_bounds.rowBytes, batchRoom, changes);
    if (rows.leavesCheckpointsOut() && !leftCheckpointsOut) {
        logEvent("checkpoints_not_stored", {{"request", job.spec.id}, {"reason", "too_long"}});
    }
    if (taken == rows_taken::TooLong) {
        setAside(job, now, "state_too_long");
        taken = rows_taken::Part;
    }
    job.dirty = taken != rows_taken::All;
    if (!rows.isInUse()) {
        m_jobRows.erase(job.spec.id);
    }
    return taken == rows_taken::All;
}

void scheduler::setAside(job_record &job, time_ms now, std::string_view cause)
{
    job_rows &rows = m_jobRows[job.spec.id];
    if (rows.isSetAside()) {
        return;
    }
    rows.setAside();
    ++m_counts.jobsSetAside;
    logEvent("job_set_aside", {{"request", job.spec.id}, {"reason", std::string(cause)}, {"phase", std::string(nameOf(job.phase))}});
    if (job.ended()) {
        markDirty(job);
    } else {
        ++m_counts.failedJobs;
        finishJob(job, job_phase::Failed, now);
    }
}

void scheduler::on(const batch_committed &what, time_ms now)
{
    m_lastCommittedBatch = what.batch;
    for (const std::string &key : what.refusedKeys) {
        const auto job = m_jobs.find(std::string(jobOfRow(key)));
        if (job != m_jobs.end()) {
            setAside(*job->second, now, "refused_by_store");
        }
    }
    const std::vector<std::string> stored = std::move(m_jobsInBatch);
    m_jobsInBatch.clear();
    m_placementPending = m_placementPending || std::exchange(m_placementsHeldBack, false);
    for (const std::string &id : stored) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            emitStarts(*found->second, what.batch, now);
        }
    }
    acknowledgeStored();
    // Refused fleet orders stay unsent; they go into the next row, which is due when one of them expires or is added.
    if (std::find(what.refusedKeys.begin(), what.refusedKeys.end(), fleetOrdersRowKey) == what.refusedKeys.end()) {
        m_fleetOrders.rowStored();
        sendFleetOrders(now);
    }
}

void scheduler::on(const lease_renewed &what, time_ms)
{
    m_renewedAt = std::max(m_renewedAt, what.sentAt);
}

void scheduler::emitStarts(job_record &job, std::int64_t batch, time_ms now)
{
    job.forEachPlacedIn(task_phase::Placing, [&](const task_id &id, task_record &task) {
        if (task.batch == 0 || task.batch > batch) {
            return;
        }
        executor_record &executor = executorFor(task.executor, now);
        const time_ms leaseMs = grantableLeaseMs(now);
        if (!executor.isResponsive() || leaseMs == 0) {
            // The start order was not sent, so the run doesn't exist.
            markRunLost(job, id, task, now, leaseMs == 0 ? "lease_not_renewed" : "executor_silent_before_start");
            return;
        }
        if (!job.spec.steps[static_cast<std::size_t>(id.step)].countedDemand().isWithin(executor.freeCapacity())) {
            // The executor's capacity has shrunk since the placement.
            markRunLost(job, id, task, now, "capacity_shrunk_before_start");
            return;
        }
        const step_spec &stepSpec = job.spec.steps[static_cast<std::size_t>(id.step)];
        if (m_tenants.isInUse() && !stepSpec.gang && m_tenants.isAboveCap(job.tenant, stepSpec.demand)) {
            // After the placement the tenant's cap was lowered, or a run was found that its executor lists unexpectedly. Members of a gang start
            // all the same: part of a gang does no work.
            markRunLost(job, id, task, now, "tenant_above_cap_before_start");
            return;
        }
        const step_record &step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
        const auto ticket = step.tickets.find(task.executor);
        if (ticket != step.tickets.end() && ticket->second.validUntil <= now) {
            // The executor would refuse the start. The next placement asks for a new ticket.
            markRunLost(job, id, task, now, "ticket_expired_before_start");
            return;
        }
        task.phase = task_phase::Starting;
        task.startSentAt = now;
        task.resumed = !task.checkpoint.empty();
        executor.lastLeaseGrantAt = now;
        ++m_counts.started;
        start_run order;
        order.task = id;
        order.run = task.run;
        order.executor = task.executor;
        order.address = executor.entry.address;
        order.startedUnixMs = executor.entry.startedUnixMs;
        order.restarts = executor.restarts;
        order.payload = job.spec.payload;
        order.checkpoint = task.checkpoint;
        if (ticket != step.tickets.end()) {
            order.ticket = ticket->second.ticket;
        }
        order.leaseEndMs = executor.clockAtTime(now) + leaseMs;
        m_actions.push_back(std::move(order));
    });
}

void scheduler::on(const tick &what, time_ms now)
{
    m_unixMs = std::max(m_unixMs, what.unixMs);
    if (!m_vms.empty() && m_fleetPacer.isDue(now)) {
        makePass("fleet", m_fleetPacer, now, [&] {
            planFleet(now);
        });
    }
    if (m_sweepPacer.isDue(now)) {
        makePass("sweep", m_sweepPacer, now, [&] {
            sweep(now, what.unixMs);
        });
    }
}

void scheduler::sweep(time_ms now, std::int64_t unixMs)
{
    m_placementPending = true;
    for (const std::string &id : m_repeatingJobs) {
        job_record &job = *m_jobs.at(id);
        job.openDueOccurrences(unixMs);
        addToBacklog(job);
    }
    expireUnresponsive(now);
    settleDeferredEnds(now);
    giveUpCrashingTasks(now);
    resendStops(now);
    handleOverdueAdvice(now);
    watchProgress(now);
    reviewInterference(now);
    markAllPollsDue();
    if (now - m_lastCleanup >= cleanupIntervalMs) {
        m_lastCleanup = now;
        logLongWaits(now);
        logEndedHolds(now);
        m_crashWatch.forgetOld(now);
        trimEndedJobs(now);
        deleteOldSubmissions(now);
        m_entryVersions.forgetGone(
            [this](const std::string &executor) {
                return m_executors.contains(executor) || m_unusedEntries.contains(executor);
            },
            now);
    }
}

std::map<queue_key, std::int64_t> scheduler::waitingJobs() const
{
    std::map<queue_key, std::int64_t> waiting;
    for (const std::string &id : m_activeJobs) {
        const job_record &job = *m_jobs.at(id);
        if (!job.begun && job.spec.repeatCount == 0) {
            ++waiting[job.spec.queue];
        }
    }
    return waiting;
}

} // namespace daisypass::sched
