#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/tables.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds releaseTimeout{1'500};
constexpr sched::time_ms listVmsMs = 900;

} // namespace

dispatcher::dispatcher(dispatcher_services services, const node_settings &settings, held_term term, std::function<void()> lost)
    : m_services(std::move(services))
    , m_settings(settings)
    , m_term(std::move(term))
    , m_lost(std::move(lost))
    , m_scheduler(settings.bounds, m_term.times)
    , m_recovery(std::make_unique<recovery>())
    , m_relays(std::make_shared<relay_pool>(m_services.client, m_services.later, m_term.node + '.' + std::to_string(m_term.term), m_term.node))
    , m_executors([relays = m_relays](http_call call, std::function<void(http_result)> done) {
        relays->send(std::move(call), std::move(done));
    })
    , m_renewedAt(m_term.times.acquiredAt)
{
    m_recovery->beganAt = steadyMillis();
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
        m_scheduler.handle(sched::executor_gone{row.key.key, row.version}, now);
        return;
    }
    failure reason;
    const std::optional<sched::executor_entry> entry = readExecutor(row.key.key, row.value, reason);
    if (!entry) {
        m_services.metrics.findCounter("daisypass_executor_entries_unreadable_total").add();
        m_scheduler.handle(sched::executor_gone{row.key.key, row.version}, now);
        return;
    }
    m_scheduler.handle(sched::executor_seen{*entry, row.version}, now);
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
        m_vmsAskedAt = now;
        listVms("");
    }
    pump(guard);
}

void dispatcher::stop()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_stopped = true;
    stopFollowing();
}

void dispatcher::stopFollowing()
{
    for (const std::unique_ptr<table_feed> *feed : {&m_jobFeed, &m_executorFeed, &m_nodeFeed}) {
        if (*feed) {
            (*feed)->stop();
        }
    }
    m_relays->stop();
}

std::string dispatcher::leaseText(bool released, bool stopping) const
{
    return sched::writeLease({m_term.node, m_term.incarnation, m_term.term, released, stopping, m_term.times.earlierGrantsLeft(steadyMillis())});
}

void dispatcher::release(bool stopping, std::function<void()> done)
{
    stop();
    row_transaction transaction;
    transaction.expects = {{tables::termRow(), m_term.termVersion}};
    transaction.puts = {{tables::holderRow(), leaseText(true, stopping)}};
    m_services.store.transact(transaction, releaseTimeout, [done = std::move(done)](const transact_result &) {
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
    stopFollowing();
    logChange("term_lost", {{"term", m_term.term}, {"cause", cause}});
}

} // namespace daisypass
