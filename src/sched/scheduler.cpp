#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// The store takes 100 entries a transaction, conditions and deletes included; a dozen are for the lease and the fleet.
constexpr std::size_t mostRowsPerBatch = 80;
// Keeps a transaction well below the store's 1 MB after base64.
constexpr std::size_t mostBytesPerBatch = 400'000;
// Rows deleted with one batch, so that cleaning up never crowds out progress.
constexpr std::size_t mostDeletesPerBatch = 8;
// Clean-up looks for what can be forgotten this often.
constexpr time_ms cleanEveryMs = 1'000;
// Submissions deleted with one order; a store's transaction takes 100 entries, and a job has two.
constexpr std::size_t mostDropsAtOnce = 40;
// An order to delete submissions that isn't answered is repeated after this time.
constexpr time_ms repeatDropMs = 5'000;
// A read of the submissions that began before their deletion is over within this time.
constexpr time_ms droppedKeepMs = 30'000;
// Silent executors, unanswered stops and runs without progress are looked for this often.
constexpr time_ms sweepEveryMs = 100;
// Placements closer together than this share one pass and mostly one transaction, which takes as long.
constexpr time_ms placeEveryMs = 4;
// Longest lease that is asked for. It outlives a change of the lease's holder, and a run on an executor that has left is placed
// again within six seconds.
constexpr time_ms longestLeaseMs = 5'500;

// Beyond the platform's time between two holders that are both alive.
constexpr time_ms fleetOrderSlackMs = 200;

bounds withShortLeases(bounds limits)
{
    limits.maxLeaseMs = std::min<std::int64_t>(limits.maxLeaseMs, longestLeaseMs);
    return limits;
}

} // namespace

scheduler::scheduler(bounds limits, const term_times &term)
    : m_bounds(withShortLeases(limits))
    , m_term(term)
    , m_renewedAt(term.acquiredAt)
    , m_fleet(limits)
    , m_fleetOrders(limits.leaseMs + fleetOrderSlackMs)
{
}

scheduler::~scheduler() = default;

void scheduler::note(std::string event, note_fields fields)
{
    m_actions.push_back(decision_note{std::move(event), std::move(fields)});
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
    if (m_placeWanted && now - m_placedAt >= placeEveryMs) {
        m_placeWanted = false;
        m_placedAt = now;
        place(now);
    }
    sendHolds(now);
}

std::optional<time_ms> scheduler::plannedAt() const
{
    if (!m_placeWanted || m_backlog.empty()) {
        return std::nullopt;
    }
    return m_placedAt + placeEveryMs;
}

bool scheduler::restore(const job_spec &spec, const std::string &row, time_ms now)
{
    std::unique_ptr<job_record> job = std::make_unique<job_record>(spec);
    job->acceptedAt = now;
    if (row.empty()) {
        job->openDueOccurrences(spec.repeatCount > 0 ? 0 : spec.acceptedUnixMs);
    } else if (!readState(row, *job)) {
        note("state_row_unreadable", {{"request", spec.id}});
        return false;
    }
    job_record &restored = *job;
    m_jobs[spec.id] = std::move(job);
    restored.forEachOccupying([&](const task_id &id, task_record &task) {
        occupy(id, restored.spec.steps[static_cast<std::size_t>(id.step)], executorFor(task.executor, now));
    });
    if (!restored.ended()) {
        m_open.insert(spec.id);
        if (spec.repeatCount > 0) {
            m_repeating.insert(spec.id);
        }
        addToBacklog(restored);
    } else {
        restored.endedAt = now;
        m_ended.push_back(spec.id);
        if (restored.anyOccupying()) {
            m_stopping.insert(spec.id);
        }
    }
    return true;
}

void scheduler::restoreWave(std::string_view row)
{
    m_fleet.readRow(row);
}

bool scheduler::restoreFleetOrders(std::string_view row, time_ms now)
{
    if (!m_fleetOrders.readPredecessorRow(row, now)) {
        return false;
    }
    for (const upkeep_vm &upkeep : m_fleetOrders.predecessorUpkeep()) {
        m_fleet.predecessorUpkeep(upkeep.wave, upkeep.vm, now);
    }
    return true;
}

