#include "entry/entry_process.h"

#include "base/log.h"
#include "entry/request_id.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace daisypass {
namespace {

// The request scheduler needs a tick every 10 ms while requests are queued.
constexpr std::chrono::milliseconds tickInterval{10};
constexpr duration metricsInterval{1'000'000};
constexpr int platformThreads = 1;
// A request's deadline can be one day away, and its answer may take a minute more.
constexpr std::chrono::milliseconds callerHandleTimeout{86'460'000};

std::shared_ptr<http_client> makePlatformClient()
{
    http_client_options options;
    options.threads = platformThreads;
    return std::make_shared<http_client>(options);
}

entry_stores connectStores(const endpoint &platform)
{
    const std::shared_ptr<http_client> client = makePlatformClient();
    return {table_service(http_table(client, platform)),
            table_service(http_table(makePlatformClient(), platform)),
            object_store(http_objects(client, platform)),
            client};
}

std::uint64_t nthRandom(std::uint64_t seed, int index)
{
    std::mt19937_64 random(seed);
    random.discard(static_cast<unsigned long long>(index));
    return random();
}

std::vector<peer_grant> toPeerGrants(const std::vector<slot_grant> &grants)
{
    std::vector<peer_grant> converted;
    converted.reserve(grants.size());
    for (const slot_grant &grant : grants) {
        const std::int64_t remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(grant.expires - steadyNow()).count();
        converted.push_back({grant.vm, grant.count, static_cast<std::uint32_t>(std::max<std::int64_t>(0, remainingMs))});
    }
    return converted;
}

std::vector<slot_grant> fromPeerGrants(const std::vector<peer_grant> &grants, timestamp validFrom)
{
    std::vector<slot_grant> converted;
    converted.reserve(grants.size());
    for (const peer_grant &grant : grants) {
        converted.push_back({grant.vm, grant.count, validFrom + std::chrono::milliseconds(grant.expiresInMs)});
    }
    return converted;
}

} // namespace

entry_process::entry_process(const entry_settings &settings, std::uint64_t seed)
    : entry_process(settings, seed, connectStores(settings.platform))
{
}

entry_process::entry_process(entry_settings settings, std::uint64_t seed, entry_stores stores)
    : m_settings(std::move(settings))
    , m_seed(seed)
    , m_incarnation(nthRandom(seed, 0))
    , m_stores(std::move(stores))
{
    http_client_options targets;
    targets.threads = m_settings.threads.targets;
    m_targets = std::make_unique<http_client>(targets);
    m_pools = std::make_unique<pool_set>(m_settings.entry, nthRandom(seed, 1), *m_targets, m_metrics, slotExchange());
    submission_options options;
    options.outcomes = {m_settings.intervals.outcomes, m_settings.limits.heldOutcomeBytes};
    options.maxWaitingClaims = m_settings.limits.waitingClaims;
    options.seed = nthRandom(seed, 2);
    const entry_identity identity{m_settings.entry, m_incarnation};
    m_requests = std::make_unique<submissions>(identity, options, *m_pools, m_stores.claims, m_stores.objects, m_metrics, peerQueries());
    m_service = std::make_unique<caller_service>(*m_requests, m_metrics, [this] {
        return ready();
    });
}

entry_process::~entry_process()
{
    stop();
    // Destroying the HTTP client ends its calls in flight, whose callbacks use the pools and the submissions. Destroy it before these.
    m_server.reset();
    m_targets.reset();
}

bool entry_process::ready() const
{
    // The membership's status turns ready before its listeners, which open the submissions, have run. So check both.
    return !m_stopping && m_membership && m_requests->isOpen() && m_membership->status().ready;
}

std::uint16_t entry_process::callersPort() const
{
    return m_server ? m_server->port() : 0;
}

endpoint entry_process::peersEndpoint() const
{
    return m_membership ? m_membership->peersEndpoint() : endpoint{};
}

incarnation_number entry_process::incarnation() const
{
    return m_incarnation;
}

metrics_registry &entry_process::metrics()
{
    return m_metrics;
}

void entry_process::setRemovedHandler(std::function<void()> callback)
{
    m_removed = std::move(callback);
}

