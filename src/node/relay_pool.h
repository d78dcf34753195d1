#pragma once

// The lease holder's side of the relays: assigns the executors to some other nodes and sends calls to them in batches.
//
//     std::shared_ptr<relay_pool> relays = std::make_shared<relay_pool>(client, runAfter, session, self);
//     relays->setNodes(nodes);
//     relays->setExecutors(count);
//     relays->send(call, done);
//
// If a relay can't be reached, its calls are sent directly. If a relay fails after it may have received a call, the call ends as sent
// without an answer.

#include "http/call_sender.h"
#include "node/node_directory.h"
#include "node/relay_messages.h"
#include "node/table_feed.h"
#include "sched/model.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
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
    void send(http_call call, std::function<void(http_result)> done);
    void tick(sched::time_ms now);
    void stop();

private:
    struct outstanding_call
    {
        std::string relay;
        sched::time_ms deadline = 0;
        std::function<void(http_result)> done;
    };

    struct relay_state
    {
        node_entry node;
        std::vector<relayed_call> queued;
        bool flushScheduled = false;
        bool polling = false;
        sched::time_ms avoidUntil = 0;
        std::size_t outstanding = 0;
    };

    void selectRelays();
    relay_state *relayFor(const std::string &url);
    void scheduleFlush(relay_state &relay);
    void flush(const std::string &name);
    void poll(const std::string &name);
    void onExchange(const std::string &name, bool isPoll, std::vector<relayed_call> calls, const http_result &result);
    void deliver(std::vector<relayed_result> results);
    void failRelay(relay_state &relay, std::vector<std::function<void()>> &callbacks);

    http_client &m_client;
    run_after_function m_runAfter;
    std::string m_session;
    std::string m_self;
    std::mutex m_lock;
    bool m_stopped = false;
    std::vector<node_entry> m_nodes;
    std::size_t m_executors = 0;
    std::map<std::string, relay_state> m_relays;
    std::int64_t m_lastNumber = 0;
    std::map<std::int64_t, outstanding_call> m_outstanding;
};

} // namespace daisypass
