#include "entry/submissions.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace daisypass {
namespace {

constexpr duration defaultRetryAfter{1'000'000};
constexpr duration sweepInterval{1'000'000};
constexpr std::int64_t ticketLifetimeMs = 600'000;
// The platform's time limit for a call allows writing objects of this size. Responses beyond it are omitted.
constexpr std::size_t maxSavedResponseBytes = std::size_t{8} << 20;

// "Not run" as the answer to a resubmission must hold for every earlier submission with the same key. Until the key is settled, only this
// submission is known not to have run, so the outcome becomes Unknown.
request_outcome outcomeForCaller(request_outcome outcome, bool earlierUnknown)
{
    if (earlierUnknown && outcome.fate == request_fate::NotRun) {
        outcome.fate = request_fate::Unknown;
        outcome.detail += "; this submission was not run, but an earlier one with the same key may have been";
    }
    return outcome;
}

} // namespace

/** A submission with valid headers whose outcome is not known yet. */
struct submissions::pending_submission
{
    submission parsed;
    pool_lookup lookup;
    const pool_config *poolConfig = nullptr;
    http_responder respond;
    /** Identifies pool, team and idempotency key, in the claim's row and in the outcome table; empty without an idempotency key. */
    std::string scopedKey;
    request_number number = 0;
    std::string id;
    /** Whether the outcome table has a record of the request. */
    bool hasOutcomeRecord = false;
    /** Whether the key belongs to this request, or to an earlier one whose outcome was looked up. */
    std::atomic<bool> keySettled{false};
};

submissions::submissions(entry_identity identity,
                         submission_options options,
                         pool_set &pools,
                         table_service table,
                         object_store objects,
                         metrics_registry &metrics,
                         peer_queries peers)
    : m_identity(std::move(identity))
    , m_options(options)
    , m_pools(pools)
    , m_objects(objects)
    , m_metrics(metrics)
    , m_peers(std::move(peers))
    , m_started(steadyNow())
    , m_outcomes(options.outcomes)
    , m_claims(std::move(table), m_identity.incarnation, options.seed)
    , m_lookup(std::move(objects), m_peers.getFate)
{
    m_claims.start();
}

submissions::~submissions()
{
    stop();
}

void submissions::open()
{
    m_open = true;
}

bool submissions::isOpen() const
{
    return m_open;
}

void submissions::close()
{
    m_closed = true;
}

void submissions::stop()
{
    m_lookup.stop();
    m_timers.stop();
    m_claims.stop();
}

std::int64_t submissions::uptimeMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_started).count();
}

void submissions::refuseSubmission(std::string_view pool, const request_outcome &outcome, const http_responder &respond, bool resubmission)
{
    m_metrics.findCounter("daisypass_submissions_refused_total", {{"pool", std::string(pool)}, {"reason", outcome.reason}}).add();
    respond(toResponse(outcomeForCaller(outcome, resubmission), {}));
}

std::optional<pool_lookup> submissions::admit(std::string_view pool, const http_responder &respond, bool resubmission)
{
    if (m_closed) {
        refuseSubmission("", notRun(refusal_reason::ShuttingDown, "the entry is stopping", defaultRetryAfter), respond, resubmission);
        return std::nullopt;
    }
    if (!m_open) {
        refuseSubmission("", notRun(refusal_reason::Isolated, "the entry has not replayed the fleet log yet", defaultRetryAfter), respond, resubmission);
        return std::nullopt;
    }
    pool_lookup found = m_pools.find(pool);
    if (!found.shard) {
        refuseSubmission("", notRun(refusal_reason::UnknownPool, "no pool has this name"), respond, resubmission);
        return std::nullopt;
    }
    return found;
}

