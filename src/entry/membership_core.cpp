#include "entry/membership_core.h"

#include "base/log.h"

#include <algorithm>
#include <future>
#include <set>
#include <utility>

namespace daisypass {
namespace {

// Peers asked per fetch, one after the other; each may take its whole deadline.
constexpr std::size_t maxPeersQueried = 2;
constexpr std::size_t maxPendingLookups = 1'000;
// Longest wait for one poll of the store; a call to the platform times out after 2 s.
constexpr duration refreshTimeout = std::chrono::milliseconds(2'500);
// The store counts as reachable until this long after the start of the last successful read.
constexpr duration storeReachableFor = std::chrono::seconds(3);

std::vector<entry_record> entriesOf(const fleet_state &state)
{
    std::vector<entry_record> entries;
    for (const std::pair<const std::string, entry_record> &entry : state.entries()) {
        entries.push_back(entry.second);
    }
    return entries;
}

} // namespace

membership::implementation::implementation(membership_options membershipOptions, fleet_follower &fleetFollower, fleet_log log, membership_handlers callHandlers)
    : options(std::move(membershipOptions))
    , follower(fleetFollower)
    , registration({options.entry, options.incarnation, options.callers, {}, options.availabilityZone}, follower, std::move(log), options.seed)
    , handlers(std::move(callHandlers))
    , view(options.entry, options.incarnation, {})
    , loads(options.incarnation)
    , random(options.seed)
{
    peer_service_options serviceOptions;
    serviceOptions.listen = options.peers;
    service = std::make_unique<peer_service>(serviceOptions, serviceHandlers());
    client = std::make_unique<peer_client>(peer_client_options{});
    follower.addListener([this](const std::shared_ptr<const fleet_state> &next) {
        onReplayed(next);
    });
    follower.addContactListener([this](timestamp startedAt, revision_number last) {
        handle(store_contacted{startedAt, last});
    });
    follower.setPeers(followerPeers());
}

void membership::implementation::handle(const membership_event &event)
{
    std::vector<membership_action> actions;
    bool wake = std::holds_alternative<fleet_replayed>(event);
    {
        const std::lock_guard<std::mutex> guard(lock);
        const timestamp now = steadyNow();
        view.handle(event, now, actions);
        dispatchUntil.store(view.dispatchUntil().count());
        for (const membership_action &action : actions) {
            if (std::holds_alternative<view_updated>(action)) {
                latestStatus = membership_status{view.live(now), view.isolated(now), view.ready(now), view.removed()};
                statusChanged = true;
            }
        }
        wake = wake || statusChanged || view.nextDue(now) <= now;
    }
    for (const membership_action &action : actions) {
        if (const send_gossip *send = std::get_if<send_gossip>(&action)) {
            sendGossip(send->peer);
        } else if (const fetch_log *fetch = std::get_if<fetch_log>(&action)) {
            follower.onPeerRevision(fetch->revision);
        }
    }
    // Ticks come from the timer thread, which checks for status changes itself and needs no wake-up.
    if (wake && !std::holds_alternative<membership_tick>(event)) {
        wakeTimer.notify_one();
    }
}

void membership::implementation::onReplayed(const std::shared_ptr<const fleet_state> &next)
{
    std::vector<endpoint> endpoints;
    std::map<std::string, incarnation_number, std::less<>> peers;
    std::set<incarnation_number> incarnations;
    for (const std::pair<const std::string, entry_record> &entry : next->entries()) {
        if (entry.first != options.entry) {
            endpoints.push_back(entry.second.peers);
            peers.emplace(entry.first, entry.second.incarnation);
            incarnations.insert(entry.second.incarnation);
        }
    }
    index.update(next);
    {
        const std::lock_guard<std::mutex> guard(lock);
        revision = next->revision();
        loads.retainPeers(peers);
        std::erase_if(stamps, [&incarnations](const std::pair<const incarnation_number, std::uint64_t> &stamp) {
            return !incarnations.contains(stamp.first);
        });
    }
    client->keepOnly(endpoints);
    handle(fleet_replayed{next->revision(), entriesOf(*next)});
}

gossip_message membership::implementation::composeGossip(const std::function<gossip_message()> &composeLoads)
{
    const std::vector<peer_pool_load> localLoads = handlers.loads ? handlers.loads() : std::vector<peer_pool_load>();
    const std::optional<timestamp> contact = follower.lastStoreContact();
    const std::lock_guard<std::mutex> guard(lock);
    const timestamp now = steadyNow();
    loads.setLocalLoads(localLoads);
    gossip_message message = composeLoads();
    message.revision = revision;
    message.ready = view.ready(now);
    message.storeReachable = contact && now - *contact < storeReachableFor;
    return message;
}

void membership::implementation::updatePeerLoads(const std::string &peer, const gossip_message &message)
{
    std::vector<peer_pool_load> pools;
    {
        const std::lock_guard<std::mutex> guard(lock);
        if (!loads.update(peer, message)) {
            return;
        }
        pools = loads.loadsOf(peer, message.incarnation);
    }
    for (const load_listener &callback : loadListeners) {
        callback(peer, pools);
    }
}

void membership::implementation::sendGossip(const entry_record &peer)
{
    const gossip_message message = composeGossip([this, &peer] {
        gossip_message composed = loads.composeDelta(peer.id, peer.incarnation);
        const auto found = stamps.find(peer.incarnation);
        composed.echo = found == stamps.end() ? 0 : found->second;
        return composed;
    });
    const timestamp startedAt = steadyNow();
    client->gossip({peer.peers, peer.incarnation}, message, [this, peer, startedAt](std::optional<gossip_message> answer, const failure &reason) {
        if (!answer) {
            handle(gossip_failed{peer.id, peer.incarnation, reason.code == failure_code::WrongIncarnation});
            return;
        }
        {
            const std::lock_guard<std::mutex> guard(lock);
            std::uint64_t &stamp = stamps[peer.incarnation];
            stamp = std::max(stamp, answer->stamp);
        }
        updatePeerLoads(peer.id, *answer);
        handle(gossip_answered{peer.id, peer.incarnation, startedAt, answer->revision, answer->ready});
    });
}

gossip_message membership::implementation::answerGossip(gossip_message message)
{
    entry_record caller;
    const bool registered = index.find(message.incarnation, caller) == incarnation_status::Registered;
    std::optional<timestamp> echoedAt;
    if (message.to != options.incarnation) {
        message.knownVersion = 0;
    } else if (message.echo > 0) {
        echoedAt = std::chrono::milliseconds(message.echo);
    }
    // The revision is used even if the caller is a controller, which has no entry record: a higher one means that there are records to fetch.
    handle(gossip_received{caller.id, message.incarnation, message.revision, message.ready, echoedAt});
    if (registered) {
        updatePeerLoads(caller.id, message);
    }
    const bool controller = message.incarnation == 0;
    gossip_message answer = composeGossip([&] {
        return controller ? loads.composeFull(message.knownVersion) : loads.composeDelta(caller.id, message.incarnation);
    });
    answer.entry = controller ? options.entry : "";
    answer.stamp = static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(steadyNow()).count());
    return answer;
}

drain_answer membership::implementation::answerDrain(const drain_question &question) const
{
    drain_answer answer{options.entry, options.incarnation};
    const std::shared_ptr<const fleet_state> state = index.state();
    answer.revision = state->revision();
    const auto vm = state->vms().find(question.vm);
    if (answer.revision < question.revision || vm == state->vms().end() || vm->second.state != vm_state::Draining || vm->second.epoch != question.epoch) {
        return answer;
    }
    answer.inFlight = handlers.inFlight ? handlers.inFlight(question.vm) : 0;
    answer.confirmed = answer.inFlight == 0;
    return answer;
}

peer_handlers membership::implementation::serviceHandlers()
{
    peer_handlers peerHandlers;
    peerHandlers.gossip = [this](const gossip_message &message) {
        return answerGossip(message);
    };
    peerHandlers.borrowSlots = handlers.borrowSlots;
    peerHandlers.returnSlots = handlers.returnSlots;
    peerHandlers.getFate = [this](incarnation_number requested, std::string_view requestId) -> std::optional<fate_answer> {
        if (requested != options.incarnation || !handlers.getFate) {
            return std::nullopt;
        }
        return handlers.getFate(requestId);
    };
    peerHandlers.cancelRequest = [this](incarnation_number requested, std::string_view requestId) -> std::optional<cancel_answer> {
        if (requested != options.incarnation || !handlers.cancelRequest) {
            return std::nullopt;
        }
        return handlers.cancelRequest(requestId);
    };
    peerHandlers.fetchLog = [this](revision_number after, int limit) {
        return follower.page(after, limit);
    };
    peerHandlers.fetchFile = [this](std::string_view hash) {
        return follower.file(hash);
    };
    peerHandlers.confirmDrain = [this](const drain_question &question) {
        return answerDrain(question);
    };
    return peerHandlers;
}

// Calls live peers one after the other and returns the first answer, or nothing if no peer gave one.
template<typename T, typename Call>
std::optional<T> membership::implementation::queryPeers(Call call)
{
    std::vector<entry_record> candidates;
    {
        const std::lock_guard<std::mutex> guard(lock);
        candidates = view.sources(steadyNow(), random());
    }
    candidates.resize(std::min(candidates.size(), maxPeersQueried));
    for (const entry_record &candidate : candidates) {
        std::promise<std::optional<T>> promise;
        std::future<std::optional<T>> result = promise.get_future();
        call(peer_address{candidate.peers, candidate.incarnation}, [&promise](std::optional<T> answer, const failure &) {
            promise.set_value(std::move(answer));
        });
        std::optional<T> answer = result.get();
        if (answer) {
            return answer;
        }
    }
    return std::nullopt;
}

follower_peers membership::implementation::followerPeers()
{
    follower_peers peers;
    peers.fetchLog = [this](revision_number after, int limit) {
        return queryPeers<log_page>([this, after, limit](const peer_address &peer, peer_callback<log_page> done) {
            client->fetchLog(peer, after, limit, std::move(done));
        });
    };
    peers.fetchFile = [this](std::string_view hash) {
        return queryPeers<std::string>([this, hash](const peer_address &peer, peer_callback<std::string> done) {
            client->fetchFile(peer, hash, std::move(done));
        });
    };
    return peers;
}

void membership::implementation::runTimer()
{
    while (true) {
        std::optional<membership_status> toReport;
        {
            std::unique_lock<std::mutex> guard(lock);
            const timestamp now = steadyNow();
            const timestamp due = view.nextDue(now);
            if (!statusChanged && !stopping && due > now) {
                if (due == timestamp::max()) {
                    wakeTimer.wait(guard);
                } else {
                    wakeTimer.wait_for(guard, due - now);
                }
            }
            if (stopping) {
                return;
            }
            if (statusChanged) {
                statusChanged = false;
                toReport = latestStatus;
            }
        }
        if (toReport) {
            logEvent("membership_changed",
                     {{"live", toReport->live.size()}, {"isolated", toReport->isolated}, {"ready", toReport->ready}, {"removed", toReport->removed}});
            for (const listener &callback : listeners) {
                callback(*toReport);
            }
        }
        std::uint64_t randomValue = 0;
        {
            const std::lock_guard<std::mutex> guard(lock);
            randomValue = random();
        }
        handle(membership_tick{randomValue});
    }
}

void membership::implementation::runWorker()
{
    std::string lastLogged;
    while (true) {
        std::deque<std::function<void()>> lookups;
        bool joining = false;
        {
            std::unique_lock<std::mutex> guard(lock);
            const auto shouldWake = [this] {
                return stopping || !pendingLookups.empty();
            };
            if (!leaving && !view.joined() && !view.removed()) {
                joining = !wakeWorker.wait_for(guard, registration.retryDelay(), shouldWake) && !leaving;
            } else {
                wakeWorker.wait(guard, shouldWake);
            }
            if (stopping) {
                return;
            }
            std::swap(lookups, pendingLookups);
        }
        if (!lookups.empty()) {
            runLookups(lookups);
        }
        failure reason;
        if (joining && !registration.join(reason) && describe(reason) != lastLogged) {
            lastLogged = describe(reason);
            logEvent("join_delayed", {{"reason", lastLogged}});
        }
    }
}

void membership::implementation::runLookups(std::deque<std::function<void()>> &lookups)
{
    failure ignored;
    // While the store is unreachable no extra poll is made, so that its back-off stays in force. Lookups of incarnations that stay
    // unknown then fail with PeerUnreachable.
    if (follower.storeReachable()) {
        follower.refresh(refreshTimeout, ignored);
    }
    for (const std::function<void()> &lookup : lookups) {
        lookup();
    }
}

void membership::implementation::resolveIncarnation(incarnation_number incarnation,
                                                    const std::function<void(std::optional<peer_address>, const failure &)> &then)
{
    const failure endedFailure{failure_code::WrongIncarnation, std::to_string(incarnation)};
    const failure unknownFailure{failure_code::PeerUnreachable, std::to_string(incarnation)};
    entry_record entry;
    switch (index.find(incarnation, entry)) {
    case incarnation_status::Registered:
        then(peer_address{entry.peers, incarnation}, {});
        return;
    case incarnation_status::Ended:
        then(std::nullopt, endedFailure);
        return;
    case incarnation_status::NeverSeen:
        break;
    }
    {
        const std::lock_guard<std::mutex> guard(lock);
        if (!stopping && pendingLookups.size() < maxPendingLookups) {
            const timestamp askedAt = steadyNow();
            pendingLookups.emplace_back([this, incarnation, then, endedFailure, unknownFailure, askedAt] {
                entry_record found;
                const bool registered = index.find(incarnation, found) == incarnation_status::Registered;
                const std::optional<timestamp> contact = follower.lastStoreContact();
                then(registered ? std::optional<peer_address>({found.peers, incarnation}) : std::nullopt,
                     contact && *contact >= askedAt ? endedFailure : unknownFailure);
            });
            wakeWorker.notify_one();
            return;
        }
    }
    then(std::nullopt, unknownFailure);
}

} // namespace daisypass
