#include "entry/membership.h"

#include "base/log.h"
#include "entry/membership_core.h"

#include <algorithm>
#include <utility>

namespace daisypass {

membership::membership(membership_options options, fleet_follower &follower, fleet_log log, membership_handlers handlers)
    : m_implementation(std::make_unique<implementation>(std::move(options), follower, std::move(log), std::move(handlers)))
{
}

membership::~membership()
{
    stop();
}

void membership::addListener(listener callback)
{
    m_implementation->listeners.push_back(std::move(callback));
}

void membership::addLoadListener(load_listener callback)
{
    m_implementation->loadListeners.push_back(std::move(callback));
}

bool membership::start(failure &reason)
{
    implementation &self = *m_implementation;
    // Bind the address before joining: only the process that has it bound may replace the record that an earlier process left in the fleet log.
    if (!self.service->start(reason)) {
        return false;
    }
    self.registration.setPeersEndpoint(self.service->place());
    self.timerThread = std::thread([&self] {
        self.runTimer();
    });
    self.workerThread = std::thread([&self] {
        self.runWorker();
    });
    return true;
}

bool membership::leave(duration limit)
{
    implementation &self = *m_implementation;
    {
        const std::lock_guard<std::mutex> guard(self.lock);
        self.leaving = true;
    }
    self.wakeWorker.notify_all();
    const timestamp end = steadyNow() + limit;
    failure reason;
    for (timestamp now = steadyNow(); now < end; now = steadyNow()) {
        if (self.registration.leave(end - now, reason)) {
            return true;
        }
        std::unique_lock<std::mutex> guard(self.lock);
        if (self.wakeTimer.wait_for(guard, std::min(self.registration.retryDelay(), std::max(duration{}, end - steadyNow())), [&self] {
                return self.stopping;
            })) {
            break;
        }
    }
    logEvent("leave_failed", {{"reason", describe(reason)}});
    return false;
}

void membership::stop()
{
    implementation &self = *m_implementation;
    {
        const std::lock_guard<std::mutex> guard(self.lock);
        if (self.stopping) {
            return;
        }
        self.stopping = true;
        self.dispatchUntil.store(timestamp::min().count());
    }
    self.wakeTimer.notify_all();
    self.wakeWorker.notify_all();
    self.follower.stop();
    for (std::thread *thread : {&self.timerThread, &self.workerThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    self.service->stop();
    self.client->stop();
    std::deque<std::function<void()>> remaining;
    {
        const std::lock_guard<std::mutex> guard(self.lock);
        std::swap(remaining, self.pendingLookups);
    }
    for (const std::function<void()> &lookup : remaining) {
        lookup();
    }
}

membership_status membership::status() const
{
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    const timestamp now = steadyNow();
    const membership_view &view = m_implementation->view;
    return membership_status{view.live(now), view.isolated(now), view.ready(now), view.removed()};
}

bool membership::mayDispatch() const
{
    return steadyNow().count() < m_implementation->dispatchUntil.load();
}

std::vector<peer_status> membership::peers() const
{
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    std::vector<peer_status> statuses;
    for (const peer_view &peer : m_implementation->view.peers(steadyNow())) {
        statuses.push_back({peer.record.id,
                            peer.record.incarnation,
                            peer.live,
                            peer.ready,
                            peer.revision,
                            m_implementation->loads.loadsOf(peer.record.id, peer.record.incarnation)});
    }
    return statuses;
}

incarnation_number membership::incarnation() const
{
    return m_implementation->options.incarnation;
}

endpoint membership::peersEndpoint() const
{
    return m_implementation->service->place();
}

void membership::borrowSlots(std::string_view entry, std::string_view pool, int count, peer_callback<std::vector<peer_grant>> done)
{
    implementation &self = *m_implementation;
    const std::optional<peer_address> peer = self.index.findEntry(entry);
    if (!peer) {
        done(std::nullopt, failure{failure_code::PeerUnreachable, std::string(entry)});
        return;
    }
    self.client->borrowSlots(*peer, {self.options.entry, self.options.incarnation, std::string(pool), count}, std::move(done));
}

void membership::returnSlots(std::string_view entry, std::string_view pool, std::vector<peer_grant> grants)
{
    implementation &self = *m_implementation;
    const std::optional<peer_address> peer = self.index.findEntry(entry);
    if (!peer) {
        return;
    }
    // Failures are ignored: the lender gets the slots back when the loan expires.
    self.client->returnSlots(
        *peer, {self.options.entry, self.options.incarnation, std::string(pool), std::move(grants)}, [](std::optional<peer_acknowledgement>, const failure &) {
        });
}

// Answers a query about a request of this incarnation with the local handler and forwards any other query to the peer that runs the incarnation.
template<typename answer>
void membership::queryIncarnation(incarnation_number incarnation,
                                  std::string_view requestId,
                                  peer_callback<answer> done,
                                  const std::function<answer(std::string_view)> &localHandler,
                                  peer_query<answer> remoteCall)
{
    implementation &self = *m_implementation;
    if (incarnation == self.options.incarnation && localHandler) {
        done(localHandler(requestId), {});
        return;
    }
    self.resolveIncarnation(
        incarnation, [&self, remoteCall, requestId = std::string(requestId), done = std::move(done)](std::optional<peer_address> peer, const failure &reason) {
            if (!peer) {
                done(std::nullopt, reason);
                return;
            }
            ((*self.client).*remoteCall)(*peer, requestId, done);
        });
}

void membership::getFate(incarnation_number incarnation, std::string_view requestId, peer_callback<fate_answer> done)
{
    queryIncarnation<fate_answer>(incarnation, requestId, std::move(done), m_implementation->handlers.getFate, &peer_client::getFate);
}

void membership::cancelRequest(incarnation_number incarnation, std::string_view requestId, peer_callback<cancel_answer> done)
{
    queryIncarnation<cancel_answer>(incarnation, requestId, std::move(done), m_implementation->handlers.cancelRequest, &peer_client::cancelRequest);
}

} // namespace daisypass
