#pragma once

// Relay on every node: sends orders to executors on behalf of the lease holder and returns their answers in batches.
//
//     std::shared_ptr<relay_server> relay = std::make_shared<relay_server>(executor_client(directSender(http)), runAfter);
//     relay->handle(request, respond);
//
// Relays exist because with hundreds of executors the connections, the HTTP messages and their bodies alone use up the holder's
// processor. A relay makes no decisions: each order carries its own fencing token. If a relay fails, the holder treats its orders as
// orders without an answer.

#include "http/http_server.h"
#include "node/relay_messages.h"
#include "node/table_feed.h"
#include "platform/executor_client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace daisypass {

class relay_server : public std::enable_shared_from_this<relay_server>
{
public:
    relay_server(executor_client executors, run_after_function runAfter);

    void handle(const http_request &request, const http_responder &respond);

private:
    struct session
    {
        std::vector<relayed_answer> answers;
        http_responder pollResponder;
        /** Number of the latest poll, so that the timer of an earlier one doesn't end it. */
        std::int64_t pollNumber = 0;
        bool responseScheduled = false;
    };

    void onAnswer(const std::string &name, relayed_answer answer);
    void respondToPoll(session &current);
    void dropSessions();

    executor_client m_executors;
    run_after_function m_runAfter;
    std::mutex m_lock;
    std::map<std::string, session> m_sessions;
};

} // namespace daisypass
