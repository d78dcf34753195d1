#pragma once

// Relay on every node: makes calls to executors on behalf of the lease holder and returns their results in batches.
//
// Relays exist because with hundreds of executors the connections alone use up the holder's processor. A relay makes no decisions: each
// call carries its own fencing token and timeout. If a relay fails, the holder treats its calls as orders without an answer.

#include "http/call_sender.h"
#include "http/http_server.h"
#include "node/relay_messages.h"
#include "node/table_feed.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace daisypass {

class relay_server : public std::enable_shared_from_this<relay_server>
{
public:
    relay_server(call_sender sender, run_after_function runAfter);

    void handle(const http_request &request, const http_responder &respond);

private:
    struct session
    {
        std::vector<relayed_result> results;
        http_responder pollResponder;
        /** Number of the latest poll, so that the timer of an earlier one doesn't end it. */
        std::int64_t pollNumber = 0;
        bool answerScheduled = false;
    };

    void onResult(const std::string &name, relayed_result result);
    void answerPoll(session &current);

    call_sender m_sender;
    run_after_function m_runAfter;
    std::mutex m_lock;
    std::map<std::string, session> m_sessions;
};

} // namespace daisypass
