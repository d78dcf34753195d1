#include "node/dispatcher.h"

#include "base/log.h"
#include "node/clock.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds readTimeout{2'000};
constexpr std::chrono::milliseconds commitTimeout{1'500};
constexpr std::chrono::milliseconds feedWait{1'500};
constexpr std::chrono::milliseconds readRetry{150};
constexpr sched::time_ms commitRetryMs = 60;
// The lease is renewed with a batch after this time, and alone after the longer one.
constexpr sched::time_ms renewWithBatchMs = 350;
constexpr sched::time_ms renewAloneMs = 500;
// Orders to the fleet are sent only this soon after a stored renewal, well before others may take the lease.
constexpr sched::time_ms renewalFreshMs = 1'500;
constexpr sched::time_ms publishQueuesMs = 1'000;
constexpr sched::time_ms listVmsMs = 900;
// Beyond the platform's time between two holders that are both alive.
constexpr sched::time_ms fleetQuietSlackMs = 200;

std::string queueKeyText(const sched::queue_key &queue)
{
    return queue.host + queue.prefix;
}

} // namespace

// Rows read while the term begins.
struct dispatcher::recovery
{
    std::map<std::string, sched::job_spec> jobs{};
    std::map<std::string, std::string> states{};
    std::vector<std::string> cancelled{};
    int readsLeft = 0;
    sched::time_ms beganAt = 0;
};

dispatcher::dispatcher(dispatcher_services services, const node_settings &settings, held_term term, std::function<void()> lost)
    : m_services(std::move(services))
    , m_settings(settings)
    , m_term(std::move(term))
    , m_lost(std::move(lost))
    , m_scheduler(settings.bounds, steadyMillis(), m_term.earlierHolderMayLive ? settings.bounds.leaseMs + fleetQuietSlackMs : 0)
    , m_recovery(std::make_unique<recovery>())
    , m_relays(std::make_shared<relay_pool>(m_services.client, m_services.later, m_term.node + '.' + std::to_string(m_term.term), m_term.node))
    , m_executors([relays = m_relays](http_call call, std::function<void(http_result)> done) {
        relays->send(std::move(call), std::move(done));
    })
    , m_renewedAt(steadyMillis())
{
    m_recovery->beganAt = steadyMillis();
}

dispatcher::~dispatcher() = default;

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
    m_services.store.get({tables::jobs, partName, from, ""}, readTimeout, [weak = weak_from_this(), part, from](rows_result result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        if (self->m_stopped) {
            return;
        }
        if (result.status != store_status::Ok) {
            self->m_services.later(readRetry, [weak, part, from] {
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
    m_services.store.get({tables::state, tables::holderPart, from, ""}, readTimeout, [weak = weak_from_this(), from](rows_result result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        if (self->m_stopped) {
            return;
        }
        if (result.status != store_status::Ok) {
            self->m_services.later(readRetry, [weak, from] {
                if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                    again->readState(from);
                }
            });
            return;
        }
        for (store_row &row : result.rows) {
            if (row.key.key == tables::sequenceKey) {
                self->m_sequenceVersion = row.version;
            } else if (row.key.key == tables::wavesKey) {
                self->m_scheduler.restoreWave(row.value);
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

void dispatcher::onJobRow(const store_row &row)
{
    const std::string &key = row.key.key;
    if (row.deleted) {
        return;
    }
    if (key.ends_with(tables::cancelSuffix)) {
        const std::string job = key.substr(0, key.size() - tables::cancelSuffix.size());
        if (!m_recovered) {
            m_recovery->cancelled.push_back(job);
        } else {
            m_scheduler.handle(sched::job_cancelled{job}, steadyMillis());
        }
        return;
    }
    failure reason;
    std::optional<sched::job_spec> job = readJob(row.value, reason);
    if (!job) {
        logChange("job_row_unreadable", {{"request", key}, {"reason", describe(reason)}});
        return;
    }
    job->id = key;
    if (!m_recovered) {
        m_recovery->jobs[key] = std::move(*job);
    } else {
        m_scheduler.handle(sched::job_submitted{std::move(*job)}, steadyMillis());
    }
}

void dispatcher::offerJobRow(const store_row &row)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    onJobRow(row);
    pump(guard);
}

void dispatcher::onExecutorRow(const store_row &row)
{
    const sched::time_ms now = steadyMillis();
    if (row.deleted) {
        m_scheduler.handle(sched::executor_gone{row.key.key}, now);
        return;
    }
    failure reason;
    const std::optional<sched::executor_entry> entry = readExecutor(row.key.key, row.value, reason);
    if (!entry) {
        m_services.metrics.findCounter("daisypass_executor_entries_unreadable_total").add();
        m_scheduler.handle(sched::executor_gone{row.key.key}, now);
        return;
    }
    m_scheduler.handle(sched::executor_seen{*entry}, now);
}

void dispatcher::onNodeRow(const store_row &row)
{
    const std::optional<node_entry> entry = row.deleted ? std::nullopt : readNode(row.value);
    if (entry) {
        m_nodes[row.key.key] = *entry;
    } else {
        m_nodes.erase(row.key.key);
    }
    std::vector<node_entry> nodes;
    for (const std::pair<const std::string, node_entry> &node : m_nodes) {
        nodes.push_back(node.second);
    }
    m_relays->setNodes(std::move(nodes));
}

void dispatcher::feed(const sched::event &what)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    if (!m_recovered) {
        m_waitingEvents.push_back(what);
        return;
    }
    m_scheduler.handle(what, steadyMillis());
    pump(guard);
}

// Plans, stores what changed, and carries out what is due.
void dispatcher::pump(std::unique_lock<std::mutex> &guard)
{
    if (!m_recovered || m_stopped) {
        return;
    }
    m_scheduler.plan(steadyMillis());
    for (const sched::action &next : m_scheduler.takeActions()) {
        carryOut(next);
    }
    commitIfNeeded();
    if (m_lostTerm) {
        announceLoss(guard);
        return;
    }
    planLater();
}

// Events close together share one pass of the scheduler.
void dispatcher::planLater()
{
    const std::optional<sched::time_ms> planned = m_scheduler.plannedAt();
    if (!planned || m_planPending) {
        return;
    }
    m_planPending = true;
    const sched::time_ms delay = std::max<sched::time_ms>(1, *planned - steadyMillis());
    m_services.later(std::chrono::milliseconds(delay), [weak = weak_from_this()] {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            std::unique_lock<std::mutex> guard(self->m_lock);
            self->m_planPending = false;
            self->pump(guard);
        }
    });
}

void dispatcher::announceLoss(std::unique_lock<std::mutex> &guard)
{
    const std::function<void()> lost = std::exchange(m_lost, nullptr);
    guard.unlock();
    if (lost) {
        lost();
    }
}

void dispatcher::configure(const sched::configuration_view &view)
{
    feed(sched::configuration_changed{view});
}

void dispatcher::addWave(const sched::wave_request &wave)
{
    feed(sched::wave_requested{wave, unixMillis()});
}

void dispatcher::tick()
{
    m_relays->tick(steadyMillis());
    std::unique_lock<std::mutex> guard(m_lock);
    if (!m_recovered || m_stopped) {
        if (!m_stopped) {
            commitIfNeeded();
        }
        return;
    }
    const sched::time_ms now = steadyMillis();
    m_scheduler.handle(sched::tick{unixMillis()}, now);
    m_relays->setExecutors(m_scheduler.executors().size());
    if (!m_listingVms && now - m_vmsListedAt >= listVmsMs) {
        m_listingVms = true;
        m_vmPages.clear();
        listVms("");
    }
    pump(guard);
}

void dispatcher::stop()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_stopped = true;
    if (m_jobFeed) {
        m_jobFeed->stop();
    }
    if (m_executorFeed) {
        m_executorFeed->stop();
    }
    if (m_nodeFeed) {
        m_nodeFeed->stop();
    }
    m_relays->stop();
}

void dispatcher::release(bool stopping, std::function<void()> done)
{
    stop();
    row_transaction transaction;
    transaction.expects = {{tables::termRow(), m_term.termVersion}};
    transaction.puts = {{tables::holderRow(), sched::writeLease({m_term.node, m_term.incarnation, m_term.term, true, stopping})}};
    m_services.store.transact(transaction, commitTimeout, [done = std::move(done)](const transact_result &) {
        done();
    });
}

void dispatcher::loseTerm(std::string_view cause)
{
    if (m_lostTerm) {
        return;
    }
    m_lostTerm = true;
    m_stopped = true;
    if (m_jobFeed) {
        m_jobFeed->stop();
    }
    if (m_executorFeed) {
        m_executorFeed->stop();
    }
    if (m_nodeFeed) {
        m_nodeFeed->stop();
    }
    m_relays->stop();
    logChange("term_lost", {{"term", m_term.term}, {"cause", cause}});
}

// Storing.

bool dispatcher::renewalIsFresh() const
{
    return steadyMillis() - m_renewedAt < renewalFreshMs;
}

void dispatcher::commitIfNeeded()
{
    const sched::time_ms now = steadyMillis();
    if (m_commitInFlight || m_stopped) {
        return;
    }
    if (m_transaction) {
        if (now >= m_commitRetryAt) {
            sendCommit();
        }
        return;
    }
    const bool renewAlone = now - m_renewedAt >= renewAloneMs;
    const bool work = m_recovered && (m_scheduler.hasUnstored() || !m_statusPuts.empty());
    if (!work && !renewAlone) {
        return;
    }
    row_transaction transaction;
    transaction.expects = {{tables::termRow(), m_term.termVersion}};
    m_transactionBatch = 0;
    if (m_recovered) {
        transaction.expects.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, m_sequenceVersion});
        ++m_sequence;
        transaction.puts.push_back({{tables::state, tables::holderPart, tables::sequenceKey}, std::to_string(m_term.term) + '.' + std::to_string(m_sequence)});
        if (std::optional<sched::commit_batch> batch = m_scheduler.takeBatch(now)) {
            m_transactionBatch = batch->number;
            for (std::pair<std::string, std::string> &row : batch->rows) {
                transaction.puts.push_back({tables::stateRow(row.first), std::move(row.second)});
            }
            for (const std::string &key : batch->deletedKeys) {
                transaction.deletes.push_back(tables::stateRow(key));
            }
        }
        publishQueues(transaction);
    }
    m_transactionRenews = now - m_renewedAt >= renewWithBatchMs;
    if (m_transactionRenews) {
        transaction.puts.push_back({tables::holderRow(), sched::writeLease({m_term.node, m_term.incarnation, m_term.term, false, false})});
    }
    m_transaction = std::move(transaction);
    sendCommit();
}

void dispatcher::publishQueues(row_transaction &transaction)
{
    const sched::time_ms now = steadyMillis();
    if (now - m_queuesPublishedAt < publishQueuesMs || transaction.puts.size() + 10 > mostTransactionEntries) {
        return;
    }
    m_queuesPublishedAt = now;
    const std::map<sched::queue_key, std::int64_t> waiting = m_scheduler.waitingJobs();
    for (const std::pair<const sched::queue_key, std::int64_t> &queue : waiting) {
        const auto published = m_publishedWaiting.find(queue.first);
        if (published != m_publishedWaiting.end() && published->second == queue.second) {
            continue;
        }
        if (transaction.puts.size() + 5 > mostTransactionEntries) {
            return;
        }
        m_publishedWaiting[queue.first] = queue.second;
        transaction.puts.push_back({{tables::queues, tables::holderPart, queueKeyText(queue.first)}, std::to_string(queue.second)});
    }
    for (std::pair<const sched::queue_key, std::int64_t> &queue : m_publishedWaiting) {
        const bool empty = queue.second != 0 && !waiting.contains(queue.first) && transaction.puts.size() + 5 <= mostTransactionEntries;
        if (empty) {
            queue.second = 0;
            transaction.puts.push_back({{tables::queues, tables::holderPart, queueKeyText(queue.first)}, "0"});
        }
    }
}

void dispatcher::sendCommit()
{
    m_commitInFlight = true;
    m_commitSentAt = steadyMillis();
    m_services.store.transact(*m_transaction, commitTimeout, [weak = weak_from_this()](const transact_result &result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->onCommitted(result);
        }
    });
}

void dispatcher::onCommitted(const transact_result &result)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    m_commitInFlight = false;
    const sched::time_ms now = steadyMillis();
    m_services.metrics.findHistogram("daisypass_store_commit_seconds").record(static_cast<double>(now - m_commitSentAt) / 1'000.0);
    bool stored = result.status == store_status::Ok;
    std::int64_t version = result.version;
    if (result.status == store_status::Conflict) {
        // An earlier attempt whose answer was lost has stored it if the sequence row has this batch's number.
        const std::string own = std::to_string(m_term.term) + '.' + std::to_string(m_sequence);
        for (const store_row &row : result.rows) {
            if (row.key.key == tables::sequenceKey && row.value == own) {
                stored = true;
                version = row.version;
            }
        }
        if (!stored) {
            loseTerm("conditional write refused");
            announceLoss(guard);
            return;
        }
    }
    if (!stored) {
        m_services.metrics.findCounter("daisypass_store_commit_failures_total").add();
        m_commitRetryAt = now + commitRetryMs;
        return;
    }
    if (m_recovered && m_transaction->expects.size() > 1) {
        m_sequenceVersion = version;
    }
    if (m_transactionRenews) {
        m_renewedAt = m_commitSentAt;
    }
    m_transaction.reset();
    if (m_transactionBatch != 0) {
        m_scheduler.handle(sched::batch_committed{m_transactionBatch}, now);
    }
    pump(guard);
}

// Carrying out.

void dispatcher::carryOut(const sched::action &next)
{
    std::visit(
        [this](const auto &one) {
            carryOut(one);
        },
        next);
}

void dispatcher::carryOut(const sched::start_run &order)
{
    start_order call{order.task, order.run, order.payload, order.leaseEndMs, m_term.term, order.checkpoint, order.ticket};
    m_executors.start(
        {order.executor, order.address}, call, [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor](order_result result) {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                self->feed(sched::start_answered{task, run, executor, result.status, result.clockMs});
            }
        });
}

void dispatcher::carryOut(const sched::stop_run &order)
{
    m_executors.stop({order.executor, order.address},
                     order.task,
                     order.run,
                     m_term.term,
                     [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor](order_result result) {
                         if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                             self->feed(sched::stop_answered{task, run, executor, result.status});
                         }
                     });
}

