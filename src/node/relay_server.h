#pragma once

// Makes calls to executors for the lease's holder and hands their results back in groups.
//
// The load that it answers: at hundreds of executors the holder's processor is spent on connections. A relay decides nothing:
// each call carries its fencing token and its time limit, and a relay that dies is an order without an answer.

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
        /** Distinguishes the waiting poll from earlier ones when its time is over. */
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
