#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/time.h"
#include "node/memory_shares.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds releaseTimeout{1'500};
constexpr sched::time_ms vmListIntervalMs = 900;

sched::bounds schedulerBounds(const node_settings &settings)
{
    sched::bounds bounds = settings.bounds;
    bounds.jobBytes = jobMemoryBytes(settings.memoryMb);
    return bounds;
}

} // namespace

dispatcher::dispatcher(dispatcher_dependencies dependencies, const node_settings &settings, held_term term, std::function<void()> onTermLost)
    : m_dependencies(std::move(dependencies))
    , m_settings(settings)
    , m_term(std::move(term))
    , m_onTermLost(std::move(onTermLost))
    , m_scheduler(schedulerBounds(settings),
                  m_term.times,
                  [] {
                      return steadyNow().count();
                  })
    , m_recovery(std::make_unique<recovery>())
    , m_relays(std::make_shared<relay_pool>(m_dependencies.client, m_dependencies.runAfter, m_term.node + '.' + std::to_string(m_term.term), m_term.node))
    , m_executors(directSender(m_dependencies.client))
    , m_renewedAt(m_term.times.acquiredAt)
{
    m_recovery->startedAt = steadyMillis();
}

dispatcher::~dispatcher() = default;

void dispatcher::onJobRow(const store_row &row)
{
    const std::string &key = row.key.key;
    if (row.deleted) {
        return;
    }
    if (key.ends_with(tables::cancelSuffix)) {
        const std::string job = key.substr(0, key.size() - tables::cancelSuffix.size());
        if (!m_recovered) {
            m_recovery->cancelledJobs.push_back(job);
        } else {
            m_scheduler.handle(sched::job_cancelled{job}, steadyMillis());
        }
        return;
    }
    if (row.value == tables::barredSubmission) {
        m_scheduler.handle(sched::submission_barred{key}, steadyMillis());
        return;
    }
    failure reason;
    std::optional<sched::job_spec> job = readJob(row.value, reason);
    if (!job) {
        logEvent("job_row_unreadable", {{"request", key}, {"reason", describe(reason)}});
        return;
    }
    job->id = key;
    if (!m_recovered) {
        m_recovery->jobs[key] = std::move(*job);
    } else {
        m_scheduler.handle(sched::job_submitted{std::move(*job)}, steadyMillis());
    }
}

void dispatcher::receiveJobRow(const store_row &row)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    onJobRow(row);
    runScheduler(guard);
}

void dispatcher::onExecutorRow(const store_row &row)
{
    const sched::time_ms now = steadyMillis();
    if (row.deleted) {
        m_scheduler.handle(sched::executor_entry_removed{row.key.key, row.version}, now);
        return;
    }
    failure reason;
    const std::optional<sched::executor_entry> entry = readExecutor(row.key.key, row.value, reason);
    if (!entry) {
        m_dependencies.metrics.findCounter("daisypass_executor_entries_unreadable_total").add();
        m_scheduler.handle(sched::executor_entry_removed{row.key.key, row.version}, now);
        return;
    }
    m_scheduler.handle(sched::executor_entry_changed{*entry, row.version}, now);
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

void dispatcher::handleEvent(const sched::event &event)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    if (!m_recovered) {
        m_eventsBeforeRecovery.push_back(event);
        return;
    }
    m_scheduler.handle(event, steadyMillis());
    runScheduler(guard);
}

// Runs a scheduling pass, executes the actions that it returns, and stores the changed rows.
void dispatcher::runScheduler(std::unique_lock<std::mutex> &guard)
{
    if (!m_recovered || m_stopped) {
        return;
    }
    m_scheduler.plan(steadyMillis());
    for (const sched::action &action : m_scheduler.takeActions()) {
        execute(action);
    }
    commitIfNeeded();
    recordLoad();
    if (m_termLost) {
        notifyTermLost(guard);
        return;
    }
    schedulePlan();
}

void dispatcher::recordLoad()
{
    constexpr double usPerSecond = 1e6;
    for (const sched::pass_time &pass : m_scheduler.takePassTimes()) {
        m_dependencies.metrics.findHistogram("daisypass_holder_pass_seconds", {{"pass", std::string(pass.pass)}})
            .record(static_cast<double>(pass.us) / usPerSecond);
    }
}

// Schedules the next scheduling pass. The delay lets events that arrive close together share one pass.
void dispatcher::schedulePlan()
{
    const std::optional<sched::time_ms> planned = m_scheduler.nextPlanAt();
    if (!planned || m_planScheduled) {
        return;
    }
    m_planScheduled = true;
    const sched::time_ms delay = std::max<sched::time_ms>(1, *planned - steadyMillis());
    m_dependencies.runAfter(std::chrono::milliseconds(delay), [weak = weak_from_this()] {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            std::unique_lock<std::mutex> guard(self->m_lock);
            self->m_planScheduled = false;
            self->runScheduler(guard);
        }
    });
}

