// The begin of a term: what is stored is read, the scheduler is filled with it, and the tables are followed from there.

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

} // namespace

void dispatcher::start()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_recovery->readsLeft = tables::jobParts + 1;
    for (std::size_t part = 0; part < tables::jobParts; ++part) {
        readJobs(part, "");
    }
    readState("");
}

void dispatcher::readJobs(std::size_t part, const std::string &from)
{
    const std::string partName = std::to_string(part);
    m_services.store.get({tables::jobs, partName, from, ""}, holderReadTimeout, [weak = weak_from_this(), part, from](rows_result result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        if (self->m_stopped) {
            return;
        }
        if (result.status != store_status::Ok) {
            self->noteReadFailed(tables::jobs, result.status);
            self->m_services.later(holderReadRetry, [weak, part, from] {
                if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                    again->readJobs(part, from);
                }
            });
            return;
        }
        for (const store_row &row : result.rows) {
            self->onJobRow(row);
        }
        if (result.more && !result.rows.empty()) {
            self->readJobs(part, result.rows.back().key.key + '!');
        } else {
            self->onReadDone(guard);
        }
    });
}

void dispatcher::readState(const std::string &from)
{
    m_services.store.get({tables::state, tables::holderPart, from, ""}, holderReadTimeout, [weak = weak_from_this(), from](rows_result result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        if (self->m_stopped) {
            return;
        }
        if (result.status != store_status::Ok) {
            self->noteReadFailed(tables::state, result.status);
            self->m_services.later(holderReadRetry, [weak, from] {
                if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                    again->readState(from);
                }
            });
            return;
        }
        for (store_row &row : result.rows) {
            if (row.key.key == tables::sequenceKey) {
                self->m_sequenceVersion = row.version;
            } else if (row.key.key == sched::wavesRowKey) {
                self->m_scheduler.restoreWave(row.value);
            } else if (row.key.key == sched::fleetOrdersRowKey) {
                self->restoreFleetOrders(row);
            } else {
                self->m_recovery->states[row.key.key] = std::move(row.value);
            }
        }
        if (result.more && !result.rows.empty()) {
            self->readState(result.rows.back().key.key + '!');
            return;
        }
        self->onReadDone(guard);
    });
}

void dispatcher::restoreFleetOrders(const store_row &row)
{
    if (!m_scheduler.restoreFleetOrders(row.value, m_term.earlierHolderMayLive, steadyMillis())) {
        logChange("fleet_orders_unreadable", {{"term", m_term.term}, {"row", row.value}});
    }
}

void dispatcher::noteReadFailed(std::string_view table, store_status status) const
{
    logChange("recovery_read_failed",
              {{"term", m_term.term}, {"table", table}, {"reason", nameOf(status)}, {"since_term_ms", steadyMillis() - m_recovery->beganAt}});
}

void dispatcher::onReadDone(std::unique_lock<std::mutex> &guard)
{
    if (--m_recovery->readsLeft == 0) {
        finishRecovery();
        pump(guard);
    }
}

void dispatcher::finishRecovery()
{
    const sched::time_ms now = steadyMillis();
    for (const std::pair<const std::string, sched::job_spec> &job : m_recovery->jobs) {
        const auto state = m_recovery->states.find(job.first);
        m_scheduler.restore(job.second, state == m_recovery->states.end() ? std::string() : state->second, now);
    }
    m_recovered = true;
    for (const std::string &job : m_recovery->cancelled) {
        m_scheduler.handle(sched::job_cancelled{job}, now);
    }
    logChange("term_recovered",
              {{"term", m_term.term}, {"jobs", m_recovery->jobs.size()}, {"state_rows", m_recovery->states.size()}, {"took_ms", now - m_recovery->beganAt}});
    m_recovery.reset();
    for (const sched::event &what : m_waitingEvents) {
        m_scheduler.handle(what, now);
    }
    m_waitingEvents.clear();
    followTables();
}

void dispatcher::followTables()
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<table_feed_handlers(void(dispatcher::*)(const store_row &))> handlersFor = [weak](void (dispatcher::*onRow)(const store_row &)) {
        table_feed_handlers handlers;
        handlers.changed = [weak, onRow](const store_row &row) {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                const std::lock_guard<std::mutex> guard(self->m_lock);
                if (!self->m_stopped) {
                    (self.get()->*onRow)(row);
                }
            }
        };
        handlers.complete = [] {
        };
        handlers.applied = [weak] {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                std::unique_lock<std::mutex> guard(self->m_lock);
                self->pump(guard);
            }
        };
        handlers.reached = [](bool) {
        };
        return handlers;
    };
    std::vector<std::string> jobParts;
    jobParts.reserve(tables::jobParts);
    for (int part = 0; part < tables::jobParts; ++part) {
        jobParts.push_back(std::to_string(part));
    }
    m_jobFeed = std::make_unique<table_feed>(m_services.store, m_services.later, tables::jobs, jobParts, feedWait, handlersFor(&dispatcher::onJobRow));
    m_executorFeed = std::make_unique<table_feed>(
        m_services.store, m_services.later, executorTable, std::vector<std::string>{""}, feedWait, handlersFor(&dispatcher::onExecutorRow));
    m_nodeFeed = std::make_unique<table_feed>(
        m_services.store, m_services.later, tables::nodes, std::vector<std::string>{""}, feedWait, handlersFor(&dispatcher::onNodeRow));
    m_nodeFeed->start();
    m_jobFeed->start();
    m_executorFeed->start();
}

} // namespace daisypass
