#include "entry/membership_core.h"

#include "base/log.h"

#include <algorithm>
#include <future>
#include <set>
#include <utility>

namespace daisypass {
namespace {

// Sources asked per fetch; each may take its whole deadline.
constexpr std::size_t mostSources = 2;
constexpr std::size_t mostLookUps = 1'000;
// Longest wait for one poll of the store; the platform's own limit is 2 s.
constexpr duration refreshLimit = std::chrono::milliseconds(2'500);
// The store counts as reachable this long after the last successful read was started.
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

membership::implementation::implementation(membership_options chosen, fleet_follower &follows, fleet_log appendsTo, membership_handlers given)
    : options(std::move(chosen))
    , follower(follows)
    , registration({options.entry, options.incarnation, options.callers, {}, options.availabilityZone}, follower, std::move(appendsTo), options.seed)
    , handlers(std::move(given))
    , view(options.entry, options.incarnation, {})
    , loads(options.incarnation)
    , random(options.seed)
{
    peer_service_options served;
    served.listen = options.peers;
    service = std::make_unique<peer_service>(served, serviceHandlers());
    client = std::make_unique<peer_client>(peer_client_options{});
    follower.addListener([this](const std::shared_ptr<const fleet_state> &next) {
        replayed(next);
    });
    follower.addContactListener([this](timestamp startedAt, revision_number last) {
        handle(store_contacted{startedAt, last});
    });
    follower.setPeers(sources());
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
                current = membership_status{view.live(now), view.isolated(now), view.ready(now), view.removed()};
                changed = true;
            }
        }
        wake = wake || changed || view.nextDue(now) <= now;
    }
    for (const membership_action &action : actions) {
        if (const send_gossip *send = std::get_if<send_gossip>(&action)) {
            sendGossip(send->peer);
        } else if (const fetch_log *fetch = std::get_if<fetch_log>(&action)) {
            follower.peerRevision(fetch->revision);
        }
    }
    // Ticks come from the timer's own thread, which looks for changes itself.
    if (wake && !std::holds_alternative<membership_tick>(event)) {
        wakeTimer.notify_one();
    }
}

void membership::implementation::replayed(const std::shared_ptr<const fleet_state> &next)
{
    std::vector<endpoint> places;
    std::map<std::string, incarnation_number, std::less<>> peers;
    std::set<incarnation_number> incarnations;
    for (const std::pair<const std::string, entry_record> &entry : next->entries()) {
        if (entry.first != options.entry) {
            places.push_back(entry.second.peers);
            peers.emplace(entry.first, entry.second.incarnation);
            incarnations.insert(entry.second.incarnation);
        }
    }
    index.update(next);
    {
        const std::lock_guard<std::mutex> guard(lock);
        revision = next->revision();
        loads.keepOnly(peers);
        std::erase_if(stamps, [&incarnations](const std::pair<const incarnation_number, std::uint64_t> &stamp) {
            return !incarnations.contains(stamp.first);
        });
    }
    client->keepOnly(places);
    handle(fleet_replayed{next->revision(), entriesOf(*next)});
}

gossip_message membership::implementation::compose(const std::function<gossip_message()> &composeLoads)
{
    const std::vector<peer_pool_load> own = handlers.loads ? handlers.loads() : std::vector<peer_pool_load>();
    const std::optional<timestamp> contact = follower.lastStoreContact();
    const std::lock_guard<std::mutex> guard(lock);
    const timestamp now = steadyNow();
    loads.setOwn(own);
    gossip_message message = composeLoads();
    message.revision = revision;
    message.ready = view.ready(now);
    message.storeReachable = contact && now - *contact < storeReachableFor;
    return message;
}

void membership::implementation::takeLoads(const std::string &peer, const gossip_message &message)
{
    std::vector<peer_pool_load> pools;
    {
        const std::lock_guard<std::mutex> guard(lock);
        if (!loads.take(peer, message)) {
            return;
        }
        pools = loads.of(peer, message.incarnation);
    }
    for (const load_listener &told : loadListeners) {
        told(peer, pools);
    }
}

void membership::implementation::sendGossip(const entry_record &peer)
{
    const gossip_message message = compose([this, &peer] {
        gossip_message composed = loads.compose(peer.id, peer.incarnation);
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
        takeLoads(peer.id, *answer);
        handle(gossip_answered{peer.id, peer.incarnation, startedAt, answer->revision, answer->ready});
    });
}

