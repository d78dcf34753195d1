#pragma once

// Runs the scheduler for one term of the lease: reads what is stored, follows jobs, executors and VMs, stores the scheduler's
// batches, and carries out its actions.
//
//     std::shared_ptr<dispatcher> owner = std::make_shared<dispatcher>(services, settings, term, onLost);
//     owner->start();
//     owner->tick();                                  // every 20 ms or so
//     owner->release(true, [] { ... });                   // gives the lease back
//
// All state is under one lock; callbacks of calls come back on the HTTP client's thread.

#include "base/metrics.h"
#include "node/leadership.h"
#include "node/relay_pool.h"
#include "node/table_feed.h"
#include "platform/executor_client.h"
#include "platform/fleet_client.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "sched/scheduler.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace daisypass {

/** What a dispatcher works with; all outlive it. */
struct dispatcher_services
{
    store_client &store;
    fleet_client &fleet;
    metrics_registry &metrics;
    http_client &client;
    delayed_call later;
};

class dispatcher : public std::enable_shared_from_this<dispatcher>
{
public:
    /** `lost` is called once, without the dispatcher's lock, when the term is over. */
    dispatcher(dispatcher_services services, const node_settings &settings, held_term term, std::function<void()> lost);
    ~dispatcher();

    void start();
    void tick();
    void configure(const sched::configuration_view &view);
    void addWave(const sched::wave_request &wave);
    /** A row of the jobs table that another node has stored. */
    void offerJobRow(const store_row &row);
    /** Stops, and stores that the lease is free; `stopping` says that the process ends. */
    void release(bool stopping, std::function<void()> done);
    void stop();

private:
    /** Rows read while the term begins. */
    struct recovery
    {
        std::map<std::string, sched::job_spec> jobs{};
        std::map<std::string, std::string> states{};
        std::vector<std::string> cancelled{};
        int readsLeft = 0;
        sched::time_ms beganAt = 0;
    };

    /** Reads the range page by page; a page that can't be read is tried again. */
    void readPages(const row_range &range, void (dispatcher::*onRow)(const store_row &));
    void onStateRow(const store_row &row);
    void restoreFleetOrders(const store_row &row);
    void noteReadFailed(std::string_view table, store_status status) const;
    void onReadDone(std::unique_lock<std::mutex> &guard);
    void finishRecovery();
    void followTables();
    void onJobRow(const store_row &row);
    void onExecutorRow(const store_row &row);
    void onNodeRow(const store_row &row);

    void feed(const sched::event &what);
    void pump(std::unique_lock<std::mutex> &guard);
    void planLater();
    void carryOut(const sched::action &next);
    void carryOut(const sched::start_run &order);
    void carryOut(const sched::stop_run &order);
    void carryOut(const sched::throttle_run &order);
    void carryOut(const sched::poll_executor &order);
    void carryOut(const sched::request_advice &order);
    void carryOut(const sched::move_vm &order);
    void carryOut(const sched::maintain_vm &order);
    void carryOut(const sched::delete_submissions &order);
    void carryOut(const sched::publish_wave &order);
    void carryOut(const sched::step_down &order);
    void carryOut(const sched::log_event &note);

    std::string leaseText(bool released, bool stopping) const;
    void commitIfNeeded();
    void sendCommit();
    void onCommitted(const transact_result &result);
    void stopFollowing();
    void loseTerm(std::string_view cause);
    void announceLoss(std::unique_lock<std::mutex> &guard);
    bool renewalIsFresh() const;
    /** Whether the last renewal is recent enough for an order to the fleet; otherwise `done` gets Refused a little later. */
    bool mayOrderFleet(const std::function<void(fleet_status)> &done);
    void readRegistryIfBehind();
    /** False if the rest isn't to be read. */
    bool onRegistryPage(const rows_result &page, bool last);
    void listVms(const std::string &page);
    void onVmPage(const vm_page &page);
    void publishQueues(row_transaction &transaction);

    dispatcher_services m_services;
    node_settings m_settings;
    held_term m_term;
    std::function<void()> m_lost;

    std::mutex m_lock;
    bool m_stopped = false;
    bool m_lostTerm = false;
    bool m_recovered = false;
    bool m_planPending = false;
    sched::scheduler m_scheduler;
    std::unique_ptr<recovery> m_recovery;
    std::vector<sched::event> m_waitingEvents;

    std::shared_ptr<relay_pool> m_relays;
    executor_client m_executors;
    std::map<std::string, node_entry> m_nodes;

    std::unique_ptr<table_feed> m_nodeFeed;
    std::unique_ptr<table_feed> m_jobFeed;
    std::unique_ptr<table_feed> m_executorFeed;

    // The outstanding transaction; it is repeated until its outcome is known.
    std::optional<row_transaction> m_transaction;
    std::int64_t m_transactionBatch = 0;
    bool m_commitInFlight = false;
    sched::time_ms m_commitSentAt = 0;
    sched::renewal_attempts m_attempts;
    sched::time_ms m_commitRetryAt = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_sequenceVersion = 0;
    bool m_transactionRenews = false;
    /** When the last renewal that is known to be stored was sent, or an earlier time. */
    sched::time_ms m_renewedAt = 0;
    std::map<sched::queue_key, std::int64_t> m_publishedWaiting;
    sched::time_ms m_queuesPublishedAt = 0;
    std::vector<row_update> m_statusPuts;

    sched::time_ms m_vmsAskedAt = 0;
    sched::time_ms m_vmsListedAt = 0;
    bool m_listingVms = false;
    bool m_readingRegistry = false;
    std::vector<sched::vm_entry> m_vmPages;
};

} // namespace daisypass
