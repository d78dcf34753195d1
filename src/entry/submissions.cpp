#include "entry/submissions.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace daisypass {
namespace {

constexpr duration retrySoon{1'000'000};
constexpr duration sweepInterval{1'000'000};
constexpr std::int64_t ticketValidMs = 600'000;
// Objects of this size are written within the platform's time limit for a call; larger answers are dropped from the hand-over, oldest first.
constexpr std::size_t maxHandOverBytes = std::size_t{8} << 20;

// "Not run" said of a resubmission must hold for every earlier submission with the same key. Until the key is settled
// only this submission is known not to have run.
request_outcome reported(request_outcome outcome, bool earlierUnknown)
{
    if (earlierUnknown && outcome.fate == request_fate::NotRun) {
        outcome.fate = request_fate::Unknown;
        outcome.detail += "; this submission was not run, but an earlier one with the same key may have been";
    }
    return outcome;
}

} // namespace

/** A submission whose headers were found right. */
struct submissions::prepared
{
    submission read;
    pool_lookup target;
    const pool_config *pool = nullptr;
    http_responder respond;
    /** Pool, team and key; empty without a key. */
    std::string scope;
    request_number number = 0;
    std::string id;
    /** Whether the outcome table holds the request. */
    bool retained = false;
    /** Whether the key is known to belong to this request, or to one whose outcome is known. */
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

std::int64_t submissions::sinceStartMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_started).count();
}

void submissions::refuseSubmission(std::string_view pool, const request_outcome &outcome, const http_responder &respond, bool resubmission)
{
    m_metrics.findCounter("daisypass_submissions_refused_total", {{"pool", std::string(pool)}, {"reason", outcome.reason}}).add();
    respond(toResponse(reported(outcome, resubmission), {}));
}