void dispatcher::carryOut(const sched::pace_run &order)
{
    m_executors.pace({order.executor, order.address}, order.task, order.run, order.percent, m_term.term, [](order_result) {
        // The next list shows the effect; a lost pace is ordered again then.
    });
}

void dispatcher::carryOut(const sched::hold_executor &order)
{
    const hold_order call{m_term.term, order.acknowledged, order.leaseEndMs, std::chrono::milliseconds(order.waitMs)};
    m_executors.hold({order.executor, order.address}, call, [weak = weak_from_this(), executor = order.executor, sentAt = steadyMillis()](hold_result result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(
                sched::hold_answered{executor, result.status, sentAt, result.clockMs, result.bornUnixMs, std::move(result.runs), std::move(result.ends)});
        }
    });
}

void dispatcher::carryOut(const sched::ask_advice &order)
{
    if (!m_settings.advice) {
        return;
    }
    const std::string step = order.job + '.' + std::to_string(order.occurrence) + '.' + std::to_string(order.step);
    m_executors.advise(*m_settings.advice, step, order.executors, [weak = weak_from_this(), order](advice_result result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(
                sched::advice_answered{order.job, order.occurrence, order.step, result.status, order.executors, std::move(result.tickets), result.validMs});
        }
    });
}

void dispatcher::carryOut(const sched::move_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(sched::move_answered{order.vm, order.pool, status});
        }
    };
    if (!renewalIsFresh()) {
        m_services.later(std::chrono::milliseconds(1), [done] {
            done(fleet_status::Refused);
        });
        return;
    }
    m_services.fleet.move({m_term.node, m_term.term}, order.vm, order.pool, done);
}

