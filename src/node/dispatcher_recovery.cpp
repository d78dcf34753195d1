// Recovery at the start of a term: reads the stored rows, restores the scheduler from them, and starts the change feeds.

#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/store_limits.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds feedWait{1'500};
// The counts of waiting jobs are as old as the job feed's latest answer, and should be at most two seconds old.
constexpr std::chrono::milliseconds jobFeedWait{800};

// Removes the key's value from the map and returns it; a default one if there is none.
template<typename Value>
Value take(std::map<std::string, Value> &values, const std::string &key)
{
    typename std::map<std::string, Value>::node_type found = values.extract(key);
    return found ? std::move(found.mapped()) : Value{};
}

} // namespace

void dispatcher::start()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_recovery->pendingReads = tables::jobParts + 1;
    for (std::size_t part = 0; part < tables::jobParts; ++part) {
        readPages({tables::jobs, std::to_string(part), "", ""}, &dispatcher::onJobRow);
    }
    readPages({tables::state, tables::holderPart, "", ""}, &dispatcher::onStateRow);
}

void dispatcher::readPages(const row_range &range, void (dispatcher::*onRow)(const store_row &))
{
    m_dependencies.store.get(range, holderReadTimeout, [weak = weak_from_this(), range, onRow](const rows_result &result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        if (self->m_stopped) {
            return;
        }
        if (result.status != store_status::Ok) {
            self->logReadFailure(range.table, result.status);
            self->m_dependencies.runAfter(holderReadRetryDelay, [weak, range, onRow] {
                if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                    again->readPages(range, onRow);
                }
            });
            return;
        }
        self->m_recovery->version = std::min(self->m_recovery->version, result.version);
        for (const store_row &row : result.rows) {
            (self.get()->*onRow)(row);
        }
        if (const std::optional<row_range> next = nextPage(range, result)) {
            self->readPages(*next, onRow);
        } else {
            self->onReadDone(guard);
        }
    });
}

void dispatcher::onStateRow(const store_row &row)
{
    const std::string &key = row.key.key;
    const std::string owner(sched::jobOfRow(key));
    if (key == tables::sequenceKey) {
        m_sequenceVersion = row.version;
    } else if (owner == sched::wavesRowKey) {
        m_scheduler.restoreWave(key, row.value);
    } else if (key == sched::fleetOrdersRowKey) {
        restoreFleetOrders(row);
    } else if (key == sched::lateStartsRowKey) {
        m_scheduler.restoreLateStarts(row.value, steadyMillis());
    } else if (owner != key) {
        m_recovery->taskRows[owner][key] = row.value;
    } else {
        m_recovery->stateRows[key] = row.value;
    }
}

void dispatcher::restoreFleetOrders(const store_row &row)
{
    if (!m_scheduler.restoreFleetOrders(row.value, steadyMillis())) {
        logEvent("fleet_orders_unreadable", {{"term", m_term.term}, {"row", row.value}});
    }
}

void dispatcher::logReadFailure(std::string_view table, store_status status) const
{
    logEvent("recovery_read_failed",
             {{"term", m_term.term}, {"table", table}, {"reason", nameOf(status)}, {"since_term_ms", steadyMillis() - m_recovery->startedAt}});
}

void dispatcher::onReadDone(std::unique_lock<std::mutex> &guard)
{
    if (--m_recovery->pendingReads == 0) {
        finishRecovery();
        runScheduler(guard);
    }
}

// What was read of a job is freed before the next one is restored, as all jobs together may take much of the machine's memory.
void dispatcher::restoreNextJob(sched::time_ms now)
{
    const std::map<std::string, sched::job_spec>::node_type job = m_recovery->jobs.extract(m_recovery->jobs.begin());
    const std::string state = take(m_recovery->stateRows, job.key());
    const std::map<std::string, std::string> taskRows = take(m_recovery->taskRows, job.key());
    m_scheduler.restore(job.mapped(), state, now, taskRows);
}

void dispatcher::finishRecovery()
{
    const sched::time_ms now = steadyMillis();
    const std::size_t jobs = m_recovery->jobs.size();
    const std::size_t stateRows = m_recovery->stateRows.size();
    while (!m_recovery->jobs.empty()) {
        restoreNextJob(now);
    }
    m_recovered = true;
    for (const std::string &job : m_recovery->cancelledJobs) {
        m_scheduler.handle(sched::job_cancelled{job}, now);
    }
    logEvent("term_recovered", {{"term", m_term.term}, {"jobs", jobs}, {"state_rows", stateRows}, {"took_ms", now - m_recovery->startedAt}});
    const std::int64_t recoveredVersion = m_recovery->version;
    m_recovery.reset();
    for (const sched::event &event : m_eventsBeforeRecovery) {
        m_scheduler.handle(event, now);
    }
    m_eventsBeforeRecovery.clear();
    startFeeds(recoveredVersion);
}

// The job feed starts at the lowest version of the pages that were read, so it may repeat changes that they contain.
void dispatcher::startFeeds(std::int64_t recoveredVersion)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<table_feed_handlers(void(dispatcher::*)(const store_row &))> handlersFor = [weak](void (dispatcher::*onRow)(const store_row &)) {
        table_feed_handlers handlers;
        handlers.rowChanged = [weak, onRow](const store_row &row) {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                const std::lock_guard<std::mutex> guard(self->m_lock);
                if (!self->m_stopped) {
                    (self.get()->*onRow)(row);
                }
            }
        };
        handlers.snapshotComplete = [] {
        };
        handlers.batchApplied = [weak] {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                std::unique_lock<std::mutex> guard(self->m_lock);
                self->runScheduler(guard);
            }
        };
        handlers.storeReached = [](bool) {
        };
        return handlers;
    };
    std::vector<std::string> jobParts;
    jobParts.reserve(tables::jobParts);
    for (int part = 0; part < tables::jobParts; ++part) {
        jobParts.push_back(std::to_string(part));
    }
    table_feed_handlers jobHandlers = handlersFor(&dispatcher::onJobRow);
    jobHandlers.caughtUp = [weak](std::int64_t storeMs) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            const std::lock_guard<std::mutex> guard(self->m_lock);
            self->m_jobsCompleteUntil = storeMs;
        }
    };
    m_jobFeed = std::make_unique<table_feed>(m_dependencies.store, m_dependencies.runAfter, tables::jobs, jobParts, jobFeedWait, std::move(jobHandlers));
    m_executorFeed = std::make_unique<table_feed>(
        m_dependencies.store, m_dependencies.runAfter, executorTable, std::vector<std::string>{""}, feedWait, handlersFor(&dispatcher::onExecutorRow));
    m_nodeFeed = std::make_unique<table_feed>(
        m_dependencies.store, m_dependencies.runAfter, tables::nodes, std::vector<std::string>{""}, feedWait, handlersFor(&dispatcher::onNodeRow));
    m_nodeFeed->start();
    m_jobFeed->startAfter(recoveredVersion);
    m_executorFeed->start();
}

} // namespace daisypass