std::optional<pool_lookup> submissions::admit(std::string_view pool, const http_responder &respond, bool resubmission)
{
    if (m_closed) {
        refuseSubmission("", notRun(refusal_reason::ShuttingDown, "the entry is stopping", retrySoon), respond, resubmission);
        return std::nullopt;
    }
    if (!m_open) {
        refuseSubmission("", notRun(refusal_reason::Isolated, "the entry has not replayed the fleet log yet", retrySoon), respond, resubmission);
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
    const pool_config &target = config.pools.find(pool)->second;
    std::variant<submission, request_outcome> read = readSubmission(std::move(request), target, config.teams, steadyNow());
    if (const request_outcome *refused = std::get_if<request_outcome>(&read)) {
        refuseSubmission(pool, *refused, respond, resubmission);
        return;
    }
    std::shared_ptr<prepared> wanted = std::make_shared<prepared>();
    wanted->read = std::move(std::get<submission>(read));
    wanted->target = *std::move(found);
    wanted->pool = &target;
    wanted->respond = std::move(respond);
    begin(wanted);
}

void submissions::begin(const std::shared_ptr<prepared> &wanted)
{
    const submission &read = wanted->read;
    if (!read.idempotencyKey.empty()) {
        wanted->scope = claimKey(read.info.pool, read.info.team, read.idempotencyKey);
        if (wanted->pool->atMostOnce == at_most_once_mode::Ticket) {
            beginWithTicket(wanted);
        } else if (m_claims.waiting() >= m_options.maxWaitingClaims) {
            refuseSubmission(read.info.pool,
                             notRun(refusal_reason::Overloaded, "too many claims wait for the store", retrySoon),
                             wanted->respond,
                             wanted->read.resubmission);
        } else {
            beginRetained(wanted, ++m_lastNumber);
        }
    } else if (read.respondAsync) {
        beginRetained(wanted, ++m_lastNumber);
    } else if (accept(wanted, ++m_lastNumber)) {
        schedule(wanted);
    }
}

void submissions::beginWithTicket(const std::shared_ptr<prepared> &wanted)
{
    const submission &read = wanted->read;
    const std::optional<ticket> shown = parseTicket(read.idempotencyKey);
    if (!shown) {
        refuseSubmission(read.info.pool,
                         notRun(refusal_reason::TicketRequired, "Idempotency-Key: expected a ticket of this pool"),
                         wanted->respond,
                         wanted->read.resubmission);
        return;
    }
    if (shown->incarnation != m_identity.incarnation) {
        askIssuer(wanted, *shown);
        return;
    }
    const ticket_validity validity = checkTicket(*shown, sinceStartMs(), m_tickets);
    if (validity == ticket_validity::Forged) {
        refuseSubmission(
            read.info.pool, notRun(refusal_reason::BadRequest, "Idempotency-Key: expected a ticket as issued"), wanted->respond, wanted->read.resubmission);
    } else if (validity == ticket_validity::Expired && !m_outcomes.find(shown->number)) {
        wanted->respond(toResponse(expired("the ticket may no longer start a run"), formatRequestId({shown->incarnation, shown->number})));
    } else {
        beginRetained(wanted, shown->number);
    }
}

// The record is made before anything else happens, so that a second submission with the same key finds it.
void submissions::beginRetained(const std::shared_ptr<prepared> &wanted, request_number number)
{
    const std::string &pool = wanted->read.info.pool;
    const outcome_registration registered = m_outcomes.add(number, wanted->scope);
    switch (registered.result) {
    case registration_result::Duplicate:
        if (!mayRunAgain(wanted, registered.existing)) {
            answerDuplicate(wanted, registered.existing);
            return;
        }
        if (registered.existing != number) {
            beginRetained(wanted, number);
            return;
        }
        break;
    case registration_result::NumberTaken:
        refuseSubmission(pool,
                         notRun(refusal_reason::BadRequest, "Idempotency-Key: the ticket belongs to another pool or team"),
                         wanted->respond,
                         wanted->read.resubmission);
        return;
    case registration_result::Full:
        refuseSubmission(pool, notRun(refusal_reason::Overloaded, "too many outcomes are held", retrySoon), wanted->respond, wanted->read.resubmission);
        return;
    case registration_result::Added:
        break;
    }
    wanted->retained = true;
    wanted->keySettled = wanted->pool->atMostOnce == at_most_once_mode::Ticket;
    if (!accept(wanted, number)) {
        return;
    }
    const bool claims = !wanted->scope.empty() && wanted->pool->atMostOnce == at_most_once_mode::Claim;
    if (claims) {
        startClaim(wanted, 0);
    } else {
        schedule(wanted);
    }
}

// A key whose request was not run may be used again, or a caller that was told to retry could never succeed. A ticket's
// request starts again under its number, since only this incarnation can run it. In a pool with claims the key is freed
// for a new request, which must replace the claim row of the earlier one: of several entries that try, one succeeds.
// Only a marked resubmission may do so. Otherwise a first submission that was delayed, for example in the socket of a
// frozen entry, could run after its caller was told that the resubmission was not run.
bool submissions::mayRunAgain(const std::shared_ptr<prepared> &wanted, request_number existing)
{
    if (!wanted->read.resubmission) {
        return false;
    }
    if (wanted->pool->atMostOnce == at_most_once_mode::Ticket) {
        return m_outcomes.restart(existing);
    }
    const std::optional<request_outcome> known = m_outcomes.find(existing);
    if (!known || known->fate != request_fate::NotRun) {
        return false;
    }
    m_outcomes.releaseKey(existing, wanted->scope);
    return true;
}

// From here on the submission counts as unfinished; false if the entry was closed meanwhile.
bool submissions::accept(const std::shared_ptr<prepared> &wanted, request_number number)
{
    wanted->number = number;
    wanted->id = formatRequestId({m_identity.incarnation, number});
    ++m_unfinished;
    if (wanted->read.respondAsync) {
        wanted->respond(acceptedResponse(wanted->id));
    } else if (wanted->retained) {
        m_outcomes.wait(number, [wanted](request_outcome outcome) {
            wanted->respond(toResponse(reported(std::move(outcome), wanted->read.resubmission && !wanted->keySettled), wanted->id));
        });
    }
    // Checked after the count was raised, so that a stop either sees the submission or refuses it.
    if (m_closed) {
        end(wanted, notRun(refusal_reason::ShuttingDown, "the entry is stopping", retrySoon));
        return false;
    }
    return true;
}

void submissions::schedule(const std::shared_ptr<prepared> &wanted)
{
    std::shared_ptr<live_request> live = std::make_shared<live_request>();
    live->info = wanted->read.info;
    live->info.number = wanted->number;
    live->id = wanted->id;
    live->headers = std::move(wanted->read.headers);
    live->body = std::move(wanted->read.body);
    live->done = [this, wanted](request_outcome outcome) {
        end(wanted, std::move(outcome));
    };
    if (wanted->retained) {
        live->running = [this, number = wanted->number] {
            m_outcomes.setRunning(number);
        };
    }
    wanted->target.shard->submit(std::move(live));
}

void submissions::end(const std::shared_ptr<prepared> &wanted, request_outcome outcome)
{
    if (wanted->retained) {
        m_outcomes.finish(wanted->number, outcome, steadyNow());
    } else {
        wanted->respond(toResponse(std::move(outcome), wanted->id));
    }
    --m_unfinished;
}

void submissions::startClaim(const std::shared_ptr<prepared> &wanted, std::uint64_t replaces)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_claiming.emplace(wanted->number, wanted);
    }
    claim row{wanted->number, wanted->scope, claimValue(m_identity.entry, wanted->id), wanted->read.info.deadline, replaces};
    m_claims.submit(std::move(row), [this, wanted](claim_result result) {
        claimSettled(wanted, std::move(result));
    });
}