bool entry_process::start(failure &reason)
{
    http_server_options options;
    options.listen = m_settings.callersListen;
    options.threads = m_settings.threads.callers;
    options.maxConnections = m_settings.limits.connections;
    options.maxBodyBytes = m_settings.limits.bodyBytes;
    options.maxHeaderBytes = m_settings.limits.headerBytes;
    options.readTimeout = m_settings.limits.callerRead;
    options.handleTimeout = callerHandleTimeout;
    m_server = std::make_unique<http_server>(options, [this](http_request request, http_responder respond) {
        m_service->handle(std::move(request), std::move(respond));
    });
    if (!m_server->start(reason) || !startMembership(reason)) {
        return false;
    }
    m_started = true;
    m_ticking = true;
    m_ticker = std::thread([this] {
        runTicks();
    });
    return true;
}

bool entry_process::startMembership(failure &reason)
{
    fleet_follower_options followerOptions;
    followerOptions.pollInterval = m_settings.intervals.poll;
    followerOptions.seed = nthRandom(m_seed, 3);
    m_follower = std::make_unique<fleet_follower>(m_stores.log, m_stores.objects, followerOptions);
    // Add this before the membership's own listener, after which drains are confirmed: by then the pools must no longer use the VM.
    m_follower->addListener([this](std::shared_ptr<const fleet_state> state) {
        m_pools->applyState(std::move(state));
    });
    membership_options options;
    options.entry = m_settings.entry;
    options.incarnation = m_incarnation;
    options.callers = m_settings.callersAdvertise.value_or(endpoint{m_settings.callersListen.address, m_server->port()});
    options.peers = m_settings.peersListen;
    options.availabilityZone = m_settings.availabilityZone;
    options.seed = nthRandom(m_seed, 4);
    m_membership = std::make_unique<membership>(options, *m_follower, fleet_log(m_stores.log, m_stores.objects), membershipHandlers());
    m_membership->addListener([this](const membership_status &status) {
        m_pools->applyLiveEntries(status.live);
        if (status.ready) {
            m_requests->open();
        }
        if (status.removed && !m_stopping && m_removed) {
            m_removed();
        }
    });
    m_membership->addLoadListener([this](const std::string &peer, const std::vector<peer_pool_load> &loads) {
        m_pools->peerLoads(peer, loads);
    });
    m_follower->start();
    return m_membership->start(reason);
}

slot_exchange entry_process::slotExchange()
{
    slot_exchange exchange;
    exchange.borrow = [this](std::string_view peer, std::string_view pool, int count, std::function<void(std::vector<slot_grant>)> done) {
        const timestamp sentAt = steadyNow();
        m_membership->borrowSlots(peer, pool, count, [done = std::move(done), sentAt](std::optional<std::vector<peer_grant>> grants, const failure &reason) {
            done(grants ? fromPeerGrants(*grants, sentAt) : std::vector<slot_grant>());
        });
    };
    exchange.giveBack = [this](std::string_view peer, std::string_view pool, const std::vector<slot_grant> &grants) {
        m_membership->returnSlots(peer, pool, toPeerGrants(grants));
    };
    exchange.mayDispatch = [this] {
        return m_membership && m_membership->mayDispatch();
    };
    return exchange;
}

peer_queries entry_process::peerQueries()
{
    peer_queries queries;
    queries.getFate = [this](incarnation_number incarnation, std::string_view id, peer_callback<fate_answer> done) {
        m_membership->getFate(incarnation, id, std::move(done));
    };
    queries.cancel = [this](incarnation_number incarnation, std::string_view id, peer_callback<cancel_answer> done) {
        m_membership->cancelRequest(incarnation, id, std::move(done));
    };
    return queries;
}

membership_handlers entry_process::membershipHandlers()
{
    membership_handlers handlers;
    handlers.borrowSlots = [this](const borrow_call &call) {
        return toPeerGrants(m_pools->lendSlots(call.entry, call.pool, call.count));
    };
    handlers.returnSlots = [this](const return_call &call) {
        m_pools->slotsReturned(call.entry, call.pool, fromPeerGrants(call.grants, steadyNow()));
    };
    handlers.getFate = [this](std::string_view id) {
        return m_requests->fateForPeer(id);
    };
    handlers.cancelRequest = [this](std::string_view id) {
        return m_requests->cancelForPeer(id);
    };
    handlers.inFlight = [this](std::string_view vm) {
        return m_pools->inFlightOn(vm, m_follower->state()->revision());
    };
    handlers.loads = [this] {
        return m_pools->loads();
    };
    return handlers;
}