void submissions::submit(std::string_view pool, http_request request, http_responder respond)
{
    const bool resubmission = isResubmission(request.headers);
    std::optional<pool_lookup> found = admit(pool, respond, resubmission);
    if (!found) {
        return;
    }
    const configuration &config = found->state->config();
    const pool_config &poolConfig = config.pools.find(pool)->second;
    std::variant<submission, request_outcome> parsed = parseSubmission(std::move(request), poolConfig, config.teams, steadyNow());
    if (const request_outcome *refused = std::get_if<request_outcome>(&parsed)) {
        refuseSubmission(pool, *refused, respond, resubmission);
        return;
    }
    std::shared_ptr<pending_submission> pending = std::make_shared<pending_submission>();
    pending->parsed = std::move(std::get<submission>(parsed));
    pending->lookup = *std::move(found);
    pending->poolConfig = &poolConfig;
    pending->respond = std::move(respond);
    begin(pending);
}

void submissions::begin(const std::shared_ptr<pending_submission> &pending)
{
    const submission &parsed = pending->parsed;
    if (!parsed.idempotencyKey.empty()) {
        pending->scopedKey = claimKey(parsed.info.pool, parsed.info.team, parsed.idempotencyKey);
        if (pending->poolConfig->atMostOnce == at_most_once_mode::Ticket) {
            beginWithTicket(pending);
        } else if (m_claims.waiting() >= m_options.maxWaitingClaims) {
            refuseSubmission(parsed.info.pool,
                             notRun(refusal_reason::Overloaded, "too many claims wait for the store", defaultRetryAfter),
                             pending->respond,
                             pending->parsed.resubmission);
        } else {
            beginWithRecord(pending, ++m_lastNumber);
        }
    } else if (parsed.respondAsync) {
        beginWithRecord(pending, ++m_lastNumber);
    } else if (accept(pending, ++m_lastNumber)) {
        schedule(pending);
    }
}

void submissions::beginWithTicket(const std::shared_ptr<pending_submission> &pending)
{
    const submission &parsed = pending->parsed;
    const std::optional<ticket> presented = parseTicket(parsed.idempotencyKey);
    if (!presented) {
        refuseSubmission(parsed.info.pool,
                         notRun(refusal_reason::TicketRequired, "Idempotency-Key: expected a ticket of this pool"),
                         pending->respond,
                         pending->parsed.resubmission);
        return;
    }
    if (presented->incarnation != m_identity.incarnation) {
        askIssuer(pending, *presented);
        return;
    }
    const ticket_validity validity = checkTicket(*presented, uptimeMs(), m_ticketsIssued);
    if (validity == ticket_validity::Forged) {
        refuseSubmission(parsed.info.pool,
                         notRun(refusal_reason::BadRequest, "Idempotency-Key: expected a ticket as issued"),
                         pending->respond,
                         pending->parsed.resubmission);
    } else if (validity == ticket_validity::Expired && !m_outcomes.find(presented->number)) {
        pending->respond(toResponse(expired("the ticket may no longer start a run"), formatRequestId({presented->incarnation, presented->number})));
    } else {
        beginWithRecord(pending, presented->number);
    }
}

// Adds the record before the request is claimed or scheduled, so that a second submission with the same key finds it.
void submissions::beginWithRecord(const std::shared_ptr<pending_submission> &pending, request_number number)
{
    const std::string &pool = pending->parsed.info.pool;
    const outcome_registration registered = m_outcomes.add(number, pending->scopedKey);
    switch (registered.result) {
    case registration_result::Duplicate:
        if (!tryReopenKey(pending, registered.existing)) {
            answerDuplicate(pending, registered.existing);
            return;
        }
        if (registered.existing != number) {
            beginWithRecord(pending, number);
            return;
        }
        break;
    case registration_result::NumberTaken:
        refuseSubmission(pool,
                         notRun(refusal_reason::BadRequest, "Idempotency-Key: the ticket belongs to another pool or team"),
                         pending->respond,
                         pending->parsed.resubmission);
        return;
    case registration_result::Full:
        refuseSubmission(
            pool, notRun(refusal_reason::Overloaded, "too many outcomes are held", defaultRetryAfter), pending->respond, pending->parsed.resubmission);
        return;
    case registration_result::Added:
        break;
    }
    pending->hasOutcomeRecord = true;
    pending->keySettled = pending->poolConfig->atMostOnce == at_most_once_mode::Ticket;
    if (!accept(pending, number)) {
        return;
    }
    const bool needsClaim = !pending->scopedKey.empty() && pending->poolConfig->atMostOnce == at_most_once_mode::Claim;
    if (needsClaim) {
        startClaim(pending, 0);
    } else {
        schedule(pending);
    }
}