gossip_message membership::implementation::answerGossip(gossip_message message)
{
    entry_record caller;
    const bool named = index.find(message.incarnation, caller) == incarnation_status::Named;
    std::optional<timestamp> echoedAt;
    if (message.to != options.incarnation) {
        message.knownVersion = 0;
    } else if (message.echo > 0) {
        echoedAt = std::chrono::milliseconds(message.echo);
    }
    // A controller is no entry; its revision still shows that there is more to fetch.
    handle(gossip_received{caller.id, message.incarnation, message.revision, message.ready, echoedAt});
    if (named) {
        takeLoads(caller.id, message);
    }
    const bool controller = message.incarnation == 0;
    gossip_message answer = compose([&] {
        return controller ? loads.composeWhole(message.knownVersion) : loads.compose(caller.id, message.incarnation);
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
    peer_handlers served;
    served.gossip = [this](const gossip_message &message) {
        return answerGossip(message);
    };
    served.borrowSlots = handlers.borrowSlots;
    served.returnSlots = handlers.returnSlots;
    served.getFate = [this](incarnation_number asked, std::string_view requestId) -> std::optional<fate_answer> {
        if (asked != options.incarnation || !handlers.getFate) {
            return std::nullopt;
        }
        return handlers.getFate(requestId);
    };
    served.cancelRequest = [this](incarnation_number asked, std::string_view requestId) -> std::optional<cancel_answer> {
        if (asked != options.incarnation || !handlers.cancelRequest) {
            return std::nullopt;
        }
        return handlers.cancelRequest(requestId);
    };
    served.fetchLog = [this](revision_number after, int limit) {
        return follower.page(after, limit);
    };
    served.fetchFile = [this](std::string_view hash) {
        return follower.file(hash);
    };
    served.confirmDrain = [this](const drain_question &question) {
        return answerDrain(question);
    };
    return served;
}

// Asks live peers one after the other until one has an answer.
template<typename T, typename Call>
std::optional<T> membership::implementation::askSources(Call call)
{
    std::vector<entry_record> candidates;
    {
        const std::lock_guard<std::mutex> guard(lock);
        candidates = view.sources(steadyNow(), random());
    }
    candidates.resize(std::min(candidates.size(), mostSources));
    for (const entry_record &candidate : candidates) {
        std::promise<std::optional<T>> promise;
        std::future<std::optional<T>> ended = promise.get_future();
        call(peer_address{candidate.peers, candidate.incarnation}, [&promise](std::optional<T> answer, const failure &) {
            promise.set_value(std::move(answer));
        });
        std::optional<T> answer = ended.get();
        if (answer) {
            return answer;
        }
    }
    return std::nullopt;
}

follower_peers membership::implementation::sources()
{
    follower_peers peers;
    peers.fetchLog = [this](revision_number after, int limit) {
        return askSources<log_page>([this, after, limit](const peer_address &peer, peer_callback<log_page> done) {
            client->fetchLog(peer, after, limit, std::move(done));
        });
    };
    peers.fetchFile = [this](std::string_view hash) {
        return askSources<std::string>([this, hash](const peer_address &peer, peer_callback<std::string> done) {
            client->fetchFile(peer, hash, std::move(done));
        });
    };
    return peers;
}

void membership::implementation::runTimer()
{
    while (true) {
        std::optional<membership_status> told;
        {
            std::unique_lock<std::mutex> guard(lock);
            const timestamp now = steadyNow();
            const timestamp due = view.nextDue(now);
            if (!changed && !stopping && due > now) {
                if (due == timestamp::max()) {
                    wakeTimer.wait(guard);
                } else {
                    wakeTimer.wait_for(guard, due - now);
                }
            }
            if (stopping) {
                return;
            }
            if (changed) {
                changed = false;
                told = current;
            }
        }
        if (told) {
            logEvent("membership_changed", {{"live", told->live.size()}, {"isolated", told->isolated}, {"ready", told->ready}, {"removed", told->removed}});
            for (const listener &listening : listeners) {
                listening(*told);
            }
        }
        std::uint64_t value = 0;
        {
            const std::lock_guard<std::mutex> guard(lock);
            value = random();
        }
        handle(membership_tick{value});
    }
}

void membership::implementation::runWorker()
{
    std::string lastLogged;
    while (true) {
        std::deque<std::function<void()>> asked;
        bool joining = false;
        {
            std::unique_lock<std::mutex> guard(lock);
            const auto woken = [this] {
                return stopping || !lookUps.empty();
            };
            if (!leaving && !view.joined() && !view.removed()) {
                joining = !wakeWorker.wait_for(guard, registration.delay(), woken) && !leaving;
            } else {
                wakeWorker.wait(guard, woken);
            }
            if (stopping) {
                return;
            }
            std::swap(asked, lookUps);
        }
        if (!asked.empty()) {
            answerLookUps(asked);
        }
        failure reason;
        if (joining && !registration.join(reason) && describe(reason) != lastLogged) {
            lastLogged = describe(reason);
            logEvent("join_delayed", {{"reason", lastLogged}});
        }
    }
}

void membership::implementation::answerLookUps(std::deque<std::function<void()>> &asked)
{
    failure ignored;
    // While the store does not answer, its back-off is kept and the questions stay open to the callers.
    if (follower.storeAnswers()) {
        follower.refresh(refreshLimit, ignored);
    }
    for (const std::function<void()> &lookUp : asked) {
        lookUp();
    }
}

void membership::implementation::withIncarnation(incarnation_number incarnation, const std::function<void(std::optional<peer_address>, const failure &)> &then)
{
    const failure ended{failure_code::WrongIncarnation, std::to_string(incarnation)};
    const failure unknown{failure_code::PeerUnreachable, std::to_string(incarnation)};
    entry_record entry;
    switch (index.find(incarnation, entry)) {
    case incarnation_status::Named:
        then(peer_address{entry.peers, incarnation}, {});
        return;
    case incarnation_status::Ended:
        then(std::nullopt, ended);
        return;
    case incarnation_status::NeverSeen:
        break;
    }
    {
        const std::lock_guard<std::mutex> guard(lock);
        if (!stopping && lookUps.size() < mostLookUps) {
            const timestamp askedAt = steadyNow();
            lookUps.emplace_back([this, incarnation, then, ended, unknown, askedAt] {
                entry_record found;
                const bool named = index.find(incarnation, found) == incarnation_status::Named;
                const std::optional<timestamp> contact = follower.lastStoreContact();
                then(named ? std::optional<peer_address>({found.peers, incarnation}) : std::nullopt, contact && *contact >= askedAt ? ended : unknown);
            });
            wakeWorker.notify_one();
            return;
        }
    }
    then(std::nullopt, unknown);
}

} // namespace daisypass