void dispatcher::notifyTermLost(std::unique_lock<std::mutex> &guard)
{
    const std::function<void()> onTermLost = std::exchange(m_onTermLost, nullptr);
    guard.unlock();
    if (onTermLost) {
        onTermLost();
    }
}

void dispatcher::configure(const sched::configuration_view &view)
{
    handleEvent(sched::configuration_changed{view});
}

void dispatcher::addWave(const sched::wave_request &wave)
{
    handleEvent(sched::wave_requested{wave, unixMillis()});
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
    m_dependencies.metrics.findGauge("daisypass_holder_jobs_waiting_for_store").set(static_cast<double>(m_scheduler.jobsWaitingForStore()));
    m_dependencies.metrics.findGauge("daisypass_holder_job_bytes").set(static_cast<double>(m_scheduler.jobAccount().usedBytes()));
    m_dependencies.metrics.findGauge("daisypass_holder_job_bytes_free").set(static_cast<double>(m_scheduler.jobAccount().room(now).bytes));
    m_dependencies.metrics.findGauge("daisypass_holder_corrected_queues").set(static_cast<double>(m_scheduler.correctedQueues()));
    m_dependencies.metrics.findGauge("daisypass_holder_advice_calls").set(static_cast<double>(m_scheduler.adviceCalls().underWay()));
    m_dependencies.metrics.findGauge("daisypass_holder_advice_window").set(static_cast<double>(m_scheduler.adviceCalls().window()));
    m_dependencies.metrics.findGauge("daisypass_holder_interfering_pairs").set(static_cast<double>(m_scheduler.interference().knownPairs()));
    m_dependencies.metrics.findGauge("daisypass_holder_placements_kept_apart").set(static_cast<double>(m_scheduler.counts().placementsKeptApart));
    m_dependencies.metrics.findGauge("daisypass_holder_ends_deferred").set(static_cast<double>(m_scheduler.counts().deferredEnds));
    m_dependencies.metrics.findGauge("daisypass_holder_ends_not_deferred").set(static_cast<double>(m_scheduler.counts().endsNotDeferred));
    const sched::tenant_gauges &tenants = m_scheduler.tenantGauges();
    m_dependencies.metrics.findGauge("daisypass_holder_tenant_top_use_over_share").set(tenants.topUseOverShare);
    m_dependencies.metrics.findGauge("daisypass_holder_tenant_tasks_waiting_for_cap").set(static_cast<double>(tenants.tasksWaitingForCap));
    m_dependencies.metrics.findGauge("daisypass_holder_tenants_held_by_cap").set(static_cast<double>(tenants.heldByCap));
    m_dependencies.metrics.findGauge("daisypass_holder_tenants_held_by_share").set(static_cast<double>(tenants.heldByShare));
    m_dependencies.metrics.findGauge("daisypass_holder_jobs_over_rate").set(static_cast<double>(m_scheduler.counts().jobsOverRate));
    if (!m_vmListInFlight && now - m_vmListFinishedAt >= vmListIntervalMs) {
        m_vmListInFlight = true;
        m_listedVms.clear();
        m_vmListRequestedAt = now;
        listVms("");
    }
    runScheduler(guard);
}

void dispatcher::stop()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_stopped = true;
    stopFeedsAndRelays();
}

void dispatcher::stopFeedsAndRelays()
{
    for (const std::unique_ptr<table_feed> *feed : {&m_jobFeed, &m_executorFeed, &m_nodeFeed}) {
        if (*feed) {
            (*feed)->stop();
        }
    }
    m_relays->stop();
}

std::string dispatcher::encodeLease(bool released, bool stopping) const
{
    const sched::time_ms now = steadyMillis();
    sched::lease_row row{m_term.node, m_term.incarnation, m_term.term, released, stopping, m_term.times.earlierGrantsLeft(now), std::nullopt};
    if (m_recovered && !released) {
        row.jobRoom = m_scheduler.jobAccount().room(now);
    }
    return sched::writeLease(row);
}

void dispatcher::release(bool stopping, std::function<void()> done)
{
    stop();
    row_transaction transaction;
    transaction.preconditions = {{tables::termRow(), m_term.termVersion}};
    transaction.puts = {{tables::holderRow(), encodeLease(true, stopping)}};
    m_dependencies.store.transact(transaction, releaseTimeout, [done = std::move(done)](const transact_result &) {
        done();
    });
}

void dispatcher::markTermLost(std::string_view cause)
{
    if (m_termLost) {
        return;
    }
    m_termLost = true;
    m_stopped = true;
    stopFeedsAndRelays();
    logEvent("term_lost", {{"term", m_term.term}, {"cause", cause}});
}

} // namespace daisypass