void dispatcher::carryOut(const sched::upkeep_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(sched::upkeep_answered{order.vm, order.wave, status});
        }
    };
    if (!renewalIsFresh()) {
        m_services.later(std::chrono::milliseconds(1), [done] {
            done(fleet_status::Refused);
        });
        return;
    }
    m_services.fleet.upkeep({m_term.node, m_term.term}, order.vm, order.wave, done);
}

void dispatcher::carryOut(const sched::publish_wave &order)
{
    row_transaction transaction;
    transaction.puts = {{{statusTable, "", waveStatusKey(order.wave)}, waveStatusText(order.wave, order.completed)}};
    m_services.store.transact(transaction, commitTimeout, [weak = weak_from_this(), order](const transact_result &result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self || result.status == store_status::Ok) {
            return;
        }
        self->m_services.later(readRetry, [weak, order] {
            if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                const std::lock_guard<std::mutex> guard(again->m_lock);
                if (!again->m_stopped) {
                    again->carryOut(order);
                }
            }
        });
    });
}

void dispatcher::carryOut(const sched::step_down &order)
{
    loseTerm(order.evidence);
}

void dispatcher::carryOut(const sched::decision_note &note)
{
    std::vector<log_field> fields;
    fields.reserve(note.fields.size() + 1);
    for (const std::pair<std::string, std::string> &field : note.fields) {
        fields.emplace_back(field.first, field.second);
    }
    fields.emplace_back("term", m_term.term);
    logChange(note.event, fields);
}

