#include "node/relay_server.h"

#include "http/http_answers.h"

#include <utility>

namespace daisypass {
namespace {

// Results that arrive this close together share one answer; it delays an end by as much.
constexpr std::chrono::milliseconds gatherTime{8};
// Sessions of former holders are dropped when there are more than this.
constexpr std::size_t mostSessions = 4;

} // namespace

relay_server::relay_server(call_sender sender, delayed_call later)
    : m_sender(std::move(sender))
    , m_later(std::move(later))
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
        if (!m_sessions.contains(name) && m_sessions.size() >= mostSessions) {
            m_sessions.clear();
        }
        session &current = m_sessions[name];
        if (exchange->waitMs > 0) {
            if (current.waiting) {
                answer(current);
            }
            current.waiting = respond;
            const std::int64_t poll = ++current.poll;
            if (!current.results.empty()) {
                answer(current);
            } else {
                m_later(std::chrono::milliseconds(exchange->waitMs), [weak = weak_from_this(), name, poll] {
                    if (const std::shared_ptr<relay_server> self = weak.lock()) {
                        const std::lock_guard<std::mutex> again(self->m_lock);
                        const auto found = self->m_sessions.find(name);
                        if (found != self->m_sessions.end() && found->second.poll == poll && found->second.waiting) {
                            self->answer(found->second);
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
    for (relayed_call &one : exchange->calls) {
        m_sender(std::move(one.call), [weak = weak_from_this(), name, number = one.number](http_result result) {
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
    if (current.answerPlanned) {
        return;
    }
    current.answerPlanned = true;
    m_later(gatherTime, [weak = weak_from_this(), name] {
        if (const std::shared_ptr<relay_server> self = weak.lock()) {
            const std::lock_guard<std::mutex> again(self->m_lock);
            const auto later = self->m_sessions.find(name);
            if (later == self->m_sessions.end()) {
                return;
            }
            later->second.answerPlanned = false;
            if (later->second.waiting) {
                self->answer(later->second);
            }
        }
    });
}

void relay_server::answer(session &current)
{
    http_response response;
    response.status = statusOk;
    response.body = encode(std::exchange(current.results, {}));
    std::exchange(current.waiting, nullptr)(std::move(response));
}

} // namespace daisypass
