#pragma once

// Asynchronous gRPC client for calls to entries. gRPC's types are used only in peer_client.cpp.
//
//     peer_client client({});
//     client.gossip({place, incarnation}, message, [](std::optional<gossip_message> answer, const failure &reason) { ... });
//
// Every call has a deadline, and its callback runs exactly once, with an answer or a typed failure: PeerUnreachable, Timeout, WrongIncarnation,
// or BadAnswer if the peer rejects the call. The callback runs on a client thread and must not block. Answers that arrive after the deadline are
// dropped.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "net/peer_messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct peer_client_options
{
    int threads = 1;
    std::chrono::milliseconds deadline{300};
    /** Deadline of FetchLog and FetchFile, whose answers can be large. */
    std::chrono::milliseconds fetchDeadline{2'000};
    int maxMessageBytes = 8 << 20;
};

/** The address and incarnation of a peer, as recorded in the fleet state. With incarnation 0 any incarnation may answer. */
struct peer_address
{
    endpoint place;
    incarnation_number incarnation = 0;
};

template<typename T>
using peer_callback = std::function<void(std::optional<T> answer, const failure &reason)>;

/** An answer without content. */
struct peer_acknowledgement
{
};

class peer_client
{
public:
    explicit peer_client(peer_client_options options);
    ~peer_client();

    /** Cancels calls in flight, whose callbacks receive PeerUnreachable, and waits for the threads. Later calls fail at once. Idempotent.
     * Must not be called from a callback. */
    void stop();

    /** Sends the message with `to` set to the peer's incarnation. */
    void gossip(const peer_address &peer, const gossip_message &message, peer_callback<gossip_message> done);
    void borrowSlots(const peer_address &peer, const borrow_call &call, peer_callback<std::vector<peer_grant>> done);
    void returnSlots(const peer_address &peer, const return_call &call, peer_callback<peer_acknowledgement> done);
    void getFate(const peer_address &peer, std::string_view requestId, peer_callback<fate_answer> done);
    void cancelRequest(const peer_address &peer, std::string_view requestId, peer_callback<cancel_answer> done);
    void fetchLog(const peer_address &peer, revision_number after, int limit, peer_callback<log_page> done);
    /** Fails with NotFound if the peer does not have the file. */
    void fetchFile(const peer_address &peer, std::string_view hash, peer_callback<std::string> done);
    void confirmDrain(const peer_address &peer, const drain_question &question, peer_callback<drain_answer> done);

    /** Closes the channels to all endpoints that are not in `places`. Calls in flight on these channels still complete. */
    void keepOnly(const std::vector<endpoint> &places);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
