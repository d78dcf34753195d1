#include "node/node_process.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "http/connection_account.h"
#include "http/http_client.h"
#include "node/client_limits.h"
#include "node/dispatcher_owner.h"
#include "node/front_service.h"
#include "node/key_lease.h"
#include "node/leadership.h"
#include "node/node_peers.h"
#include "node/node_servers.h"
#include "node/relay_server.h"
#include "node/submission_writer.h"
#include "node/table_feed.h"
#include "node/tables.h"
#include "node/tenant_rules.h"
#include "platform/fleet_client.h"
#include "platform/records.h"
#include "platform/store_client.h"

#include <asio.hpp>

#include <atomic>
#include <csignal>
#include <random>

namespace daisypass {
namespace {

// The lease holder's tick sets the resolution of the scheduler's timers and of lease renewals; the other nodes, its followers, need less.
constexpr std::chrono::milliseconds holderTick{25};
constexpr std::chrono::milliseconds followerTick{100};
// A node is not ready if the store hasn't answered for this long.
constexpr sched::time_ms maxStoreSilenceMs = 2'500;
// Short enough that a feed without answers is noticed well before a new configuration must be in force.
constexpr std::chrono::milliseconds configurationPollWait{700};
// The lease expires after this time without a renewal; the holder renews it three to four times in it.
constexpr sched::time_ms leaseMs = 2'000;
// After SIGTERM new requests arrive until the load balancer has seen two failed health checks, which it makes every second.
constexpr sched::time_ms minDrainMs = 3'200;
// Part of the grace period that is reserved for the end of the process after the drain.
constexpr sched::time_ms shutdownReserveMs = 700;

// Largest processor share in the deployment until the directory has been read.
constexpr double assumedLargestShare = 0.5;

// Path prefix at which nodes post rows of the jobs table to the lease holder; the row's key follows.
constexpr std::string_view jobRowPath = "/relay/row/";

std::int64_t randomIncarnation()
{
    std::random_device device;
    constexpr std::uint64_t mask = 0x7fffffffffffULL;
    return static_cast<std::int64_t>(((static_cast<std::uint64_t>(device()) << 32U) | device()) & mask);
}

key_rules keyRulesOf(const node_settings &settings)
{
    key_rules rules;
    rules.alwaysRequired = settings.requiresKeys;
    rules.strictRevocation = settings.strictRevocation;
    rules.revocationMs = settings.revocationMs;
    rules.applyMs = settings.configurationApplyMs;
    return rules;
}

// A poll's answer confirms what was known when the poll was sent, and the next one comes a poll later. So the knowledge is up to two polls
// old, which must stay well below the bound on keys that were taken away.
std::chrono::milliseconds pollWaitFor(const node_settings &settings)
{
    if (!settings.strictRevocation) {
        return configurationPollWait;
    }
    constexpr int pollsPerBound = 4;
    return std::min(configurationPollWait, std::chrono::milliseconds(settings.revocationMs / pollsPerBound));
}

http_client_options clientOptions()
{
    http_client_options options;
    options.threads = 1;
    options.maxConnectionsPerHost = 48;
    options.maxIdle = std::chrono::seconds(20);
    return options;
}

} // namespace

struct node_process::implementation
{
    implementation(node_settings nodeSettings, std::string path)
        : settings(std::move(nodeSettings))
        , settingsPath(std::move(path))
        , client(clientOptions(), context)
        , store(client, settings.store)
        , fleet(client, settings.fleet)
        , writer(std::make_shared<submission_writer>(store, makeRunAfter()))
        , front(
              store,
              writer,
              metrics,
              [this](http_request request, http_responder respond) {
                  peers->forward(std::move(request), std::move(respond));
              },
              [this](const row_key &key, const std::string &value) {
                  notifyHolder(key, value);
              })
        , peers(std::make_shared<node_peers>(
              store, client, makeRunAfter(), node_entry{settings.node, settings.availabilityZone, internalAddress(settings), settings.cpuShare}))
        , ticker(context)
        , signals(context)
        , servers(settings, handlers(), context)
        , relay(std::make_shared<relay_server>(executor_client(directSender(client)), makeRunAfter()))
        , keyLease(std::make_shared<key_lease>(keyRulesOf(settings)))
        , owner([this](const held_term &term) {
            return makeDispatcher(term);
        })
    {
        front.limitRows(settings.bounds.rowBytes);
        front.useKeys(keyRulesOf(settings), keyLease);
        chargeConnections(context, clients);
    }

