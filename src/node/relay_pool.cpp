#include "node/relay_pool.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_answers.h"

#include <algorithm>

namespace daisypass {
namespace {

// The holder serves up to this many executors directly.
constexpr std::size_t executorsWithoutRelay = 100;
constexpr std::size_t executorsPerRelay = 110;
// Orders given within this time of the first one share its exchange. Every relay has exchanges of its own, which cost the holder processor
// time, so the time grows with the number of relays.
constexpr std::chrono::milliseconds minBatchDelay{4};
constexpr std::chrono::milliseconds maxBatchDelay{16};
constexpr std::chrono::milliseconds pollWait{1'000};
constexpr std::chrono::milliseconds exchangeTimeout{1'000};
constexpr std::chrono::milliseconds connectTimeout{400};
// A failed relay gets no new calls for this long.
constexpr sched::time_ms failedRelayAvoidMs = 3'000;
// Added to an order's own timeout for the way through the relay.
constexpr sched::time_ms relayMarginMs = 400;

std::uint64_t rendezvousHash(const std::string &a, const std::string &b)
{
    return std::hash<std::string>{}(a + '|' + b);
}

} // namespace

relay_pool::relay_pool(http_client &client, run_after_function runAfter, std::string session, std::string self)
    : m_client(client)
    , m_direct(directSender(client))
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

std::chrono::milliseconds relay_pool::batchDelay(std::size_t relays)
{
    return std::clamp(std::chrono::milliseconds(relays), minBatchDelay, maxBatchDelay);
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
            // A relay that is avoided already isn't avoided for longer by each further change of the nodes.
            former.second.avoidUntil = former.second.avoidUntil > now ? former.second.avoidUntil : now + failedRelayAvoidMs;
            selected.emplace(former.first, std::move(former.second));
        }
    }
    m_relays = std::move(selected);
}

relay_pool::relay_state *relay_pool::relayFor(const std::string &address)
{
    const sched::time_ms now = steadyMillis();
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

void relay_pool::send(executor_order order, answer_handler done)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        relay_state *relay = m_stopped ? nullptr : relayFor(order.target.address);
        if (relay != nullptr) {
            const std::int64_t number = ++m_lastNumber;
            const sched::time_ms deadline = steadyMillis() + timeoutOf(order).count() + relayMarginMs;
            m_outstanding[number] = {relay->node.node, deadline, unknownAnswerTo(order), std::move(done)};
            ++relay->outstanding;
            relay->queued.push_back({number, std::move(order)});
            scheduleFlush(*relay);
            return;
        }
    }
    m_direct.send(order, std::move(done));
}

void relay_pool::scheduleFlush(relay_state &relay)
{
    if (relay.flushScheduled) {
        return;
    }
    relay.flushScheduled = true;
    m_runAfter(batchDelay(m_relays.size()), [weak = weak_from_this(), name = relay.node.node] {
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
    exchange.orders = std::exchange(relay.queued, {});
    const bool isPoll = !relay.polling;
    relay.polling = true;
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(relay.node.address) + std::string(relayExchangePath);
    call.headers = {{"Content-Type", "application/msgpack"}};
    call.body = encode(exchange);
    call.connectTimeout = connectTimeout;
    call.totalTimeout = isPoll ? pollWait + exchangeTimeout : exchangeTimeout;
    m_client.send(std::move(call), [weak = weak_from_this(), name, isPoll, orders = std::move(exchange.orders)](const http_result &result) mutable {
        if (const std::shared_ptr<relay_pool> self = weak.lock()) {
            self->onExchange(name, isPoll, std::move(orders), result);
        }
    });
}

void relay_pool::onExchange(const std::string &name, bool isPoll, std::vector<relayed_order> orders, const http_result &result)
{
    const bool served = result.state == send_state::Answered && result.response.status == statusOk;
    std::optional<std::vector<relayed_answer>> answers = served ? decodeAnswers(result.response.body) : std::nullopt;
    // A relay that can't be reached, or that refuses the exchange, has done nothing with these orders.
    const bool refused = result.state == send_state::Answered && (result.response.status / 100 == 4 || result.response.status == statusUnavailable);
    const bool notReceived = result.state == send_state::NotSent || refused;
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
            if (!answers) {
                if (notReceived) {
                    takeForDirect(relay, std::move(orders), callbacks);
                }
                failRelay(relay, callbacks);
            }
        }
    }
    for (const std::function<void()> &call : callbacks) {
        call();
    }
    if (answers) {
        deliver(std::move(*answers));
    }
    if (isPoll && answers) {
        const std::lock_guard<std::mutex> guard(m_lock);
        const auto found = m_relays.find(name);
        if (found != m_relays.end() && found->second.outstanding > 0) {
            scheduleFlush(found->second);
        }
    }
}