void submissions::claimSettled(const std::shared_ptr<prepared> &wanted, claim_result result)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_claiming.erase(wanted->number);
    }
    if (std::holds_alternative<claim_won>(result)) {
        wanted->keySettled = true;
        schedule(wanted);
        return;
    }
    const claim_duplicate *duplicate = std::get_if<claim_duplicate>(&result);
    if (duplicate == nullptr) {
        end(wanted, notRun(refusal_reason::StoreUnavailable, "the store did not answer in time; this submission was not run", retrySoon));
        return;
    }
    m_metrics.findCounter("daisypass_duplicates_total", {{"pool", wanted->read.info.pool}}).add();
    const std::optional<std::string> claimant = claimantOf(duplicate->value);
    const std::optional<request_id> id = claimant ? parseRequestId(*claimant) : std::nullopt;
    if (!id) {
        end(wanted, request_outcome{request_fate::Unknown, "claim_unreadable", "the key's claim names no request", {}, {}});
    } else if (id->incarnation == m_identity.incarnation) {
        const std::optional<request_outcome> earlier = m_outcomes.find(id->number);
        if (earlier && earlier->fate == request_fate::NotRun && wanted->read.resubmission) {
            startClaim(wanted, duplicate->version);
            return;
        }
        // The record of an own request goes only after its retention, and its claim row stays longer.
        end(wanted, expired("the outcome of the first request with this key is no longer held"));
    } else {
        const fate_question question{*claimant, id->incarnation, wanted->read.info.deadline, true};
        m_lookup.find(question, [this, wanted, rowVersion = duplicate->version](request_outcome outcome) {
            endDuplicate(wanted, std::move(outcome), rowVersion);
        });
    }
}

void submissions::endDuplicate(const std::shared_ptr<prepared> &wanted, request_outcome outcome, std::uint64_t rowVersion)
{
    if (outcome.fate == request_fate::NotRun && wanted->read.resubmission && steadyNow() < wanted->read.info.deadline && !m_closed) {
        startClaim(wanted, rowVersion);
        return;
    }
    wanted->keySettled = true;
    const bool settled = outcome.isFinal() && outcome.fate != request_fate::Unknown;
    if (settled || wanted->read.respondAsync) {
        if (!outcome.isFinal()) {
            outcome = request_outcome{request_fate::Unknown, "not_ended", "the first request with this key had not ended at the deadline", {}, {}};
        }
        end(wanted, std::move(outcome));
        return;
    }
    // Not kept: the other entry may know more when the key is used again.
    m_outcomes.forget(wanted->number, outcome);
    --m_unfinished;
}