    node_settings settings;
    std::string settingsPath;
    asio::io_context context;
    metrics_registry metrics;
    refusal_report refusals{metrics};
    std::shared_ptr<connection_account> clients = std::make_shared<connection_account>(clientLimits(settings), [this](client_refusal reason) {
        refusals.add(reason, steadyMillis());
    });
    http_client client;
    store_client store;
    fleet_client fleet;
    std::shared_ptr<submission_writer> writer;
    front_service front;
    std::shared_ptr<node_peers> peers;
    asio::steady_timer ticker;
    asio::signal_set signals;
    node_servers servers;
    std::shared_ptr<relay_server> relay;
    std::unique_ptr<table_feed> operatorFeed;
    std::shared_ptr<leadership> lease;
    std::shared_ptr<key_lease> keyLease;
    /** As last logged. */
    bool keysFresh = true;
    /** The operator's configuration was changed to one that can't be read; an earlier one is in force. */
    bool configurationUnreadable = false;

    dispatcher_owner owner;

    std::atomic<sched::time_ms> storeReachedAt{0};
    std::atomic<bool> storeReached{false};
    std::atomic<bool> configured{false};
    std::atomic<bool> terminating{false};
    sched::time_ms terminatingSince = 0;
    bool released = false;

    run_after_function makeRunAfter()
    {
        return [this](std::chrono::milliseconds delay, std::function<void()> call) {
            const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(context, delay);
            timer->async_wait([timer, call = std::move(call)](const asio::error_code &error) {
                if (!error) {
                    call();
                }
            });
        };
    }

    bool isReady() const
    {
        const sched::time_ms now = steadyMillis();
        return configured && !terminating && now - storeReachedAt < maxStoreSilenceMs && keyLease->mayAdmit(now);
    }

    // Passes a stored row to the lease holder at once. If the message is lost, the holder gets the row from its feed a little later.
    void notifyHolder(const row_key &key, const std::string &value)
    {
        const std::shared_ptr<dispatcher> current = owner.current();
        if (current) {
            current->receiveJobRow({key, value, 0, false});
            return;
        }
        const std::optional<endpoint> holder = peers->addressOf(lease ? lease->holder() : std::string());
        if (holder) {
            peers->notify(*holder, std::string(jobRowPath) + key.key, value);
        }
    }

    void onRowFromNode(const http_request &request, const http_responder &respond)
    {
        const std::shared_ptr<dispatcher> current = owner.current();
        if (current) {
            store_row row;
            row.key.table = tables::jobs;
            row.key.key = request.path.substr(jobRowPath.size());
            row.value = request.body;
            current->receiveJobRow(row);
        }
        respond(http_response{});
    }

    void recordStoreResult(bool reached)
    {
        front.recordStoreResult(reached);
        if (reached) {
            storeReachedAt = steadyMillis();
        }
        if (storeReached.exchange(reached) != reached) {
            logEvent(reached ? "store_regained" : "store_lost", {{"store", toString(settings.store)}});
        }
    }

    void onOperatorRow(const store_row &row)
    {
        failure reason;
        if (row.deleted) {
            return;
        }
        if (row.key.key == configurationKey) {
            std::optional<sched::configuration_view> read = readConfiguration(row.value, reason);
            configurationUnreadable = !read;
            if (!read) {
                logEvent("configuration_unreadable", {{"row_version", row.version}, {"reason", describe(reason)}});
                return;
            }
            applyConfiguration(std::move(*read));
            return;
        }
        const std::optional<sched::wave_request> wave = readWave(row.key.key, row.value, reason);
        if (!wave) {
            return;
        }
        const std::shared_ptr<dispatcher> current = owner.recordWave(*wave);
        logEvent("wave_seen", {{"wave", wave->wave}, {"vms", wave->vms.size()}, {"cap", wave->cap}, {"duration_ms", wave->durationMs}});
        if (current) {
            current->addWave(*wave);
        }
    }

    // A configuration that can't be read may have taken keys away, so what is in force isn't confirmed any more.
    void onOperatorTableCurrent(sched::time_ms asOf)
    {
        if (!configurationUnreadable) {
            keyLease->confirm(asOf);
        }
    }

