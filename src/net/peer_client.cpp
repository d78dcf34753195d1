#include "net/peer_client.h"

#include "net/peer_wire.h"
#include "net/proto/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace daisypass {
namespace {

// A peer that is reachable again must be reached within 1 s: at most 0.5 s between connection attempts, and at most 0.5 s for one attempt.
constexpr int minReconnectBackoffMs = 100;
constexpr int maxReconnectBackoffMs = 500;
// After this many consecutive timeouts the next call opens a new connection. After a network interruption TCP would otherwise send nothing until
// its retransmission back-off expires. Keep-alive probes would also detect this, but cost 1.2 KB/s with 7 peers on connections that carry no calls.
constexpr int maxConsecutiveTimeouts = 3;

grpc::ChannelArguments channelArguments(const peer_client_options &options)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(options.maxMessageBytes);
    arguments.SetMaxSendMessageSize(options.maxMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    // The calls are not idempotent: a transparent retry of BorrowSlots, for example, would borrow twice.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    // Clients in the same process do not share connections.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return arguments;
}

std::string grpcTarget(const endpoint &place)
{
    return (place.address.find(':') == std::string::npos ? "ipv4:" : "ipv6:") + toString(place);
}

failure failureOf(const grpc::Status &status, const endpoint &place)
{
    switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return failure{failure_code::Timeout, toString(place)};
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::CANCELLED:
        return failure{failure_code::PeerUnreachable, toString(place)};
    default:
        return failure{failure_code::BadAnswer, toString(place) + ": " + status.error_message()};
    }
}

struct peer_connection
{
    std::unique_ptr<peer::Peer::Stub> stub;
    int consecutiveTimeouts = 0;
};

// A call in flight. `finish` runs when gRPC has completed it.
struct pending_call
{
    virtual ~pending_call() = default;

    std::string grpcTargetName;
    std::shared_ptr<peer_connection> connection;

    grpc::ClientContext context;
    grpc::Status status;
    std::function<void()> finish;
};

template<typename Request, typename Response>
using call_method
    = std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> (peer::Peer::Stub::*)(grpc::ClientContext *, const Request &, grpc::CompletionQueue *);

} // namespace

struct peer_client::implementation
{
    explicit implementation(peer_client_options chosen)
        : options(chosen)
    {
    }

    std::shared_ptr<peer_connection> connectionTo(const endpoint &place);
    void recordCallEnd(const pending_call &call);

    // Starts a call. `read` converts the wire answer to an `Answer`, or returns no value and sets the failure.
    template<typename Request, typename Response, typename Answer, typename Read>
    void start(const peer_address &peer,
               call_method<Request, Response> method,
               const Request &request,
               std::chrono::milliseconds deadline,
               Read read,
               peer_callback<Answer> done);
    void run();

    const peer_client_options options;
    grpc::CompletionQueue queue;
    std::vector<std::thread> threads;
    std::mutex lock;
    bool closed = false;
    std::map<std::string, std::shared_ptr<peer_connection>> connections;
    std::set<pending_call *> pending;
};

std::shared_ptr<peer_connection> peer_client::implementation::connectionTo(const endpoint &place)
{
    std::shared_ptr<peer_connection> &connection = connections[grpcTarget(place)];
    if (!connection) {
        connection = std::make_shared<peer_connection>();
        connection->stub = peer::Peer::NewStub(grpc::CreateCustomChannel(grpcTarget(place), grpc::InsecureChannelCredentials(), channelArguments(options)));
    }
    return connection;
}

void peer_client::implementation::recordCallEnd(const pending_call &call)
{
    call.connection->consecutiveTimeouts = call.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? call.connection->consecutiveTimeouts + 1 : 0;
    if (call.connection->consecutiveTimeouts < maxConsecutiveTimeouts) {
        return;
    }
    const auto current = connections.find(call.grpcTargetName);
    if (current != connections.end() && current->second == call.connection) {
        connections.erase(current);
    }
}