void submissions::answerDuplicate(const std::shared_ptr<prepared> &wanted, request_number existing)
{
    m_metrics.findCounter("daisypass_duplicates_total", {{"pool", wanted->read.info.pool}}).add();
    const std::string id = formatRequestId({m_identity.incarnation, existing});
    if (wanted->read.respondAsync) {
        wanted->respond(acceptedResponse(id));
        return;
    }
    const http_responder respond = wanted->respond;
    const bool unsettled = wanted->read.resubmission && wanted->pool->atMostOnce == at_most_once_mode::Claim;
    const bool waits = m_outcomes.wait(existing, [respond, id, unsettled](request_outcome outcome) {
        respond(toResponse(reported(std::move(outcome), unsettled), id));
    });
    if (!waits) {
        respond(toResponse(expired("the outcome is no longer held"), id));
        return;
    }
    // The first answer counts, so a duplicate learns at its own deadline how far the first request is.
    m_timers.postAt(wanted->read.info.deadline, [this, respond, id, existing, unsettled] {
        respond(toResponse(reported(m_outcomes.find(existing).value_or(expired("the outcome is no longer held")), unsettled), id));
    });
}

void submissions::askIssuer(const std::shared_ptr<prepared> &wanted, const ticket &shown)
{
    const fate_question question{wanted->read.idempotencyKey, shown.incarnation, wanted->read.info.deadline, false};
    m_lookup.find(question, [this, wanted, shown](request_outcome outcome) {
        const bool mayStart = outcome.fate == request_fate::NotRun || (outcome.fate == request_fate::Pending && outcome.reason == ticketNotStarted);
        if (mayStart) {
            redirectToIssuer(wanted, shown.incarnation);
        } else {
            wanted->respond(toResponse(std::move(outcome), formatRequestId({shown.incarnation, shown.number})));
        }
    });
}

// Only the issuer may run the request, and requests are never forwarded between entries, so the caller is sent there.
void submissions::redirectToIssuer(const std::shared_ptr<prepared> &wanted, incarnation_number issuer)
{
    http_response response = toResponse(notRun(refusal_reason::TicketRequired, "the ticket can be used at the entry that issued it"), {});
    for (const std::pair<const std::string, entry_record> &entry : m_pools.state()->entries()) {
        if (entry.second.incarnation == issuer) {
            constexpr int temporaryRedirect = 307;
            response.status = temporaryRedirect;
            response.headers.push_back({"Location", "http://" + toString(entry.second.callers) + "/v1/pools/" + wanted->read.info.pool + "/requests"});
        }
    }
    wanted->respond(std::move(response));
}

void submissions::issueTicket(std::string_view pool, const http_request &request, const http_responder &respond)
{
    const std::optional<pool_lookup> found = admit(pool, respond, false);
    if (!found) {
        return;
    }
    const configuration &config = found->state->config();
    const pool_config &target = config.pools.find(pool)->second;
    if (std::optional<request_outcome> refused = checkTeam(findHeader(request.headers, "Daisypass-Team"), target, config.teams)) {
        refuseSubmission(pool, *refused, respond, false);
        return;
    }
    if (target.atMostOnce != at_most_once_mode::Ticket) {
        refuseSubmission(pool, notRun(refusal_reason::BadRequest, "the pool takes any idempotency key and issues no tickets"), respond, false);
        return;
    }
    const ticket issued{m_identity.incarnation, firstTicketNumber + ++m_tickets, sinceStartMs()};
    const nlohmann::ordered_json body{
        {"ticket", formatTicket(issued)}, {"valid_ms", ticketValidMs}, {"request_id", formatRequestId({issued.incarnation, issued.number})}};
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

std::chrono::microseconds submissions::claimTime()
{
    return m_claims.processorTime();
}

void submissions::refuseWaiting(refusal_reason reason)
{
    std::vector<request_number> claiming;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        for (const std::pair<const request_number, std::shared_ptr<prepared>> &waiting : m_claiming) {
            claiming.push_back(waiting.first);
        }
    }
    for (request_number number : claiming) {
        if (m_claims.cancel(number)) {
            endClaiming(number, reason);
        }
    }
    m_pools.refuseQueued(reason);
}

bool submissions::handOver(failure &reason)
{
    std::vector<std::pair<std::string, request_outcome>> held;
    for (std::pair<request_number, request_outcome> &record : m_outcomes.all()) {
        if (!record.second.isFinal()) {
            record.second = request_outcome{};
        }
        held.emplace_back(formatRequestId({m_identity.incarnation, record.first}), std::move(record.second));
    }
    return held.empty() || m_objects.put(fatesObject(m_identity.incarnation), encodeFates(held, maxHandOverBytes), reason);
}

} // namespace daisypass
