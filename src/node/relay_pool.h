#pragma once

// The holder's side of the relays: spreads the executors over some nodes and sends the calls to them in groups.
//
//     relay_pool relays(client, later, session);
//     relays.setNodes(nodes);
//     executor_client executors(relays.sender());
//
// A call through a relay that isn't reached goes directly. A call whose relay is lost ends as sent and unanswered.

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
    /** `self` is the holder's own node, which is no relay of its own. */
    relay_pool(http_client &client, run_after_function runAfter, std::string session, std::string self);

    /** How many relays this many executors take; none up to a number that one node serves itself. */
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
        /** Originals of the queued calls, for the direct way if the relay isn't reached. */
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