template<typename Request, typename Response, typename Answer, typename Read>
void peer_client::implementation::start(const peer_address &peer,
                                        call_method<Request, Response> method,
                                        const Request &request,
                                        std::chrono::milliseconds deadline,
                                        Read read,
                                        peer_callback<Answer> done)
{
    struct typed_call : pending_call
    {
        Response response;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> reader;
    };

    std::unique_ptr<typed_call> call = std::make_unique<typed_call>();
    typed_call *started = call.get();
    started->context.set_deadline(std::chrono::system_clock::now() + deadline);
    started->finish = [started, read, done, place = peer.place] {
        if (!started->status.ok()) {
            done(std::nullopt, failureOf(started->status, place));
            return;
        }
        failure reason;
        std::optional<Answer> answer = read(started->response, reason);
        done(std::move(answer), reason);
    };
    {
        const std::lock_guard<std::mutex> guard(lock);
        if (!closed) {
            started->grpcTargetName = grpcTarget(peer.place);
            started->connection = connectionTo(peer.place);
            started->reader = (started->connection->stub.get()->*method)(&started->context, request, &queue);
            pending.insert(started);
            started->reader->StartCall();
            started->reader->Finish(&started->response, &started->status, static_cast<pending_call *>(started));
            (void)call.release(); // Deleted by run().
            return;
        }
    }
    done(std::nullopt, failure{failure_code::PeerUnreachable, toString(peer.place)});
}

void peer_client::implementation::run()
{
    void *tag = nullptr;
    bool succeeded = false;
    while (queue.Next(&tag, &succeeded)) {
        const std::unique_ptr<pending_call> call(static_cast<pending_call *>(tag));
        {
            const std::lock_guard<std::mutex> guard(lock);
            pending.erase(call.get());
            recordCallEnd(*call);
        }
        call->finish();
    }
}

peer_client::peer_client(peer_client_options options)
    : m_implementation(std::make_unique<implementation>(options))
{
    disableGrpcLog();
    for (int i = 0; i < options.threads; ++i) {
        m_implementation->threads.emplace_back([this] {
            m_implementation->run();
        });
    }
}

peer_client::~peer_client()
{
    stop();
}

void peer_client::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_implementation->lock);
        if (m_implementation->closed) {
            return;
        }
        m_implementation->closed = true;
        for (pending_call *call : m_implementation->pending) {
            call->context.TryCancel();
        }
        m_implementation->queue.Shutdown();
    }
    for (std::thread &thread : m_implementation->threads) {
        thread.join();
    }
}

void peer_client::gossip(const peer_address &peer, const gossip_message &message, peer_callback<gossip_message> done)
{
    peer::GossipMessage request;
    toWire(message, request);
    request.set_to(peer.incarnation);
    m_implementation->start<peer::GossipMessage, peer::GossipMessage, gossip_message>(
        peer,
        &peer::Peer::Stub::PrepareAsyncGossip,
        request,
        m_implementation->options.deadline,
        [peer](const peer::GossipMessage &answer, failure &reason) -> std::optional<gossip_message> {
            if (peer.incarnation != 0 && answer.incarnation() != peer.incarnation) {
                reason = failure{failure_code::WrongIncarnation, toString(peer.place)};
                return std::nullopt;
            }
            return fromWire(answer);
        },
        std::move(done));
}

void peer_client::borrowSlots(const peer_address &peer, const borrow_call &call, peer_callback<std::vector<peer_grant>> done)
{
    peer::BorrowRequest request;
    request.set_entry(call.entry);
    request.set_incarnation(call.incarnation);
    request.set_pool(call.pool);
    request.set_count(static_cast<std::uint32_t>(call.count));
    m_implementation->start<peer::BorrowRequest, peer::BorrowAnswer, std::vector<peer_grant>>(
        peer,
        &peer::Peer::Stub::PrepareAsyncBorrowSlots,
        request,
        m_implementation->options.deadline,
        [](const peer::BorrowAnswer &answer, failure &) -> std::optional<std::vector<peer_grant>> {
            std::vector<peer_grant> grants;
            for (const peer::SlotGrant &grant : answer.grants()) {
                grants.push_back({grant.vm(), static_cast<int>(grant.count()), grant.expires_in_ms()});
            }
            return grants;
        },
        std::move(done));
}

void peer_client::returnSlots(const peer_address &peer, const return_call &call, peer_callback<peer_acknowledgement> done)
{
    peer::ReturnRequest request;
    request.set_entry(call.entry);
    request.set_incarnation(call.incarnation);
    request.set_pool(call.pool);
    for (const peer_grant &grant : call.grants) {
        peer::SlotGrant &added = *request.add_grants();
        added.set_vm(grant.vm);
        added.set_count(static_cast<std::uint32_t>(grant.count));
        added.set_expires_in_ms(grant.expiresInMs);
    }
    m_implementation->start<peer::ReturnRequest, peer::ReturnAnswer, peer_acknowledgement>(
        peer,
        &peer::Peer::Stub::PrepareAsyncReturnSlots,
        request,
        m_implementation->options.deadline,
        [](const peer::ReturnAnswer &, failure &) -> std::optional<peer_acknowledgement> {
            return peer_acknowledgement{};
        },
        std::move(done));
}

