// Queries and cancellations of accepted requests, from callers and from peers.

#include "entry/submissions.h"

#include <nlohmann/json.hpp>

namespace daisypass {
namespace {

constexpr duration queryTimeout{1'000'000};

} // namespace

std::optional<request_outcome> submissions::localFate(const request_id &id) const
{
    if (std::optional<request_outcome> stored = m_outcomes.find(id.number)) {
        return stored;
    }
    const bool wasIssued = id.number > ticketNumberBase ? id.number <= ticketNumberBase + m_ticketsIssued : id.number != 0 && id.number <= m_lastNumber;
    return wasIssued ? std::optional<request_outcome>(expired("no outcome is held for this request")) : std::nullopt;
}

void submissions::query(std::string_view id, const http_responder &respond)
{
    const std::optional<request_id> parsed = parseRequestId(id);
    if (!parsed) {
        respond(problemResponse(404, "unknown_request", "no request has this id"));
        return;
    }
    if (parsed->incarnation == m_identity.incarnation) {
        std::optional<request_outcome> known = localFate(*parsed);
        respond(known ? toResponse(*std::move(known), id) : problemResponse(404, "unknown_request", "no request has this id"));
        return;
    }
    m_lookup.find({std::string(id), parsed->incarnation, steadyNow() + queryTimeout, false}, [respond, text = std::string(id)](request_outcome outcome) {
        respond(toResponse(std::move(outcome), text));
    });
}

void submissions::cancel(std::string_view id, const http_responder &respond)
{
    const std::optional<request_id> parsed = parseRequestId(id);
    const auto answer = [respond, text = std::string(id)](bool inTime, request_fate fate) {
        const nlohmann::ordered_json body{{"request_id", text}, {"cancelled", inTime}, {"outcome", fateName(fate)}};
        constexpr int conflict = 409;
        respond({inTime ? 200 : conflict, {{"Content-Type", "application/json"}, {"Daisypass-Outcome", std::string(fateName(fate))}}, body.dump()});
    };
    if (!parsed) {
        respond(problemResponse(404, "unknown_request", "no request has this id"));
    } else if (parsed->incarnation == m_identity.incarnation) {
        if (!localFate(*parsed)) {
            respond(problemResponse(404, "unknown_request", "no request has this id"));
            return;
        }
        const cancel_answer cancelled = cancelLocal(*parsed);
        answer(cancelled.inTime, toOutcome(cancelled.fate).fate);
    } else if (m_peers.cancel) {
        m_peers.cancel(parsed->incarnation, id, [answer](std::optional<cancel_answer> cancelled, const failure &reason) {
            answer(cancelled && cancelled->inTime, cancelled ? toOutcome(cancelled->fate).fate : request_fate::Unknown);
        });
    } else {
        answer(false, request_fate::Unknown);
    }
}

cancel_answer submissions::cancelLocal(const request_id &id)
{
    bool inTime = false;
    if (m_claims.cancel(id.number)) {
        inTime = endWaitingForClaim(id.number, refusal_reason::Cancelled);
    } else {
        inTime = m_pools.cancel(id.number) == cancel_result::Cancelled;
    }
    return {inTime, toFateAnswer(localFate(id).value_or(request_outcome{}))};
}

bool submissions::endWaitingForClaim(request_number number, refusal_reason reason)
{
    std::shared_ptr<pending_submission> waiting;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        const auto found = m_waitingForClaim.find(number);
        if (found == m_waitingForClaim.end()) {
            return false;
        }
        waiting = std::move(found->second);
        m_waitingForClaim.erase(found);
    }
    end(waiting, notRun(reason));
    return true;
}

fate_answer submissions::fateForPeer(std::string_view id)
{
    const std::optional<ticket> presented = parseTicket(id);
    const std::optional<request_id> parsed = presented ? request_id{presented->incarnation, presented->number} : parseRequestId(id);
    if (!parsed || parsed->incarnation != m_identity.incarnation) {
        return toFateAnswer(request_outcome{});
    }
    if (presented && !m_outcomes.find(parsed->number) && checkTicket(*presented, uptimeMs(), m_ticketsIssued) == ticket_validity::Valid) {
        return toFateAnswer(request_outcome{request_fate::Pending, std::string(ticketNotStarted), {}, {}, {}});
    }
    return toFateAnswer(localFate(*parsed).value_or(request_outcome{}));
}

cancel_answer submissions::cancelForPeer(std::string_view id)
{
    const std::optional<request_id> parsed = parseRequestId(id);
    if (!parsed || parsed->incarnation != m_identity.incarnation) {
        return {};
    }
    return cancelLocal(*parsed);
}

} // namespace daisypass