const queue_config *scheduler::queueOf(const job_record &job) const
{
    const auto found = m_queues.find(job.spec.queue);
    return found == m_queues.end() ? nullptr : &found->second;
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
    for (const queue_config &queue : what.view.queues) {
        m_queues[queue.key] = queue;
    }
    m_pools.clear();
    for (const pool_config &pool : what.view.pools) {
        m_pools[pool.name] = pool;
    }
}

void scheduler::on(const job_submitted &what, time_ms now)
{
    // A page of the table that was read before the deletion may still bring a dropped one.
    if (m_jobs.contains(what.job.id) || m_dropped.contains(what.job.id)) {
        return;
    }
    std::unique_ptr<job_record> job = std::make_unique<job_record>(what.job);
    job->acceptedAt = now;
    job->openDueOccurrences(what.job.repeatCount > 0 ? m_unixMs : what.job.acceptedUnixMs);
    m_open.insert(what.job.id);
    if (what.job.repeatCount > 0) {
        m_repeating.insert(what.job.id);
    }
    if (what.job.repeatCount == 0) {
        m_arrivals[poolOf(*job)].add(workOf(what.job), now);
    }
    job_record &added = *m_jobs.emplace(what.job.id, std::move(job)).first->second;
    addToBacklog(added);
}

void scheduler::addToBacklog(job_record &job)
{
    m_placeWanted = true;
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
    note("job_cancelled", {{"request", what.job}});
    finishJob(*found->second, job_phase::Cancelled, now);
}

void scheduler::finishJob(job_record &job, job_phase phase, time_ms now)
{
    job.phase = phase;
    job.endedAt = now;
    m_open.erase(job.spec.id);
    m_repeating.erase(job.spec.id);
    m_ended.push_back(job.spec.id);
    job.forEachOccupying([&](const task_id &id, task_record &task) {
        if (task.phase == task_phase::Placing) {
            // Its order was not sent and now never is.
            release(id, job.spec.steps[static_cast<std::size_t>(id.step)], task, now);
        } else {
            requestStop(id, task, now, nameOf(phase));
        }
    });
    if (job.anyOccupying()) {
        m_stopping.insert(job.spec.id);
    }
    markDirty(job);
}

void scheduler::markDirty(job_record &job)
{
    job.dirty = true;
    m_dirty.insert(job.spec.id);
}

bool scheduler::hasUnstored() const
{
    return !m_dirty.empty() || m_waveRowDirty || m_fleetOrders.isDirty() || !m_deletedRows.empty();
}

std::optional<commit_batch> scheduler::takeBatch(time_ms now)
{
    if (!hasUnstored()) {
        return std::nullopt;
    }
    commit_batch batch;
    batch.number = ++m_batch;
    m_batchJobs.clear();
    std::size_t bytes = 0;
    while (!m_dirty.empty() && batch.rows.size() < mostRowsPerBatch && bytes < mostBytesPerBatch) {
        const std::string id = *m_dirty.begin();
        m_dirty.erase(m_dirty.begin());
        job_record &job = *m_jobs.at(id);
        job.dirty = false;
        job.batch = batch.number;
        job.forEachOccupying([&](const task_id &, task_record &task) {
            if (task.phase == task_phase::Placing && task.batch == 0) {
                task.batch = batch.number;
            }
        });
        batch.rows.emplace_back(id, writeState(job));
        bytes += batch.rows.back().second.size();
        m_batchJobs.push_back(id);
    }
    if (m_waveRowDirty) {
        batch.rows.emplace_back(wavesRowKey, m_fleet.writeRow());
        m_waveRowDirty = false;
    }
    if (m_fleetOrders.isDirty()) {
        batch.rows.emplace_back(fleetOrdersRowKey, m_fleetOrders.writeRow());
    }
    const std::size_t deletes = std::min(m_deletedRows.size(), mostDeletesPerBatch);
    batch.deletedKeys.assign(m_deletedRows.end() - static_cast<std::ptrdiff_t>(deletes), m_deletedRows.end());
    m_deletedRows.resize(m_deletedRows.size() - deletes);
    return batch;
}

void scheduler::on(const batch_committed &what, time_ms now)
{
    m_committed = what.batch;
    const std::vector<std::string> stored = std::move(m_batchJobs);
    m_batchJobs.clear();
    for (const std::string &id : stored) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            emitStarts(*found->second, what.batch, now);
        }
    }
    acknowledgeStored();
    m_fleetOrders.rowStored();
    sendFleetOrders();
}