    static void logWarnings(std::int64_t version, const std::vector<tenant_warning> &warnings)
    {
        for (const tenant_warning &warning : warnings) {
            logEvent("configuration_warning",
                     {{"version", version}, {"problem", nameOf(warning.problem)}, {"tenant", warning.tenant}, {"used_tenant", warning.usedTenant}});
        }
    }

    void applyConfiguration(sched::configuration_view read)
    {
        const std::vector<tenant_warning> warnings = correctTenants(read.tenants);
        const std::optional<configuration_update> update = owner.updateConfiguration(std::move(read));
        if (!update) {
            return;
        }
        const sched::configuration_view &view = *update->view;
        logWarnings(view.version, warnings);
        front.configure(update->view);
        configured = true;
        logEvent("configuration_applied",
                 {{"version", view.version}, {"queues", view.queues.size()}, {"pools", view.pools.size()}, {"tenants", view.tenants.size()}});
        if (update->current) {
            update->current->configure(view);
        }
    }

    void onTermGained(const held_term &term)
    {
        logEvent("term_gained", {{"term", term.term}});
        owner.startTerm(term);
    }

    std::shared_ptr<dispatcher> makeDispatcher(const held_term &term)
    {
        return std::make_shared<dispatcher>(dispatcher_dependencies{store, fleet, metrics, client, makeRunAfter()}, settings, term, [this] {
            onTermLost();
        });
    }

    void onTermLost()
    {
        const std::shared_ptr<dispatcher> former = owner.detach();
        if (former) {
            former->stop();
        }
        lease->clearHeldTerm();
    }

    node_handlers handlers()
    {
        node_handlers result;
        result.front = [this](http_request request, http_responder respond) {
            front.handle(std::move(request), std::move(respond));
        };
        result.isReady = [this] {
            return isReady();
        };
        result.renderMetrics = [this] {
            metrics.findGauge("daisypass_client_bytes").set(static_cast<double>(clients->bytesInUse()));
            metrics.findGauge("daisypass_client_connections").set(static_cast<double>(clients->connectionsInUse()));
            return metrics.render();
        };
        result.internal = [this](http_request request, http_responder respond) {
            onInternalRequest(std::move(request), std::move(respond));
        };
        return result;
    }

    void onInternalRequest(http_request request, http_responder respond)
    {
        if (request.path == relayExchangePath) {
            relay->handle(request, respond);
        } else if (request.path.starts_with(jobRowPath)) {
            onRowFromNode(request, respond);
        } else if (request.path == alivePath) {
            respond(http_response{});
        } else {
            front.handleForwarded(std::move(request), std::move(respond));
        }
    }

    void startFeedsAndLeadership()
    {
        table_feed_handlers handlers;
        handlers.rowChanged = [this](const store_row &row) {
            onOperatorRow(row);
        };
        handlers.snapshotComplete = [] {
        };
        handlers.batchApplied = [] {
        };
        handlers.storeReached = [this](bool reached) {
            recordStoreResult(reached);
        };
        handlers.currentAsOf = [this](sched::time_ms asOf) {
            onOperatorTableCurrent(asOf);
        };
        operatorFeed
            = std::make_unique<table_feed>(store, makeRunAfter(), operatorTable, std::vector<std::string>{""}, pollWaitFor(settings), std::move(handlers));
        if (settings.strictRevocation) {
            operatorFeed->confirmSoonAfterFaults();
        }
        operatorFeed->start();
        // The directory hasn't been read yet, so the candidate's delay is based on an assumed largest share.
        sched::lease_identity self{settings.node, randomIncarnation(), sched::candidateDelay(settings.node, settings.cpuShare, assumedLargestShare)};
        leadership_handlers leaseHandlers;
        leaseHandlers.termGained = [this](const held_term &term) {
            onTermGained(term);
        };
        leaseHandlers.termLost = [this] {
            onTermLost();
        };
        leaseHandlers.jobRoomRead = [this](const sched::job_room &room) {
            front.admission().onRoom(room, steadyMillis());
        };
        leaseHandlers.storeReached = [this](bool reached) {
            recordStoreResult(reached);
        };
        leaseHandlers.probe = [this](const std::string &node, std::function<void(bool refused)> done) {
            peers->probe(node, std::move(done));
        };
        lease = std::make_shared<leadership>(store, makeRunAfter(), std::move(self), leaseMs, std::move(leaseHandlers));
        lease->start();
        if (settings.internalPort != 0) {
            peers->join([this](const larger_machines &larger) {
                lease->setCandidateDelay(sched::candidateDelay(settings.node, settings.cpuShare, larger.largestShare));
                yieldToLargerNode(larger.newestEntryVersion);
            });
        }
    }