void entry_process::runTicks()
{
    timestamp lastMetricsUpdate{};
    std::unique_lock<std::mutex> guard(m_lock);
    while (m_ticking) {
        m_wake.wait_for(guard, tickInterval);
        guard.unlock();
        m_pools->tick();
        m_requests->tick();
        const timestamp now = steadyNow();
        if (now - lastMetricsUpdate >= metricsInterval) {
            lastMetricsUpdate = now;
            updateProcessMetrics();
        }
        guard.lock();
    }
}

void entry_process::updateProcessMetrics()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double perSecond = 1e6;
    const double user = static_cast<double>(usage.ru_utime.tv_sec) + static_cast<double>(usage.ru_utime.tv_usec) / perSecond;
    const double system = static_cast<double>(usage.ru_stime.tv_sec) + static_cast<double>(usage.ru_stime.tv_usec) / perSecond;
    m_metrics.findGauge("daisypass_process_cpu_seconds").set(user + system);
    // Processor time for callers, targets and claims grows with the requests. The rest is control work: fleet log, gossip, ticks and metrics.
    const std::chrono::microseconds requests = m_server->processorTime() + m_targets->processorTime() + m_requests->claimProcessorTime();
    m_metrics.findGauge("daisypass_control_cpu_seconds").set(user + system - static_cast<double>(requests.count()) / perSecond);
    if (m_stores.client) {
        m_metrics.findGauge("daisypass_control_store_bytes").set(static_cast<double>(m_stores.client->bytes()));
    }
    constexpr double kibibyte = 1'024;
    m_metrics.findGauge("daisypass_process_most_resident_bytes").set(static_cast<double>(usage.ru_maxrss) * kibibyte);
    for (const peer_pool_load &load : m_pools->loads()) {
        const metric_labels labels{{"pool", load.pool}};
        m_metrics.findGauge("daisypass_pool_queued", labels).set(load.queued);
        m_metrics.findGauge("daisypass_pool_running", labels).set(load.running);
        m_metrics.findGauge("daisypass_pool_free_slots", labels).set(load.freeSlots);
    }
    m_metrics.findGauge("daisypass_fleet_revision").set(static_cast<double>(m_follower->state()->revision()));
    m_metrics.findGauge("daisypass_ready").set(ready() ? 1 : 0);
}

// Waits until no request is unfinished, then saves their outcomes. Requests still queued after the shutdown interval are refused; those on a
// target end at their deadline at the latest.
bool entry_process::finishRequests()
{
    const timestamp refuseAt = steadyNow() + m_settings.intervals.shutdown;
    bool refused = false;
    constexpr std::chrono::milliseconds pause{5};
    while (m_requests->unfinished() > 0) {
        if (!refused && steadyNow() >= refuseAt) {
            refused = true;
            m_requests->refuseWaiting(refusal_reason::ShuttingDown);
        }
        std::this_thread::sleep_for(pause);
    }
    failure reason;
    const bool outcomesSaved = m_requests->saveOutcomes(reason);
    if (!outcomesSaved) {
        logEvent("outcomes_not_handed_over", {{"reason", describe(reason)}});
    }
    return outcomesSaved;
}

bool entry_process::stop()
{
    if (!m_started) {
        return m_clean;
    }
    m_started = false;
    m_stopping = true;
    m_requests->close();
    logEvent("stopping", {{"unfinished", m_requests->unfinished()}});
    m_clean = finishRequests();
    if (!m_membership->leave(m_settings.intervals.leave)) {
        logEvent("leave_not_recorded", {});
        m_clean = false;
    }
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_ticking = false;
    }
    m_wake.notify_all();
    m_ticker.join();
    m_server->stop();
    m_membership->stop();
    m_follower->stop();
    m_requests->stop();
    logEvent("stopped", {{"clean", m_clean}});
    return m_clean;
}

} // namespace daisypass
