#pragma once

// The way of a request through this entry: header check, at-most-once check, scheduling, outcome.
//
//     submissions requests(identity, parts);
//     requests.submit("booking", httpRequest, respond);
//     requests.query(id, respond);
//     requests.cancel(id, respond);
//
// A request that carries an idempotency key is run only after its key was claimed (pools with `claim`) or its ticket was found valid and unused
// (pools with `ticket`). Every submission is answered exactly once.

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

/** Reason of a Pending fate: the ticket is valid, and no request has used it. */
constexpr std::string_view ticketNotStarted = "not_started";

struct entry_identity
{
    std::string entry;
    incarnation_number incarnation = 0;
};

struct submission_options
{
    outcome_table_options outcomes = {};
    /** Claims that may wait for the store at once. */
    std::size_t maxWaitingClaims = 4'096;
    std::uint64_t seed = 1;
};

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

    /** New requests are refused until this is called, because a view that is not replayed yet may name a target that is leaving. */
    void open();
    bool isOpen() const;
    /** New requests are refused as shutting_down from now on. */
    void close();
    /** Stops the threads; requests that wait for a claim or a peer get no answer any more. */
    void stop();

    void submit(std::string_view pool, http_request request, http_responder respond);
    void issueTicket(std::string_view pool, const http_request &request, const http_responder &respond);
    void query(std::string_view id, const http_responder &respond);
    void cancel(std::string_view id, const http_responder &respond);

    /** For peers: this incarnation's knowledge of a request id or ticket. */
    fate_answer fateForPeer(std::string_view id);
    cancel_answer cancelForPeer(std::string_view id);

    void tick();
    /** Submissions that have not ended. */
    std::size_t unfinished() const;
    /** Processor time of the thread that claims keys. */
    std::chrono::microseconds claimProcessorTime();
    /** Withdraws what still waits for a claim or a slot. */
    void refuseWaiting(refusal_reason reason);
    /** Writes the outcomes held as fates/<incarnation>; true if there is nothing to write. */
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
    std::atomic<std::uint64_t> m_tickets{0};
    std::atomic<std::size_t> m_unfinished{0};
    std::atomic<std::int64_t> m_lastSweep{0};
    std::mutex m_lock;
    /** Requests that wait for their claim. */
    std::unordered_map<request_number, std::shared_ptr<pending_submission>> m_waitingForClaim;
};

} // namespace daisypass