// A key whose request was not run may be used again; otherwise a caller that follows Retry-After could never succeed. A ticket's
// request restarts under the same number, since only this incarnation may run it. In a pool with claims the key is released
// for a new request, which must replace the claim row of the earlier one: if several entries try, only one succeeds.
// Only a marked resubmission may reopen a key. Otherwise a first submission that was delayed, for example in the socket of a
// frozen entry, could run after its caller was told that the resubmission was not run.
bool submissions::tryReopenKey(const std::shared_ptr<pending_submission> &pending, request_number existing)
{
    if (!pending->parsed.resubmission) {
        return false;
    }
    if (pending->poolConfig->atMostOnce == at_most_once_mode::Ticket) {
        return m_outcomes.restart(existing);
    }
    const std::optional<request_outcome> known = m_outcomes.find(existing);
    if (!known || known->fate != request_fate::NotRun) {
        return false;
    }
    m_outcomes.releaseKey(existing, pending->scopedKey);
    return true;
}

// Counts the submission as unfinished from here on. Returns false, with the submission already ended, if close() was called meanwhile.
bool submissions::accept(const std::shared_ptr<pending_submission> &pending, request_number number)
{
    pending->number = number;
    pending->id = formatRequestId({m_identity.incarnation, number});
    ++m_unfinished;
    if (pending->parsed.respondAsync) {
        pending->respond(acceptedResponse(pending->id));
    } else if (pending->hasOutcomeRecord) {
        m_outcomes.wait(number, [pending](request_outcome outcome) {
            pending->respond(toResponse(outcomeForCaller(std::move(outcome), pending->parsed.resubmission && !pending->keySettled), pending->id));
        });
    }
    // Checked after the increment, so that a shutdown either waits for the submission or the submission is refused.
    if (m_closed) {
        end(pending, notRun(refusal_reason::ShuttingDown, "the entry is stopping", defaultRetryAfter));
        return false;
    }
    return true;
}

void submissions::schedule(const std::shared_ptr<pending_submission> &pending)
{
    std::shared_ptr<active_request> request = std::make_shared<active_request>();
    request->info = pending->parsed.info;
    request->info.number = pending->number;
    request->id = pending->id;
    request->headers = std::move(pending->parsed.headers);
    request->body = std::move(pending->parsed.body);
    request->done = [this, pending](request_outcome outcome) {
        end(pending, std::move(outcome));
    };
    if (pending->hasOutcomeRecord) {
        request->onRunning = [this, number = pending->number] {
            m_outcomes.setRunning(number);
        };
    }
    pending->lookup.shard->submit(std::move(request));
}

void submissions::end(const std::shared_ptr<pending_submission> &pending, request_outcome outcome)
{
    if (pending->hasOutcomeRecord) {
        m_outcomes.finish(pending->number, outcome, steadyNow());
    } else {
        pending->respond(toResponse(std::move(outcome), pending->id));
    }
    --m_unfinished;
}

void submissions::startClaim(const std::shared_ptr<pending_submission> &pending, std::uint64_t replacedVersion)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_waitingForClaim.emplace(pending->number, pending);
    }
    claim row{pending->number, pending->scopedKey, claimValue(m_identity.entry, pending->id), pending->parsed.info.deadline, replacedVersion};
    m_claims.submit(std::move(row), [this, pending](claim_result result) {
        handleClaimResult(pending, std::move(result));
    });
}

