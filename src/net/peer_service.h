#pragma once

// gRPC server for calls from entries and controllers. gRPC's types are used only in peer_service.cpp.
//
//     peer_handlers handlers;
//     handlers.gossip = [](const gossip_message &message) { return answerTo(message); };
//     peer_service service({endpoint{"127.0.0.1", 0}}, handlers);
//     failure reason;
//     if (!service.start(reason)) { ... }
//     endpoint place = service.place();
//
// Handlers run concurrently on the service's threads and must not block. A call without a handler is rejected.

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
    /** Returns no value if `expectedIncarnation` is not the incarnation of this process. */
    std::function<std::optional<fate_answer>(incarnation_number expectedIncarnation, std::string_view requestId)> getFate;
    std::function<std::optional<cancel_answer>(incarnation_number expectedIncarnation, std::string_view requestId)> cancelRequest;
    std::function<log_page(revision_number after, int limit)> fetchLog;
    /** Returns no value if this process does not have the file. */
    std::function<std::optional<std::string>(std::string_view hash)> fetchFile;
    std::function<drain_answer(const drain_question &)> confirmDrain;
};

struct peer_service_options
{
    /** With port 0 the operating system chooses the port. */
    endpoint listen;
    int threads = 1;
    /** Calls of one method that are accepted concurrently. Further calls wait in gRPC. */
    int callsPerMethod = 16;
    int maxMessageBytes = 8 << 20;
    /** How long stop() lets calls in progress run before it cancels them. */
    std::chrono::milliseconds stopDeadline{500};
};

class peer_service
{
public:
    peer_service(peer_service_options options, peer_handlers handlers);
    ~peer_service();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    /** Rejects new calls, lets calls in progress complete within `stopDeadline`, and cancels the rest. Idempotent. */
    void stop();
    /** The address and port that the service listens on; with port 0 in the options, the port that was chosen. */
    endpoint place() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