void dispatcher::listVms(const std::string &page)
{
    m_services.fleet.list(page, [weak = weak_from_this()](const vm_page &answer) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->onVmPage(answer);
        }
    });
}

void dispatcher::onVmPage(const vm_page &page)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    if (page.status != fleet_status::Ok) {
        m_listingVms = false;
        m_vmsListedAt = steadyMillis();
        m_services.metrics.findCounter("daisypass_vm_list_failures_total").add();
        return;
    }
    m_vmPages.insert(m_vmPages.end(), page.vms.begin(), page.vms.end());
    if (!page.nextPage.empty()) {
        listVms(page.nextPage);
        return;
    }
    m_listingVms = false;
    m_vmsListedAt = steadyMillis();
    m_scheduler.handle(sched::vms_listed{std::move(m_vmPages)}, m_vmsListedAt);
    m_vmPages.clear();
    readRegistryIfBehind();
    pump(guard);
}

// Answers feeds that hear nothing for a while: a VM that is up with an executor that nobody has announced.
void dispatcher::readRegistryIfBehind()
{
    if (m_readingRegistry || !m_scheduler.hasUnknownExecutor()) {
        return;
    }
    m_readingRegistry = true;
    m_services.store.get({executorTable, "", "", ""}, readTimeout, [weak = weak_from_this()](const rows_result &result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self) {
            return;
        }
        std::unique_lock<std::mutex> guard(self->m_lock);
        self->m_readingRegistry = false;
        if (self->m_stopped || result.status != store_status::Ok) {
            return;
        }
        for (const store_row &row : result.rows) {
            self->onExecutorRow(row);
        }
        self->pump(guard);
    });
}

} // namespace daisypass
