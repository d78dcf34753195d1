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
    relay_server(call_sender sender, delayed_call later);

    void handle(const http_request &request, const http_responder &respond);

private:
    struct session
    {
        std::vector<relayed_result> results;
        http_responder waiting;
        /** Distinguishes the waiting poll from earlier ones when its time is over. */
        std::int64_t poll = 0;
        bool answerPlanned = false;
    };

    void onResult(const std::string &name, relayed_result result);
    void answer(session &current);

    call_sender m_sender;
    delayed_call m_later;
    std::mutex m_lock;
    std::map<std::string, session> m_sessions;
};

} // namespace daisypass
