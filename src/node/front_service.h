#pragma once

// Answers callers: submits, shows and cancels jobs, and counts waiting ones, with the store alone.
//
//     front_service front(store, writer, metrics);
//     front.configure(view);
//     front.handle(request, respond);

#include "base/metrics.h"
#include "http/http_server.h"
#include "node/submission_writer.h"
#include "platform/store_client.h"
#include "sched/model.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace daisypass {

/** A request's queue and what follows the queue's prefix in the path. */
struct queue_match
{
    sched::queue_config queue;
    std::string pathSuffix;
};

/** The queue with this host and the longest prefix that the path begins with. A port in the host doesn't count. */
std::optional<queue_match> matchQueue(const sched::configuration_view &view, std::string_view host, std::string_view path);
/** Job ids are 16 hexadecimal digits. */
bool isJobId(std::string_view text);

/** Header between nodes: the configuration that the sender of a request or an answer has. */
inline constexpr std::string_view configurationHeader = "Daisypass-Configuration-Version";

/** Sends a request to another node, and passes on its answer or 0 as status if no node was reached. */
using request_forwarder = std::function<void(http_request, http_responder)>;

/** Told of each stored row of the jobs table, so that the lease's holder needn't wait for the store's feed. */
using stored_row_listener = std::function<void(const row_key &, const std::string &)>;

class front_service
{
public:
    /** `forward` is used while this node can't reach the store. */
    front_service(
        store_client &store, std::shared_ptr<submission_writer> writer, metrics_registry &metrics, request_forwarder forward, stored_row_listener onRowStored);

    void configure(std::shared_ptr<const sched::configuration_view> view);
    void handle(http_request request, http_responder respond);
    /** A request that another node has passed on; it goes no further. */
    void handleForwarded(http_request request, http_responder respond);
    /** A call to the store has failed, or one has succeeded. */
    void recordStoreResult(bool reached);
    /** From now on each answer closes its connection, so that callers go to other nodes. */
    void beginDrain();
    int inFlight() const
    {
        return m_inFlight;
    }

private:
    void serve(http_request request, http_responder respond, bool mayForward);
    /** Wraps the responder: an answer for want of the store is replaced by another node's. */
    http_responder withForwarding(http_request request, http_responder respond);
    bool storeRecentlyFailed() const;
    void recordConfigurationVersion(const http_response &forwardedAnswer);
    void submit(const http_request &request, const queue_match &match, bool mayForward, http_responder respond);
    void answerJobState(const std::string &job, http_responder respond);
    void answerUnplacedJobState(const std::string &job, http_responder respond);
    void cancel(const std::string &job, sched::time_ms deadline, http_responder respond);
    void answerWaitingCount(const sched::queue_key &queue, http_responder respond);

    store_client &m_store;
    std::shared_ptr<submission_writer> m_writer;
    metrics_registry &m_metrics;
    request_forwarder m_forward;
    stored_row_listener m_onRowStored;
    std::atomic<sched::time_ms> m_storeFailedAt{0};
    std::mutex m_lock;
    std::shared_ptr<const sched::configuration_view> m_view;
    /** Highest version by which a caller of this node was answered; an older one must not answer again. */
    std::atomic<std::int64_t> m_highestAnsweredVersion{0};
    std::atomic<int> m_inFlight{0};
    std::atomic<bool> m_draining{false};
};

} // namespace daisypass
