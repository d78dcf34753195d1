#include "node/relay_server.h"

#include "http/http_answers.h"

#include <utility>

namespace daisypass {
namespace {

// Answers that arrive within this time of the first one share its response. This delays the report of a run's end by as much.
constexpr std::chrono::milliseconds batchDelay{10};
// If a new session would exceed this number, all older ones are dropped: they belong to former holders.
constexpr std::size_t maxSessions = 4;

} // namespace

relay_server::relay_server(executor_client executors, run_after_function runAfter)
    : m_executors(std::move(executors))
    , m_runAfter(std::move(runAfter))
{
}

void relay_server::handle(const http_request &request, const http_responder &respond)
{
    std::optional<relay_exchange> exchange = decodeExchange(request.body);
    if (!exchange) {
        respond(emptyResponse(statusBadRequest));
        return;
    }
    const std::string name = exchange->session;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (!m_sessions.contains(name) && m_sessions.size() >= maxSessions) {
            dropSessions();
        }
        session &current = m_sessions[name];
        if (exchange->waitMs > 0) {
            if (current.pollResponder) {
                respondToPoll(current);
            }
            current.pollResponder = respond;
            const std::int64_t pollNumber = ++current.pollNumber;
            if (!current.answers.empty()) {
                respondToPoll(current);
            } else {
                m_runAfter(std::chrono::milliseconds(exchange->waitMs), [weak = weak_from_this(), name, pollNumber] {
                    if (const std::shared_ptr<relay_server> self = weak.lock()) {
                        const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
                        const auto found = self->m_sessions.find(name);
                        if (found != self->m_sessions.end() && found->second.pollNumber == pollNumber && found->second.pollResponder) {
                            self->respondToPoll(found->second);
                        }
                    }
                });
            }
        } else {
            http_response accepted;
            accepted.body = encode(std::exchange(current.answers, {}));
            respond(std::move(accepted));
        }
    }
    for (const relayed_order &relayed : exchange->orders) {
        m_executors.send(relayed.order, [weak = weak_from_this(), name, number = relayed.number](executor_answer answer) {
            if (const std::shared_ptr<relay_server> self = weak.lock()) {
                self->onAnswer(name, {number, std::move(answer)});
            }
        });
    }
}

// Waiting polls get a response, so that a holder whose session is dropped doesn't wait for one until its time-out.
void relay_server::dropSessions()
{
    for (std::pair<const std::string, session> &dropped : m_sessions) {
        if (dropped.second.pollResponder) {
            respondToPoll(dropped.second);
        }
    }
    m_sessions.clear();
}

void relay_server::onAnswer(const std::string &name, relayed_answer answer)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_sessions.find(name);
    if (found == m_sessions.end()) {
        return;
    }
    session &current = found->second;
    current.answers.push_back(std::move(answer));
    if (current.responseScheduled) {
        return;
    }
    current.responseScheduled = true;
    m_runAfter(batchDelay, [weak = weak_from_this(), name] {
        if (const std::shared_ptr<relay_server> self = weak.lock()) {
            const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
            const auto entry = self->m_sessions.find(name);
            if (entry == self->m_sessions.end()) {
                return;
            }
            entry->second.responseScheduled = false;
            if (entry->second.pollResponder) {
                self->respondToPoll(entry->second);
            }
        }
    });
}

void relay_server::respondToPoll(session &current)
{
    http_response response;
    response.status = statusOk;
    response.body = encode(std::exchange(current.answers, {}));
    std::exchange(current.pollResponder, nullptr)(std::move(response));
}

} // namespace daisypass