void submissions::handleClaimResult(const std::shared_ptr<pending_submission> &pending, claim_result result)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_waitingForClaim.erase(pending->number);
    }
    if (std::holds_alternative<claim_won>(result)) {
        pending->keySettled = true;
        schedule(pending);
        return;
    }
    const claim_duplicate *duplicate = std::get_if<claim_duplicate>(&result);
    if (duplicate == nullptr) {
        end(pending, notRun(refusal_reason::StoreUnavailable, "the store did not answer in time; this submission was not run", defaultRetryAfter));
        return;
    }
    m_metrics.findCounter("daisypass_duplicates_total", {{"pool", pending->parsed.info.pool}}).add();
    const std::optional<std::string> claimant = claimantOf(duplicate->value);
    const std::optional<request_id> id = claimant ? parseRequestId(*claimant) : std::nullopt;
    if (!id) {
        end(pending, request_outcome{request_fate::Unknown, "claim_unreadable", "the key's claim names no request", {}, {}});
    } else if (id->incarnation == m_identity.incarnation) {
        const std::optional<request_outcome> earlier = m_outcomes.find(id->number);
        if (earlier && earlier->fate == request_fate::NotRun && pending->parsed.resubmission) {
            startClaim(pending, duplicate->version);
            return;
        }
        // A record of this incarnation is removed only after its retention, and the claim row outlives it.
        end(pending, expired("the outcome of the first request with this key is no longer held"));
    } else {
        const fate_query query{*claimant, id->incarnation, pending->parsed.info.deadline, true};
        m_lookup.find(query, [this, pending, rowVersion = duplicate->version](request_outcome outcome) {
            resolveDuplicate(pending, std::move(outcome), rowVersion);
        });
    }
}

void submissions::resolveDuplicate(const std::shared_ptr<pending_submission> &pending, request_outcome outcome, std::uint64_t rowVersion)
{
    if (outcome.fate == request_fate::NotRun && pending->parsed.resubmission && steadyNow() < pending->parsed.info.deadline && !m_closed) {
        startClaim(pending, rowVersion);
        return;
    }
    pending->keySettled = true;
    const bool settled = outcome.isFinal() && outcome.fate != request_fate::Unknown;
    if (settled || pending->parsed.respondAsync) {
        if (!outcome.isFinal()) {
            outcome = request_outcome{request_fate::Unknown, "not_ended", "the first request with this key had not ended at the deadline", {}, {}};
        }
        end(pending, std::move(outcome));
        return;
    }
    // The record is removed, so that the next submission with this key asks the other entry again and may get a final outcome.
    m_outcomes.finishAndRemove(pending->number, outcome);
    --m_unfinished;
}

void submissions::answerDuplicate(const std::shared_ptr<pending_submission> &pending, request_number existing)
{
    m_metrics.findCounter("daisypass_duplicates_total", {{"pool", pending->parsed.info.pool}}).add();
    const std::string id = formatRequestId({m_identity.incarnation, existing});
    if (pending->parsed.respondAsync) {
        pending->respond(acceptedResponse(id));
        return;
    }
    const http_responder respond = pending->respond;
    const bool unsettled = pending->parsed.resubmission && pending->poolConfig->atMostOnce == at_most_once_mode::Claim;
    const bool waits = m_outcomes.wait(existing, [respond, id, unsettled](request_outcome outcome) {
        respond(toResponse(outcomeForCaller(std::move(outcome), unsettled), id));
    });
    if (!waits) {
        respond(toResponse(expired("the outcome is no longer held"), id));
        return;
    }
    // A responder ignores all calls but the first. If the first request has not ended by the duplicate's own deadline, the duplicate gets its current state.
    m_timers.postAt(pending->parsed.info.deadline, [this, respond, id, existing, unsettled] {
        respond(toResponse(outcomeForCaller(m_outcomes.find(existing).value_or(expired("the outcome is no longer held")), unsettled), id));
    });
}

void submissions::askIssuer(const std::shared_ptr<pending_submission> &pending, const ticket &presented)
{
    const fate_query query{pending->parsed.idempotencyKey, presented.incarnation, pending->parsed.info.deadline, false};
    m_lookup.find(query, [this, pending, presented](request_outcome outcome) {
        const bool mayStart = outcome.fate == request_fate::NotRun || (outcome.fate == request_fate::Pending && outcome.reason == ticketNotStarted);
        if (mayStart) {
            redirectToIssuer(pending, presented.incarnation);
        } else {
            pending->respond(toResponse(std::move(outcome), formatRequestId({presented.incarnation, presented.number})));
        }
    });
}