void scheduler::on(const lease_renewed &what, time_ms)
{
    m_renewedAt = std::max(m_renewedAt, what.sentAt);
}

void scheduler::emitStarts(job_record &job, std::int64_t batch, time_ms now)
{
    job.forEachOccupying([&](const task_id &id, task_record &task) {
        if (task.phase != task_phase::Placing || task.batch == 0 || task.batch > batch) {
            return;
        }
        executor_record &executor = executorFor(task.executor, now);
        const time_ms leaseMs = grantMs(now);
        if (!executor.answers() || leaseMs == 0) {
            // Nothing was sent, so nothing runs.
            loseRun(job, id, task, now, leaseMs == 0 ? "lease_not_renewed" : "executor_silent_before_start");
            return;
        }
        task.phase = task_phase::Starting;
        task.startSentAt = now;
        task.resumed = !task.checkpoint.empty();
        executor.lastGrantAt = now;
        ++m_counts.started;
        start_run order;
        order.task = id;
        order.run = task.run;
        order.executor = task.executor;
        order.address = executor.entry.address;
        order.bornUnixMs = executor.entry.bornUnixMs;
        order.payload = job.spec.payload;
        order.checkpoint = task.checkpoint;
        const std::map<std::string, advice_ticket> &tickets = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tickets;
        const auto ticket = tickets.find(task.executor);
        if (ticket != tickets.end()) {
            order.ticket = ticket->second.ticket;
        }
        order.leaseEndMs = executor.clockAtTime(now) + leaseMs;
        m_actions.push_back(std::move(order));
    });
}

void scheduler::on(const tick &what, time_ms now)
{
    m_unixMs = std::max(m_unixMs, what.unixMs);
    planFleet(now);
    if (now - m_lastSweep < sweepEveryMs) {
        return;
    }
    m_lastSweep = now;
    m_placeWanted = true;
    for (const std::string &id : m_repeating) {
        job_record &job = *m_jobs.at(id);
        job.openDueOccurrences(what.unixMs);
        addToBacklog(job);
    }
    expireSilent(now);
    resendStops(now);
    watchProgress(now);
    sweepHolds();
    if (now - m_lastClean >= cleanEveryMs) {
        m_lastClean = now;
        dropOldJobs(now);
        m_entryVersions.forgetGone(
            [this](const std::string &executor) {
                return m_executors.contains(executor);
            },
            now);
    }
}

// A submission without a state row is one to which nothing has happened, so the state is deleted only after the submission.
void scheduler::dropOldJobs(time_ms now)
{
    std::erase_if(m_dropped, [&](const std::pair<const std::string, time_ms> &job) {
        return job.second + droppedKeepMs < now;
    });
    // Twice the time for which callers may ask, so that a takeover in between doesn't shorten it.
    const time_ms keep = 2 * m_bounds.statusKeepMs;
    drop_jobs order;
    for (const std::string &id : m_ended) {
        job_record &job = *m_jobs.at(id);
        if (job.endedAt + keep >= now || order.jobs.size() >= mostDropsAtOnce) {
            break;
        }
        const bool settled = !job.dirty && job.batch <= m_committed && !m_stopping.contains(id);
        if (settled && (job.deletionRequestedAt == 0 || job.deletionRequestedAt + repeatDropMs < now)) {
            job.deletionRequestedAt = now;
            order.jobs.push_back(id);
        }
    }
    if (!order.jobs.empty()) {
        m_actions.push_back(std::move(order));
    }
}

void scheduler::on(const jobs_dropped &what, time_ms now)
{
    const std::set<std::string> dropped(what.jobs.begin(), what.jobs.end());
    std::erase_if(m_ended, [&](const std::string &id) {
        return dropped.contains(id);
    });
    for (const std::string &id : dropped) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        m_dropped[id] = now;
        m_deletedRows.push_back(id);
        std::erase(m_backlog, found->second.get());
        m_jobs.erase(found);
    }
}

std::map<queue_key, std::int64_t> scheduler::waitingJobs() const
{
    std::map<queue_key, std::int64_t> waiting;
    for (const std::string &id : m_open) {
        const job_record &job = *m_jobs.at(id);
        if (job.phase == job_phase::Pending && job.spec.repeatCount == 0) {
            ++waiting[job.spec.queue];
        }
    }
    return waiting;
}

} // namespace daisypass::sched
