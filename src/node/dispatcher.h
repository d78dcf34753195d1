#pragma once

// Runs the scheduler for one leadership term: restores it from the stored rows, feeds it changes of jobs, executors and VMs,
// stores its batches, and executes its actions.
//
//     std::shared_ptr<dispatcher> current = std::make_shared<dispatcher>(dependencies, settings, term, onTermLost);
//     current->start();
//     current->tick();                                // every 25 ms
//     current->release(true, [] { ... });             // releases the lease
//
// One mutex guards all state. Callbacks of store, fleet and executor calls run on the HTTP client's thread.

#include "base/metrics.h"
#include "node/leadership.h"
#include "node/relay_pool.h"
#include "node/table_feed.h"
#include "node/transaction_parts.h"
#include "platform/executor_client.h"
#include "platform/fleet_client.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "sched/scheduler.h"

#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>

namespace daisypass {

/** Clients and registries that a dispatcher uses; the referenced objects must outlive it. */
struct dispatcher_dependencies
{
    store_client &store;
    fleet_client &fleet;
    metrics_registry &metrics;
    http_client &client;
    run_after_function runAfter;
};

class dispatcher : public std::enable_shared_from_this<dispatcher>
{
public:
    /** `onTermLost` is called at most once, without the dispatcher's lock held, when the term was lost to another process. */
    dispatcher(dispatcher_dependencies dependencies, const node_settings &settings, held_term term, std::function<void()> onTermLost);
    ~dispatcher();

    void start();
    void tick();
    void configure(const sched::configuration_view &view);
    void addWave(const sched::wave_request &wave);
    /** Applies a stored row of the jobs table ahead of the change feed. */
    void receiveJobRow(const store_row &row);
    /** Stops the dispatcher and stores the lease as released; `stopping` means that the process is shutting down. */
    void release(bool stopping, std::function<void()> done);
    void stop();

private:
    /** Rows read from the store at the start of a term. */
    struct recovery
    {
        std::map<std::string, sched::job_spec> jobs{};
        std::map<std::string, std::string> stateRows{};
        /** Further rows of divided states, by job and key. */
        std::map<std::string, std::map<std::string, std::string>> taskRows{};
        std::vector<std::string> cancelledJobs{};
        int pendingReads = 0;
        /** Lowest version of the answers read so far. */
        std::int64_t version = std::numeric_limits<std::int64_t>::max();
        sched::time_ms startedAt = 0;
    };

    /** Reads the range page by page and retries each page until it succeeds. */
    void readPages(const row_range &range, void (dispatcher::*onRow)(const store_row &));
    void onStateRow(const store_row &row);
    void restoreFleetOrders(const store_row &row);
    void logReadFailure(std::string_view table, store_status status) const;
    void onReadDone(std::unique_lock<std::mutex> &guard);
    void finishRecovery();
    void restoreNextJob(sched::time_ms now);
    void startFeeds(std::int64_t recoveredVersion);
    void onJobRow(const store_row &row);
    void onExecutorRow(const store_row &row);
    void onNodeRow(const store_row &row);

    void handleEvent(const sched::event &event);
    void runScheduler(std::unique_lock<std::mutex> &guard);
    void schedulePlan();
    void recordLoad();
    void execute(const sched::action &action);
    /** The fencing token of an order to an executor. */
    template<typename Order>
    std::int64_t tokenOf(const Order &order) const
    {
        return sched::fencingToken(m_term.term, order.restarts);
    }
    void execute(const sched::start_run &order);
    void execute(const sched::stop_run &order);
    void execute(const sched::throttle_run &order);
    void execute(const sched::poll_executor &order);
    void execute(const sched::request_advice &order);
    void execute(const sched::move_vm &order);
    void execute(const sched::maintain_vm &order);
    void execute(const sched::delete_submissions &order);
    void execute(const sched::publish_wave &order);
    void execute(const sched::step_down &order);
    void execute(const sched::log_event &entry);

    std::string encodeLease(bool released, bool stopping) const;
    void commitIfNeeded();
    /** Takes the scheduler's changes for the next batch. */
    void beginBatch(sched::time_ms now);
    /** Sets the rows at fault in the outstanding transaction aside, or sends the others without them. */
    void onTransactionInvalid(std::unique_lock<std::mutex> &guard);
    /** Passes the outcome of the batch to the scheduler once its last part is stored. */
    void finishBatch(sched::time_ms now);
    void sendCommit();
    void onCommitResult(const transact_result &result);
    void stopFeedsAndRelays();
    void markTermLost(std::string_view cause);
    void notifyTermLost(std::unique_lock<std::mutex> &guard);
    bool renewalIsFresh() const;
    /** Whether the last stored renewal is recent enough for an order to the fleet service; if not, `done` is called asynchronously with Refused. */
    bool admitFleetOrder(const std::function<void(fleet_status)> &done);
    void readRegistryIfStale();
    /** Returns false to skip the remaining pages. */
    bool onRegistryPage(const rows_result &page, bool last);
    void listVms(const std::string &page);
    void onVmPage(const vm_page &page);
    void publishQueueCounts(transaction_part &rows);

    dispatcher_dependencies m_dependencies;
    node_settings m_settings;
    held_term m_term;
    std::function<void()> m_onTermLost;

    std::mutex m_lock;
    bool m_stopped = false;
    bool m_termLost = false;
    bool m_recovered = false;
    bool m_planScheduled = false;
    sched::scheduler m_scheduler;
    std::unique_ptr<recovery> m_recovery;
    std::vector<sched::event> m_eventsBeforeRecovery;

    std::shared_ptr<relay_pool> m_relays;
    /** For the advice service. Orders to executors go through the relays. */
    executor_client m_executors;
    std::map<std::string, node_entry> m_nodes;

    std::unique_ptr<table_feed> m_nodeFeed;
    std::unique_ptr<table_feed> m_jobFeed;
    std::unique_ptr<table_feed> m_executorFeed;

    // The outstanding transaction, which is retried until its outcome is known.
    std::optional<row_transaction> m_transaction;
    std::int64_t m_transactionBatch = 0;
    /** The rows of the current batch. */
    transaction_parts m_parts;
    bool m_transactionHasPart = false;
    bool m_batchRefused = false;
    bool m_commitInFlight = false;
    sched::time_ms m_commitSentAt = 0;
    sched::renewal_attempts m_renewalAttempts;
    sched::time_ms m_commitRetryAt = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_sequenceVersion = 0;
    bool m_transactionRenewsLease = false;
    /** A time no later than when the last renewal known to be stored was sent. */
    sched::time_ms m_renewedAt = 0;
    /** On the store's clock: every job that was stored before this time has been passed to the scheduler; 0 before the first answer. */
    std::int64_t m_jobsCompleteUntil = 0;
    sched::time_ms m_queuesPublishedAt = 0;

    sched::time_ms m_vmListRequestedAt = 0;
    sched::time_ms m_vmListFinishedAt = 0;
    bool m_vmListInFlight = false;
    bool m_registryReadInFlight = false;
    std::vector<sched::vm_entry> m_listedVms;
};

} // namespace daisypass
