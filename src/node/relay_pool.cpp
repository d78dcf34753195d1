#include "node/relay_pool.h"

#include "base/clock.h"
#include "base/log.h"

#include <algorithm>

namespace daisypass {
namespace {

// The holder serves up to this many executors directly.
constexpr std::size_t executorsWithoutRelay = 100;
constexpr std::size_t executorsPerRelay = 110;
// Calls made within this time of the first one share its exchange.
constexpr std::chrono::milliseconds batchDelay{4};
constexpr std::chrono::milliseconds pollWait{1'000};
constexpr std::chrono::milliseconds exchangeTimeout{1'000};
constexpr std::chrono::milliseconds connectTimeout{400};
// A failed relay gets no new calls for this long.
constexpr sched::time_ms failedRelayAvoidMs = 3'000;
// Added to a call's own timeout for the way through the relay.
constexpr sched::time_ms relayMarginMs = 400;

http_result unansweredResult()
{
    http_result result;
    result.state = send_state::Sent;
    result.reason = failure{failure_code::PeerUnreachable, "no result from the relay"};
    return result;
}

std::uint64_t rendezvousHash(const std::string &a, const std::string &b)
{
    return std::hash<std::string>{}(a + '|' + b);
}

// Returns the host and port of an executor's URL.
std::string addressOfUrl(const std::string &url)
{
    constexpr std::size_t scheme = 7;
    return url.substr(scheme, url.find('/', scheme) - scheme);
}

} // namespace

relay_pool::relay_pool(http_client &client, run_after_function runAfter, std::string session, std::string self)
    : m_client(client)
    , m_runAfter(std::move(runAfter))
    , m_session(std::move(session))
    , m_self(std::move(self))
{
}

std::size_t relay_pool::relayCount(std::size_t executors)
{
    if (executors <= executorsWithoutRelay) {
        return 0;
    }
    return (executors + executorsPerRelay - 1) / executorsPerRelay;
}

void relay_pool::setNodes(std::vector<node_entry> nodes)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_nodes = std::move(nodes);
    selectRelays();
}

void relay_pool::setExecutors(std::size_t executors)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (relayCount(executors) != relayCount(m_executors)) {
        m_executors = executors;
        selectRelays();
    }
    m_executors = executors;
}

// Selects as relays the machines with the largest processor share, except the holder's own and relays that failed or were dropped
// recently. A relay that is selected again keeps its state.
void relay_pool::selectRelays()
{
    const sched::time_ms now = steadyMillis();
    std::vector<node_entry> candidates;
    for (const node_entry &node : m_nodes) {
        const auto known = m_relays.find(node.node);
        const bool avoided = known != m_relays.end() && known->second.avoidUntil > now;
        if (node.node != m_self && !avoided) {
            candidates.push_back(node);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const node_entry &a, const node_entry &b) {
        return std::make_tuple(-a.cpuShare, a.node) < std::make_tuple(-b.cpuShare, b.node);
    });
    const std::size_t count = std::min(relayCount(m_executors), candidates.size());
    std::map<std::string, relay_state> selected;
    for (std::size_t i = 0; i < count; ++i) {
        relay_state &relay = selected[candidates[i].node];
        const auto known = m_relays.find(candidates[i].node);
        if (known != m_relays.end()) {
            relay = std::move(known->second);
            m_relays.erase(known);
        }
        relay.node = candidates[i];
    }
    // Relays that are no longer selected get no new calls. They are kept while they have outstanding calls, and while they are avoided,
    // because their records tell until when.
    for (std::pair<const std::string, relay_state> &former : m_relays) {
        if (former.second.outstanding > 0 || former.second.avoidUntil > now) {
            former.second.avoidUntil = std::max(former.second.avoidUntil, now + failedRelayAvoidMs);
            selected.emplace(former.first, std::move(former.second));
        }
    }
    m_relays = std::move(selected);
}

relay_pool::relay_state *relay_pool::relayFor(const std::string &url)
{
    const sched::time_ms now = steadyMillis();
    const std::string address = addressOfUrl(url);
    relay_state *best = nullptr;
    std::uint64_t bestHash = 0;
    for (std::pair<const std::string, relay_state> &relay : m_relays) {
        const std::uint64_t hash = rendezvousHash(relay.first, address);
        if (relay.second.avoidUntil <= now && (best == nullptr || hash > bestHash)) {
            best = &relay.second;
            bestHash = hash;
        }
    }
    return best;
}

void relay_pool::send(http_call call, std::function<void(http_result)> done)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        relay_state *relay = m_stopped ? nullptr : relayFor(call.url);
        if (relay != nullptr) {
            const std::int64_t number = ++m_lastNumber;
            const sched::time_ms deadline = steadyMillis() + call.totalTimeout.count() + relayMarginMs;
            m_outstanding[number] = {relay->node.node, deadline, std::move(done)};
            ++relay->outstanding;
            relay->queued.push_back({number, std::move(call)});
            scheduleFlush(*relay);
            return;
        }
    }
    m_client.send(std::move(call), std::move(done));
}