    // Releases the lease if a much larger machine has joined since, because a small machine's processor limits the scheduler.
    void yieldToLargerNode(std::int64_t newestLargerEntry)
    {
        const std::shared_ptr<dispatcher> current = owner.detachForLargerNode(newestLargerEntry);
        if (!current) {
            return;
        }
        logEvent("term_given_back", {{"reason", "larger_machine"}, {"cpu_share", settings.cpuShare}});
        current->release(false, [this] {
            lease->clearHeldTerm();
        });
    }

    void measureKeyLease()
    {
        const std::optional<sched::time_ms> ageMs = keyLease->age(steadyMillis());
        if (ageMs) {
            constexpr double millisPerSecond = 1'000.0;
            metrics.findGauge("daisypass_configuration_age_seconds").set(static_cast<double>(*ageMs) / millisPerSecond);
        }
    }

    // Tells when keys can't be decided on any more, and when they can again.
    void logKeyLease()
    {
        const bool fresh = keyLease->mayAdmit(steadyMillis());
        if (configured && fresh != keysFresh) {
            keysFresh = fresh;
            logEvent(fresh ? "keys_fresh" : "keys_not_fresh", {{"bound_ms", settings.revocationMs}});
        }
    }

    void tick()
    {
        measureKeyLease();
        logKeyLease();
        const std::shared_ptr<dispatcher> current = owner.current();
        if (current) {
            current->tick();
        }
        lease->tick(steadyMillis());
        if (terminating && drainComplete()) {
            context.stop();
            return;
        }
        ticker.expires_after(current ? holderTick : followerTick);
        ticker.async_wait([this, holds = current != nullptr](const asio::error_code &error) {
            if (error) {
                return;
            }
            if (holds) {
                const std::chrono::duration<double> delay = std::chrono::steady_clock::now() - ticker.expiry();
                metrics.findHistogram("daisypass_holder_loop_delay_seconds").record(delay.count());
            }
            tick();
        });
    }

    bool drainComplete() const
    {
        const sched::time_ms elapsedMs = steadyMillis() - terminatingSince;
        return (elapsedMs >= minDrainMs && released && front.inFlight() == 0) || elapsedMs >= settings.shutdownGraceMs - shutdownReserveMs;
    }

    void onSignal(int number)
    {
        if (number == SIGHUP) {
            checkSettingsFile();
        } else if (!terminating) {
            terminate();
        }
        waitForSignal();
    }

    void waitForSignal()
    {
        signals.async_wait([this](const asio::error_code &error, int number) {
            if (!error) {
                onSignal(number);
            }
        });
    }

    void checkSettingsFile()
    {
        failure reason;
        const std::optional<node_settings> read = loadNodeSettings(settingsPath, reason);
        logEvent("settings_reloaded", {{"path", settingsPath}, {"result", read ? std::string("ok") : describe(reason)}});
    }

    void terminate()
    {
        logEvent("terminating", {{"requests_in_flight", front.inFlight()}});
        terminating = true;
        terminatingSince = steadyMillis();
        front.beginDrain();
        lease->stopCandidacy();
        const std::shared_ptr<dispatcher> current = owner.detach();
        peers->leave();
        if (!current) {
            released = true;
            return;
        }
        current->release(true, [this] {
            released = true;
        });
    }
};

node_process::node_process(node_settings settings, std::string settingsPath)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(settingsPath)))
{
}

node_process::~node_process() = default;

bool node_process::start(failure &reason)
{
    implementation &self = *m_implementation;
    self.signals.add(SIGTERM);
    self.signals.add(SIGINT);
    self.signals.add(SIGHUP);
    self.waitForSignal();
    if (!self.servers.start(reason)) {
        return false;
    }
    logEvent("started",
             {{"version", DAISYPASS_VERSION},
              {"front", toString(self.settings.front)},
              {"store", toString(self.settings.store)},
              {"availability_zone", self.settings.availabilityZone}});
    self.startFeedsAndLeadership();
    return true;
}

void node_process::run()
{
    implementation &self = *m_implementation;
    self.tick();
    self.context.run();
    logEvent("stopped", {{"requests_in_flight", self.front.inFlight()}});
}

} // namespace daisypass