void relay_pool::takeForDirect(relay_state &relay, std::vector<relayed_order> orders, std::vector<std::function<void()>> &callbacks)
{
    for (relayed_order &relayed : orders) {
        const auto entry = m_outstanding.find(relayed.number);
        if (entry == m_outstanding.end()) {
            continue;
        }
        relay.outstanding -= relay.outstanding > 0 ? 1 : 0;
        callbacks.emplace_back([self = shared_from_this(), order = std::move(relayed.order), done = std::move(entry->second.done)] {
            self->m_direct.send(order, done);
        });
        m_outstanding.erase(entry);
    }
}

// Orders that were still queued have not left this process. All others may have been carried out.
void relay_pool::failRelay(relay_state &relay, std::vector<std::function<void()>> &callbacks)
{
    logEvent("relay_failed", {{"node", relay.node.node}, {"calls", relay.outstanding}});
    takeForDirect(relay, std::exchange(relay.queued, {}), callbacks);
    relay.avoidUntil = steadyMillis() + failedRelayAvoidMs;
    relay.outstanding = 0;
    for (auto entry = m_outstanding.begin(); entry != m_outstanding.end();) {
        if (entry->second.relay != relay.node.node) {
            ++entry;
            continue;
        }
        callbacks.emplace_back([done = std::move(entry->second.done), answer = std::move(entry->second.unknownAnswer)] {
            done(answer);
        });
        entry = m_outstanding.erase(entry);
    }
    selectRelays();
}

void relay_pool::deliver(std::vector<relayed_answer> answers)
{
    std::vector<std::pair<answer_handler, executor_answer>> finished;
    finished.reserve(answers.size());
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        for (relayed_answer &relayed : answers) {
            const auto entry = m_outstanding.find(relayed.number);
            if (entry == m_outstanding.end()) {
                continue;
            }
            const auto relay = m_relays.find(entry->second.relay);
            if (relay != m_relays.end() && relay->second.outstanding > 0) {
                --relay->second.outstanding;
            }
            // An answer to another kind of order than the one sent says nothing about it.
            const bool matches = relayed.answer.index() == entry->second.unknownAnswer.index();
            finished.emplace_back(std::move(entry->second.done), matches ? std::move(relayed.answer) : std::move(entry->second.unknownAnswer));
            m_outstanding.erase(entry);
        }
    }
    for (std::pair<answer_handler, executor_answer> &relayed : finished) {
        relayed.first(std::move(relayed.second));
    }
}

void relay_pool::tick(sched::time_ms now)
{
    std::vector<std::pair<answer_handler, executor_answer>> overdue;
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
            overdue.emplace_back(std::move(entry->second.done), std::move(entry->second.unknownAnswer));
            entry = m_outstanding.erase(entry);
        }
    }
    for (std::pair<answer_handler, executor_answer> &order : overdue) {
        order.first(std::move(order.second));
    }
}

void relay_pool::stop()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_stopped = true;
    m_outstanding.clear();
}

} // namespace daisypass