void peer_client::getFate(const peer_address &peer, std::string_view requestId, peer_callback<fate_answer> done)
{
    peer::FateRequest request;
    request.set_incarnation(peer.incarnation);
    request.set_request_id(std::string(requestId));
    m_implementation->start<peer::FateRequest, peer::FateAnswer, fate_answer>(
        peer,
        &peer::Peer::Stub::PrepareAsyncGetFate,
        request,
        m_implementation->options.deadline,
        [peer](const peer::FateAnswer &answer, failure &reason) -> std::optional<fate_answer> {
            if (answer.wrong_incarnation()) {
                reason = failure{failure_code::WrongIncarnation, toString(peer.place)};
                return std::nullopt;
            }
            return fromWire(answer);
        },
        std::move(done));
}

void peer_client::cancelRequest(const peer_address &peer, std::string_view requestId, peer_callback<cancel_answer> done)
{
    peer::CancelCall request;
    request.set_incarnation(peer.incarnation);
    request.set_request_id(std::string(requestId));
    m_implementation->start<peer::CancelCall, peer::CancelAnswer, cancel_answer>(
        peer,
        &peer::Peer::Stub::PrepareAsyncCancelRequest,
        request,
        m_implementation->options.deadline,
        [peer](const peer::CancelAnswer &answer, failure &reason) -> std::optional<cancel_answer> {
            if (answer.wrong_incarnation()) {
                reason = failure{failure_code::WrongIncarnation, toString(peer.place)};
                return std::nullopt;
            }
            return cancel_answer{answer.in_time(), fromWire(answer.fate())};
        },
        std::move(done));
}

void peer_client::fetchLog(const peer_address &peer, revision_number after, int limit, peer_callback<log_page> done)
{
    peer::LogRequest request;
    request.set_after_revision(after);
    request.set_limit(static_cast<std::uint32_t>(std::max(limit, 0)));
    m_implementation->start<peer::LogRequest, peer::LogAnswer, log_page>(
        peer,
        &peer::Peer::Stub::PrepareAsyncFetchLog,
        request,
        m_implementation->options.fetchDeadline,
        [](const peer::LogAnswer &answer, failure &) -> std::optional<log_page> {
            return log_page{{answer.records().begin(), answer.records().end()}, answer.snapshot()};
        },
        std::move(done));
}

void peer_client::fetchFile(const peer_address &peer, std::string_view hash, peer_callback<std::string> done)
{
    peer::FileRequest request;
    request.set_hash(std::string(hash));
    m_implementation->start<peer::FileRequest, peer::FileAnswer, std::string>(
        peer,
        &peer::Peer::Stub::PrepareAsyncFetchFile,
        request,
        m_implementation->options.fetchDeadline,
        [name = std::string(hash)](const peer::FileAnswer &answer, failure &reason) -> std::optional<std::string> {
            if (!answer.found()) {
                reason = failure{failure_code::NotFound, name};
                return std::nullopt;
            }
            return answer.body();
        },
        std::move(done));
}

void peer_client::confirmDrain(const peer_address &peer, const drain_question &question, peer_callback<drain_answer> done)
{
    peer::DrainQuestion request;
    request.set_vm(question.vm);
    request.set_epoch(question.epoch);
    request.set_revision(question.revision);
    m_implementation->start<peer::DrainQuestion, peer::DrainAnswer, drain_answer>(
        peer,
        &peer::Peer::Stub::PrepareAsyncConfirmDrain,
        request,
        m_implementation->options.deadline,
        [peer](const peer::DrainAnswer &answer, failure &reason) -> std::optional<drain_answer> {
            if (peer.incarnation != 0 && answer.incarnation() != peer.incarnation) {
                reason = failure{failure_code::WrongIncarnation, toString(peer.place)};
                return std::nullopt;
            }
            return drain_answer{answer.entry(), answer.incarnation(), answer.confirmed(), static_cast<int>(answer.in_flight()), answer.revision()};
        },
        std::move(done));
}

void peer_client::keepOnly(const std::vector<endpoint> &places)
{
    std::set<std::string> kept;
    for (const endpoint &place : places) {
        kept.insert(grpcTarget(place));
    }
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    std::erase_if(m_implementation->connections, [&kept](const std::pair<const std::string, std::shared_ptr<peer_connection>> &connection) {
        return !kept.contains(connection.first);
    });
}

} // namespace daisypass
