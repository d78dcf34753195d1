#pragma once

// The lease holder's side of the relays: assigns the executors to some other nodes and sends orders to them in batches.
//
//     std::shared_ptr<relay_pool> relays = std::make_shared<relay_pool>(client, runAfter, session, self);
//     relays->setNodes(nodes);
//     relays->setExecutors(count);
//     relays->send(order, done);
//
// Orders that a relay has certainly not received, or has refused, are sent directly. If a relay fails after it may have received an
// order, the order ends without an answer.

#include "http/http_client.h"
#include "node/node_directory.h"
#include "node/relay_messages.h"
#include "node/table_feed.h"
#include "platform/executor_client.h"
#include "sched/model.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisypass {

class relay_pool : public std::enable_shared_from_this<relay_pool>
{
public:
    /** `self` is the holder's own node, which is never used as a relay. */
    relay_pool(http_client &client, run_after_function runAfter, std::string session, std::string self);

    /** Number of relays for this many executors; 0 for as many as the holder can serve directly. */
    static std::size_t relayCount(std::size_t executors);

    void setNodes(std::vector<node_entry> nodes);
    void setExecutors(std::size_t executors);
    /** How long orders to one relay are collected before they are sent, with this many relays. */
    static std::chrono::milliseconds batchDelay(std::size_t relays);

    void send(executor_order order, std::function<void(executor_answer)> done);
    void tick(sched::time_ms now);
    void stop();

private:
    using answer_handler = std::function<void(executor_answer)>;

    struct outstanding_order
    {
        std::string relay;
        sched::time_ms deadline = 0;
        /** What the holder gets if the relay returns no answer. */
        executor_answer unknownAnswer;
        answer_handler done;
    };

    struct relay_state
    {
        node_entry node;
        std::vector<relayed_order> queued;
        bool flushScheduled = false;
        bool polling = false;
        sched::time_ms avoidUntil = 0;
        std::size_t outstanding = 0;
    };

    void selectRelays();
    relay_state *relayFor(const std::string &url);
    void scheduleFlush(relay_state &relay);
    void flush(const std::string &name);
    void onExchange(const std::string &name, bool isPoll, std::vector<relayed_order> orders, const http_result &result);
    void deliver(std::vector<relayed_answer> answers);
    /** Takes the orders from the outstanding ones, to be sent without the relay. */
    void takeForDirect(relay_state &relay, std::vector<relayed_order> orders, std::vector<std::function<void()>> &callbacks);
    void failRelay(relay_state &relay, std::vector<std::function<void()>> &callbacks);

    http_client &m_client;
    executor_client m_direct;
    run_after_function m_runAfter;
    std::string m_session;
    std::string m_self;
    std::mutex m_lock;
    bool m_stopped = false;
    std::vector<node_entry> m_nodes;
    std::size_t m_executors = 0;
    std::map<std::string, relay_state> m_relays;
    std::int64_t m_lastNumber = 0;
    std::unordered_map<std::int64_t, outstanding_order> m_outstanding;
};

} // namespace daisypass
