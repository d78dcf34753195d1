#include "node/relay_server.h"

#include "http/http_answers.h"

#include <utility>

namespace daisypass {
namespace {

// Results that arrive within this time of the first one share its answer. This delays the report of a run's end by as much.
constexpr std::chrono::milliseconds batchDelay{8};
// If a new session would exceed this number, all older ones are dropped: they belong to former holders.
constexpr std::size_t maxSessions = 4;

} // namespace

relay_server::relay_server(call_sender sender, run_after_function runAfter)
    : m_sender(std::move(sender))
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
            m_sessions.clear();
        }
        session &current = m_sessions[name];
        if (exchange->waitMs > 0) {
            if (current.pollResponder) {
                answerPoll(current);
            }
            current.pollResponder = respond;
            const std::int64_t pollNumber = ++current.pollNumber;
            if (!current.results.empty()) {
                answerPoll(current);
            } else {
                m_runAfter(std::chrono::milliseconds(exchange->waitMs), [weak = weak_from_this(), name, pollNumber] {
                    if (const std::shared_ptr<relay_server> self = weak.lock()) {
                        const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
                        const auto found = self->m_sessions.find(name);
                        if (found != self->m_sessions.end() && found->second.pollNumber == pollNumber && found->second.pollResponder) {
                            self->answerPoll(found->second);
                        }
                    }
                });
            }
        } else {
            http_response accepted;
            accepted.body = encode(std::exchange(current.results, {}));
            respond(std::move(accepted));
        }
    }
    for (relayed_call &relayed : exchange->calls) {
        m_sender(std::move(relayed.call), [weak = weak_from_this(), name, number = relayed.number](http_result result) {
            if (const std::shared_ptr<relay_server> self = weak.lock()) {
                self->onResult(name, {number, std::move(result)});
            }
        });
    }
}

void relay_server::onResult(const std::string &name, relayed_result result)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_sessions.find(name);
    if (found == m_sessions.end()) {
        return;
    }
    session &current = found->second;
    current.results.push_back(std::move(result));
    if (current.answerScheduled) {
        return;
    }
    current.answerScheduled = true;
    m_runAfter(batchDelay, [weak = weak_from_this(), name] {
        if (const std::shared_ptr<relay_server> self = weak.lock()) {
            const std::lock_guard<std::mutex> callbackGuard(self->m_lock);
            const auto entry = self->m_sessions.find(name);
            if (entry == self->m_sessions.end()) {
                return;
            }
            entry->second.answerScheduled = false;
            if (entry->second.pollResponder) {
                self->answerPoll(entry->second);
            }
        }
    });
}

void relay_server::answerPoll(session &current)
{
    http_response response;
    response.status = statusOk;
    response.body = encode(std::exchange(current.results, {}));
    std::exchange(current.pollResponder, nullptr)(std::move(response));
}

} // namespace daisypass
