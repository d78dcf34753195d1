#pragma once

// Processes callers' requests in this entry: checks headers, enforces at-most-once execution, schedules, and reports outcomes.
//
//     submissions requests(identity, options, pools, table, objects, metrics, peers);
//     requests.submit("booking", httpRequest, respond);
//     requests.query(id, respond);
//     requests.cancel(id, respond);
//
// A request with an idempotency key runs only after its key was claimed in the table service (pools with `claim`) or its ticket was found valid and
// unused (pools with `ticket`). Every submission is answered exactly once.

#include "base/metrics.h"
#include "entry/claim_writer.h"
#include "entry/fate_lookup.h"
#include "entry/header_rules.h"
#include "entry/outcome_table.h"
#include "entry/pool_set.h"
#include "entry/request_id.h"
#include "http/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisypass {

/** Reason that accompanies the fate Pending when the ticket is valid and no request has used it yet. */
constexpr std::string_view ticketNotStarted = "not_started";

struct entry_identity
{
    std::string entry;
    incarnation_number incarnation = 0;
};

struct submission_options
{
    outcome_table_options outcomes = {};
    /** Claims that may wait for the table service at once; further requests with a key are refused as overloaded. */
    std::size_t maxWaitingClaims = 4'096;
    std::uint64_t seed = 1;
};

/** Calls to the incarnation that accepted a request. */
struct peer_queries
{
    fate_lookup::ask_function getFate;
    std::function<void(incarnation_number, std::string_view id, peer_callback<cancel_answer>)> cancel;
};

class submissions
{
public:
    submissions(entry_identity identity,
                submission_options options,
                pool_set &pools,
                table_service table,
                object_store objects,
                metrics_registry &metrics,
                peer_queries peers);
    ~submissions();

    /** Starts accepting requests. Called once the fleet log is replayed: an older view may contain a target that is being drained. */
    void open();
    bool isOpen() const;
    /** Refuses all further requests as shutting_down. */
    void close();
    /** Stops the threads. Requests that still wait for a claim or for a peer are never answered. */
    void stop();

    void submit(std::string_view pool, http_request request, http_responder respond);
    void issueTicket(std::string_view pool, const http_request &request, const http_responder &respond);
    void query(std::string_view id, const http_responder &respond);
    void cancel(std::string_view id, const http_responder &respond);

    /** Answers a peer's query for a request id or a ticket that this incarnation issued. */
    fate_answer fateForPeer(std::string_view id);
    cancel_answer cancelForPeer(std::string_view id);

    /** Drives the retries and deadlines of claims and removes expired outcomes; call about every 10 ms. */
    void tick();
    /** Accepted submissions whose outcome is not known yet. */
    std::size_t unfinished() const;
    /** CPU time of the thread that writes claims. */
    std::chrono::microseconds claimProcessorTime();
    /** Ends all requests that still wait for a claim or a slot as not run. */
    void refuseWaiting(refusal_reason reason);
    /** Writes the outcomes in memory to the object fates/<incarnation>, for peers to read after this process has exited. True if there is nothing to write. */
    bool saveOutcomes(failure &reason);

private:
    struct pending_submission;

    void refuseSubmission(std::string_view pool, const request_outcome &outcome, const http_responder &respond, bool resubmission);
    std::optional<pool_lookup> admit(std::string_view pool, const http_responder &respond, bool resubmission);
    void begin(const std::shared_ptr<pending_submission> &pending);
    void beginWithTicket(const std::shared_ptr<pending_submission> &pending);
    void beginWithRecord(const std::shared_ptr<pending_submission> &pending, request_number number);
    bool accept(const std::shared_ptr<pending_submission> &pending, request_number number);
    void schedule(const std::shared_ptr<pending_submission> &pending);
    void end(const std::shared_ptr<pending_submission> &pending, request_outcome outcome);
    bool tryReopenKey(const std::shared_ptr<pending_submission> &pending, request_number existing);
    void startClaim(const std::shared_ptr<pending_submission> &pending, std::uint64_t replacedVersion);
    void handleClaimResult(const std::shared_ptr<pending_submission> &pending, claim_result result);
    void resolveDuplicate(const std::shared_ptr<pending_submission> &pending, request_outcome outcome, std::uint64_t rowVersion);
    void answerDuplicate(const std::shared_ptr<pending_submission> &pending, request_number existing);
    void askIssuer(const std::shared_ptr<pending_submission> &pending, const ticket &presented);
    void redirectToIssuer(const std::shared_ptr<pending_submission> &pending, incarnation_number issuer);
    std::optional<request_outcome> localFate(const request_id &id) const;
    cancel_answer cancelLocal(const request_id &id);
    bool endWaitingForClaim(request_number number, refusal_reason reason);
    std::int64_t uptimeMs() const;

    const entry_identity m_identity;
    const submission_options m_options;
    pool_set &m_pools;
    object_store m_objects;
    metrics_registry &m_metrics;
    peer_queries m_peers;
    const timestamp m_started;

    outcome_table m_outcomes;
    claim_writer m_claims;
    fate_lookup m_lookup;
    task_queue m_timers;
    std::atomic<bool> m_open{false};
    std::atomic<bool> m_closed{false};
    std::atomic<request_number> m_lastNumber{0};
    std::atomic<std::uint64_t> m_ticketsIssued{0};
    std::atomic<std::size_t> m_unfinished{0};
    std::atomic<std::int64_t> m_lastSweep{0};
    std::mutex m_lock;
    /** Requests whose claim is not settled yet. */
    std::unordered_map<request_number, std::shared_ptr<pending_submission>> m_waitingForClaim;
};

} // namespace daisypass