void relay_pool::scheduleFlush(relay_state &relay)
{
    if (relay.flushScheduled) {
        return;
    }
    relay.flushScheduled = true;
    m_runAfter(batchDelay, [weak = weak_from_this(), name = relay.node.node] {
        if (const std::shared_ptr<relay_pool> self = weak.lock()) {
            self->flush(name);
        }
    });
}

void relay_pool::flush(const std::string &name)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_relays.find(name);
    if (found == m_relays.end() || m_stopped) {
        return;
    }
    relay_state &relay = found->second;
    relay.flushScheduled = false;
    relay_exchange exchange;
    exchange.session = m_session;
    exchange.waitMs = relay.polling ? 0 : pollWait.count();
    exchange.calls = std::exchange(relay.queued, {});
    const bool isPoll = !relay.polling;
    relay.polling = true;
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(relay.node.address) + "/relay/exchange";
    call.headers = {{"Content-Type", "application/msgpack"}};
    call.body = encode(exchange);
    call.connectTimeout = connectTimeout;
    call.totalTimeout = isPoll ? pollWait + exchangeTimeout : exchangeTimeout;
    m_client.send(std::move(call), [weak = weak_from_this(), name, isPoll, calls = std::move(exchange.calls)](const http_result &result) mutable {
        if (const std::shared_ptr<relay_pool> self = weak.lock()) {
            self->onExchange(name, isPoll, std::move(calls), result);
        }
    });
}

void relay_pool::onExchange(const std::string &name, bool isPoll, std::vector<relayed_call> calls, const http_result &result)
{
    const bool answered = result.state == send_state::Answered && result.response.status == 200;
    std::optional<std::vector<relayed_result>> results = answered ? decodeResults(result.response.body) : std::nullopt;
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        const auto found = m_relays.find(name);
        if (m_stopped) {
            return;
        }
        if (found != m_relays.end()) {
            relay_state &relay = found->second;
            if (isPoll) {
                relay.polling = false;
            }
            if (!results) {
                if (result.state == send_state::NotSent) {
                    // The relay has received none of these calls, so they can be sent directly.
                    for (relayed_call &relayed : calls) {
                        const auto entry = m_outstanding.find(relayed.number);
                        if (entry == m_outstanding.end()) {
                            continue;
                        }
                        relay.outstanding -= relay.outstanding > 0 ? 1 : 0;
                        callbacks.emplace_back([this, call = std::move(relayed.call), done = std::move(entry->second.done)] {
                            m_client.send(call, done);
                        });
                        m_outstanding.erase(entry);
                    }
                }
                failRelay(relay, callbacks);
            }
        }
    }
    for (const std::function<void()> &call : callbacks) {
        call();
    }
    if (results) {
        deliver(std::move(*results));
    }
    if (isPoll && results) {
        const std::lock_guard<std::mutex> guard(m_lock);
        const auto found = m_relays.find(name);
        if (found != m_relays.end() && found->second.outstanding > 0) {
            scheduleFlush(found->second);
        }
    }
}

void relay_pool::failRelay(relay_state &relay, std::vector<std::function<void()>> &callbacks)
{
    logEvent("relay_failed", {{"node", relay.node.node}, {"calls", relay.outstanding}});
    relay.avoidUntil = steadyMillis() + failedRelayAvoidMs;
    relay.outstanding = 0;
    relay.queued.clear();
    for (auto entry = m_outstanding.begin(); entry != m_outstanding.end();) {
        if (entry->second.relay != relay.node.node) {
            ++entry;
            continue;
        }
        callbacks.emplace_back([done = std::move(entry->second.done)] {
            done(unansweredResult());
        });
        entry = m_outstanding.erase(entry);
    }
    selectRelays();
}

void relay_pool::deliver(std::vector<relayed_result> results)
{
    std::vector<std::pair<std::function<void(http_result)>, http_result>> finished;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        for (relayed_result &relayed : results) {
            const auto entry = m_outstanding.find(relayed.number);
            if (entry == m_outstanding.end()) {
                continue;
            }
            const auto relay = m_relays.find(entry->second.relay);
            if (relay != m_relays.end() && relay->second.outstanding > 0) {
                --relay->second.outstanding;
            }
            finished.emplace_back(std::move(entry->second.done), std::move(relayed.result));
            m_outstanding.erase(entry);
        }
    }
    for (std::pair<std::function<void(http_result)>, http_result> &relayed : finished) {
        relayed.first(std::move(relayed.second));
    }
}

void relay_pool::tick(sched::time_ms now)
{
    std::vector<std::function<void(http_result)>> overdue;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        for (auto entry = m_outstanding.begin(); entry != m_outstanding.end();) {
            if (entry->second.deadline >= now) {
                ++entry;
                continue;
            }
            const auto relay = m_relays.find(entry->second.relay);
            if (relay != m_relays.end() && relay->second.outstanding > 0) {
                --relay->second.outstanding;
            }
            overdue.push_back(std::move(entry->second.done));
            entry = m_outstanding.erase(entry);
        }
    }
    for (const std::function<void(http_result)> &done : overdue) {
        done(unansweredResult());
    }
}

void relay_pool::stop()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_stopped = true;
    m_outstanding.clear();
}

} // namespace daisypass
