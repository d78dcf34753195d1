#pragma once

// Serves callers' requests on any node: submits jobs, returns their state, cancels them, and counts waiting ones. It needs only the
// store, not the lease holder.
//
//     front_service front(store, writer, metrics, forward, onRowStored);
//     front.configure(view);
//     front.handle(request, respond);

#include "base/metrics.h"
#include "http/http_server.h"
#include "node/job_access.h"
#include "node/job_admission.h"
#include "node/key_check.h"
#include "node/key_lease.h"
#include "node/submission_writer.h"
#include "platform/store_client.h"
#include "sched/model.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace daisypass {

/** The queue that a request addresses, and the part of the path after the queue's prefix: a job's id, or empty. */
struct queue_match
{
    sched::queue_config queue;
    std::string pathSuffix;
};

/** The queue with this host and the longest prefix of the path. A port in the host is ignored. */
std::optional<queue_match> matchQueue(const sched::configuration_view &view, std::string_view host, std::string_view path);
/** Job ids are 16 hexadecimal digits. */
bool isJobId(std::string_view text);

/** Header between nodes: the version of the configuration that the sender of a request or an answer uses. */
inline constexpr std::string_view configurationHeader = "Daisypass-Configuration-Version";

/** Forwards a request to another node and passes its answer to the responder; status 0 if no node was reached. */
using request_forwarder = std::function<void(http_request, http_responder)>;

/** Called with each stored row of the jobs table, so that the lease holder needn't wait for the store's change feed. */
using stored_row_listener = std::function<void(const row_key &, const std::string &)>;

/** Whether another node may have a better answer than this one. */
enum class answer_scope {
    /** The answer is the deployment's; other nodes would give the same. */
    Final,
    /** This node could not use the store, and another one may. */
    StoreUnavailable,
    /** This node can't answer for another reason, for example because its configuration is older than the caller has seen. */
    NodeUnavailable,
};

struct front_answer
{
    http_response response;
    answer_scope scope = answer_scope::Final;
};

using front_responder = std::function<void(front_answer)>;

class front_service
{
public:
    /**
     * `forward` is used while this node can't reach the store or has no configuration, and while its configuration is older than one it
     * has answered with.
     */
    front_service(
        store_client &store, std::shared_ptr<submission_writer> writer, metrics_registry &metrics, request_forwarder forward, stored_row_listener onRowStored);

    /** Sets the largest row that the store takes; a job with a longer one is refused. Called before the first request. */
    void limitRows(std::size_t bytes)
    {
        m_maxRowBytes = bytes;
    }
    /** Sets the rules of keys, and the lease by which the node's knowledge of them is judged. Called before the first request. */
    void useKeys(const key_rules &rules, std::shared_ptr<const key_lease> lease);
    void configure(std::shared_ptr<const sched::configuration_view> view);
    job_admission &admission()
    {
        return m_admission;
    }
    void handle(http_request request, http_responder respond);
    /** Serves a request that another node has forwarded; it isn't forwarded again. */
    void handleForwarded(http_request request, http_responder respond);
    /** Records whether the latest call to the store reached it. */
    void recordStoreResult(bool reached);
    /** Makes each further answer close its connection, so that callers connect to other nodes. */
    void beginDrain();
    int inFlight() const
    {
        return m_inFlight;
    }

private:
    /** The configuration in force, with the index of its keys. */
    struct served_configuration
    {
        std::shared_ptr<const sched::configuration_view> view;
        tenant_keys keys;
    };

    /** A call whose queue is known and whose key, if it needs one, was accepted. */
    struct admitted_call
    {
        std::shared_ptr<const served_configuration> configuration;
        queue_match match;
        std::string tenant;
        bool mayForward = false;
    };

    void serve(http_request request, http_responder respond, bool mayForward);
    /** Returns a responder that forwards the request to another node if this node's answer isn't final. */
    front_responder withForwarding(http_request request, http_responder respond);
    bool storeRecentlyFailed() const;
    void recordConfigurationVersion(const http_response &forwardedAnswer);
    /** Serves the call if it passes the checks of queue and key. */
    void admit(const http_request &request,
               std::shared_ptr<const served_configuration> configuration,
               const key_knowledge &knowledge,
               bool mayForward,
               const front_responder &respond);
    key_decision decideOnCall(const http_request &request,
                              const served_configuration &configuration,
                              const sched::queue_config &queue,
                              const key_knowledge &knowledge) const;
    front_answer refuseForKey(const http_request &request, key_verdict verdict);
    void serveAdmitted(const http_request &request, const admitted_call &call, front_responder respond);
    void submit(const http_request &request, const admitted_call &call, front_responder respond);
    void answerJobState(const std::string &job, front_responder respond);
    void answerUnplacedJobState(const std::string &job, front_responder respond);
    /** Refuses a job for which the lease holder has no room, unless an earlier submission of it was stored. */
    void refuseUnlessStored(const std::string &job, const std::string &row, const job_refusal &noRoom, front_responder respond);
    void finishSubmission(const std::string &job, const std::string &row, const submission_outcome &written, const front_responder &respond);
    void cancel(const admitted_call &call, sched::time_ms deadline, front_responder respond);
    /** Cancels the job of a stored submission if the caller may cancel it. */
    void cancelIfAllowed(const admitted_call &call, const std::string &row, sched::time_ms deadline, const front_responder &respond);
    /** Cancels a job whose submission is stored. */
    void cancelStored(const std::string &job, sched::time_ms deadline, front_responder respond);
    /** Keeps a submission of the unknown job that may be under way from being stored. */
    void barSubmission(const admitted_call &call, sched::time_ms deadline, front_responder respond);
    void answerWaitingCount(const sched::queue_key &queue, front_responder respond);

    store_client &m_store;
    std::shared_ptr<submission_writer> m_writer;
    metrics_registry &m_metrics;
    request_forwarder m_forward;
    stored_row_listener m_onRowStored;
    job_admission m_admission;
    std::size_t m_maxRowBytes = sched::bounds{}.rowBytes;
    std::atomic<sched::time_ms> m_storeFailedAt{0};
    std::mutex m_lock;
    std::shared_ptr<const served_configuration> m_configuration;
    bool m_keysAlwaysRequired = false;
    std::shared_ptr<const key_lease> m_keyLease = std::make_shared<const key_lease>(key_rules{});
    /** Highest configuration version used in an answer to a caller of this node. Later answers must not use an older one. */
    std::atomic<std::int64_t> m_highestAnsweredVersion{0};
    std::atomic<int> m_inFlight{0};
    std::atomic<bool> m_draining{false};
};

} // namespace daisypass
