#pragma once

// The gRPC server that answers other entries and controllers, kept behind one source file.
//
//     peer_handlers handlers;
//     handlers.gossip = [](const gossip_message &message) { return answerTo(message); };
//     peer_service service({endpoint{"127.0.0.1", 0}}, handlers);
//     failure reason;
//     if (!service.start(reason)) { ... }
//     endpoint place = service.place();
//
// Handlers run on the service's threads, several at once, and must not block. A call without a handler is refused.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "net/peer_messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace daisypass {

struct peer_handlers
{
    std::function<gossip_message(const gossip_message &)> gossip;
    std::function<std::vector<peer_grant>(const borrow_call &)> borrowSlots;
    std::function<void(const return_call &)> returnSlots;
    /** No value means that another incarnation was meant. */
    std::function<std::optional<fate_answer>(incarnation_number asked, std::string_view requestId)> getFate;
    std::function<std::optional<cancel_answer>(incarnation_number asked, std::string_view requestId)> cancelRequest;
    std::function<log_page(revision_number after, int limit)> fetchLog;
    /** No value means that the file is not held. */
    std::function<std::optional<std::string>(std::string_view hash)> fetchFile;
    std::function<drain_answer(const drain_question &)> confirmDrain;
};

struct peer_service_options
{
    /** Port 0 lets the system choose. */
    endpoint listen;
    int threads = 1;
    /** Calls accepted at once per method; further ones wait in the transport. */
    int callsPerMethod = 16;
    int maxMessageBytes = 8 << 20;
    /** Time that calls in progress have to end at stop(). */
    std::chrono::milliseconds stopDeadline{500};
};

class peer_service
{
public:
    peer_service(peer_service_options options, peer_handlers handlers);
    ~peer_service();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    /** Refuses new calls, lets running ones end within the deadline, and cancels the rest. Idempotent. */
    void stop();
    /** The address and port in use, also when the options asked for port 0. */
    endpoint place() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