// Only the issuer of the ticket may run the request, and entries never forward requests to each other, so the caller is redirected.
void submissions::redirectToIssuer(const std::shared_ptr<pending_submission> &pending, incarnation_number issuer)
{
    http_response response = toResponse(notRun(refusal_reason::TicketRequired, "the ticket can be used at the entry that issued it"), {});
    for (const std::pair<const std::string, entry_record> &entry : m_pools.state()->entries()) {
        if (entry.second.incarnation == issuer) {
            constexpr int temporaryRedirect = 307;
            response.status = temporaryRedirect;
            response.headers.push_back({"Location", "http://" + toString(entry.second.callers) + "/v1/pools/" + pending->parsed.info.pool + "/requests"});
        }
    }
    pending->respond(std::move(response));
}

void submissions::issueTicket(std::string_view pool, const http_request &request, const http_responder &respond)
{
    const std::optional<pool_lookup> found = admit(pool, respond, false);
    if (!found) {
        return;
    }
    const configuration &config = found->state->config();
    const pool_config &poolConfig = config.pools.find(pool)->second;
    if (std::optional<request_outcome> refused = checkTeam(findHeader(request.headers, "Daisypass-Team"), poolConfig, config.teams)) {
        refuseSubmission(pool, *refused, respond, false);
        return;
    }
    if (poolConfig.atMostOnce != at_most_once_mode::Ticket) {
        refuseSubmission(pool, notRun(refusal_reason::BadRequest, "the pool takes any idempotency key and issues no tickets"), respond, false);
        return;
    }
    const ticket issued{m_identity.incarnation, ticketNumberBase + ++m_ticketsIssued, uptimeMs()};
    const nlohmann::ordered_json body{
        {"ticket", formatTicket(issued)}, {"valid_ms", ticketLifetimeMs}, {"request_id", formatRequestId({issued.incarnation, issued.number})}};
    respond({201, {{"Content-Type", "application/json"}}, body.dump()});
}

void submissions::tick()
{
    m_claims.tick();
    const timestamp now = steadyNow();
    if (now.count() - m_lastSweep >= sweepInterval.count()) {
        m_lastSweep = now.count();
        m_outcomes.removeExpired(now);
        m_metrics.findGauge("daisypass_outcomes_held").set(static_cast<double>(m_outcomes.size()));
        m_metrics.findGauge("daisypass_outcomes_held_bytes").set(static_cast<double>(m_outcomes.bytes()));
        m_metrics.findGauge("daisypass_claims_waiting").set(static_cast<double>(m_claims.waiting()));
        m_metrics.findGauge("daisypass_requests_unfinished").set(static_cast<double>(m_unfinished));
    }
}

std::size_t submissions::unfinished() const
{
    return m_unfinished;
}

std::chrono::microseconds submissions::claimProcessorTime()
{
    return m_claims.processorTime();
}

void submissions::refuseWaiting(refusal_reason reason)
{
    std::vector<request_number> numbers;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        for (const std::pair<const request_number, std::shared_ptr<pending_submission>> &waiting : m_waitingForClaim) {
            numbers.push_back(waiting.first);
        }
    }
    for (request_number number : numbers) {
        if (m_claims.cancel(number)) {
            endWaitingForClaim(number, reason);
        }
    }
    m_pools.refuseQueued(reason);
}

bool submissions::saveOutcomes(failure &reason)
{
    std::vector<std::pair<std::string, request_outcome>> outcomes;
    for (std::pair<request_number, request_outcome> &record : m_outcomes.all()) {
        if (!record.second.isFinal()) {
            record.second = request_outcome{};
        }
        outcomes.emplace_back(formatRequestId({m_identity.incarnation, record.first}), std::move(record.second));
    }
    return outcomes.empty() || m_objects.put(fatesObjectName(m_identity.incarnation), encodeFates(outcomes, maxSavedResponseBytes), reason);
}

} // namespace daisypass
