#include "net/peer_service.h"

#include "net/peer_wire.h"
#include "net/proto/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <thread>

namespace daisypass {
namespace {

constexpr int maxConcurrentStreams = 64;

template<typename Request, typename Response>
using request_method = void (peer::Peer::AsyncService::*)(
    grpc::ServerContext *, Request *, grpc::ServerAsyncResponseWriter<Response> *, grpc::CompletionQueue *, grpc::ServerCompletionQueue *, void *);

template<typename Request, typename Response>
using answer_function = std::function<grpc::Status(const Request &, Response &)>;

// Serves one call of one method at a time: it waits for a call, answers it, and waits for the next. `advance` runs the next of these steps.
struct call_slot
{
    std::function<void(bool succeeded)> advance;
};

grpc::Status unimplemented()
{
    return {grpc::StatusCode::UNIMPLEMENTED, "no handler"};
}

grpc::Status answerBorrow(const peer_handlers &handlers, const peer::BorrowRequest &request, peer::BorrowAnswer &answer)
{
    if (!handlers.borrowSlots) {
        return unimplemented();
    }
    const borrow_call call{request.entry(), request.incarnation(), request.pool(), static_cast<int>(request.count())};
    for (const peer_grant &grant : handlers.borrowSlots(call)) {
        peer::SlotGrant &added = *answer.add_grants();
        added.set_vm(grant.vm);
        added.set_count(static_cast<std::uint32_t>(grant.count));
        added.set_expires_in_ms(grant.expiresInMs);
    }
    return grpc::Status::OK;
}

grpc::Status answerReturn(const peer_handlers &handlers, const peer::ReturnRequest &request)
{
    if (!handlers.returnSlots) {
        return unimplemented();
    }
    return_call call{request.entry(), request.incarnation(), request.pool(), {}};
    for (const peer::SlotGrant &grant : request.grants()) {
        call.grants.push_back({grant.vm(), static_cast<int>(grant.count()), grant.expires_in_ms()});
    }
    handlers.returnSlots(call);
    return grpc::Status::OK;
}

grpc::Status answerFate(const peer_handlers &handlers, const peer::FateRequest &request, peer::FateAnswer &answer)
{
    if (!handlers.getFate) {
        return unimplemented();
    }
    const std::optional<fate_answer> fate = handlers.getFate(request.incarnation(), request.request_id());
    answer.set_wrong_incarnation(!fate);
    if (fate) {
        toWire(*fate, answer);
    }
    return grpc::Status::OK;
}

grpc::Status answerCancel(const peer_handlers &handlers, const peer::CancelCall &request, peer::CancelAnswer &answer)
{
    if (!handlers.cancelRequest) {
        return unimplemented();
    }
    const std::optional<cancel_answer> cancelled = handlers.cancelRequest(request.incarnation(), request.request_id());
    answer.set_wrong_incarnation(!cancelled);
    if (cancelled) {
        answer.set_in_time(cancelled->inTime);
        toWire(cancelled->fate, *answer.mutable_fate());
    }
    return grpc::Status::OK;
}

grpc::Status answerLog(const peer_handlers &handlers, const peer::LogRequest &request, peer::LogAnswer &answer)
{
    if (!handlers.fetchLog) {
        return unimplemented();
    }
    log_page page = handlers.fetchLog(request.after_revision(), static_cast<int>(std::min<std::uint32_t>(request.limit(), 10'000)));
    for (std::string &record : page.records) {
        answer.add_records(std::move(record));
    }
    answer.set_snapshot(std::move(page.snapshot));
    return grpc::Status::OK;
}

grpc::Status answerFile(const peer_handlers &handlers, const peer::FileRequest &request, peer::FileAnswer &answer)
{
    if (!handlers.fetchFile) {
        return unimplemented();
    }
    std::optional<std::string> body = handlers.fetchFile(request.hash());
    answer.set_found(body.has_value());
    if (body) {
        answer.set_body(std::move(*body));
    }
    return grpc::Status::OK;
}

grpc::Status answerDrain(const peer_handlers &handlers, const peer::DrainQuestion &request, peer::DrainAnswer &answer)
{
    if (!handlers.confirmDrain) {
        return unimplemented();
    }
    const drain_answer drain = handlers.confirmDrain({request.vm(), request.epoch(), request.revision()});
    answer.set_entry(drain.entry);
    answer.set_incarnation(drain.incarnation);
    answer.set_confirmed(drain.confirmed);
    answer.set_in_flight(static_cast<std::uint32_t>(drain.inFlight));
    answer.set_revision(drain.revision);
    return grpc::Status::OK;
}

grpc::Status answerGossip(const peer_handlers &handlers, const peer::GossipMessage &request, peer::GossipMessage &answer)
{
    if (!handlers.gossip) {
        return unimplemented();
    }
    toWire(handlers.gossip(fromWire(request)), answer);
    return grpc::Status::OK;
}

} // namespace

struct peer_service::implementation
{
    implementation(peer_service_options chosen, peer_handlers given)
        : options(std::move(chosen))
        , handlers(std::move(given))
    {
    }

    template<typename Request, typename Response>
    void serve(request_method<Request, Response> method, answer_function<Request, Response> answer);
    void serveAll();
    void run();

    peer_service_options options;
    peer_handlers handlers;
    endpoint place;
    peer::Peer::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::vector<std::thread> threads;
    std::vector<std::unique_ptr<call_slot>> slots;
    // gRPC forbids starting operations on a completion queue that is shut down: each step holds this lock shared, stop() holds it exclusively.
    std::shared_mutex shutdownLock;
    bool closed = false;
};

template<typename Request, typename Response>
void peer_service::implementation::serve(request_method<Request, Response> method, answer_function<Request, Response> answer)
{
    struct typed_call
    {
        grpc::ServerContext context;
        Request request;
        Response response;
        grpc::ServerAsyncResponseWriter<Response> writer{&context};
        bool answering = false;
    };

    for (int i = 0; i < options.callsPerMethod; ++i) {
        slots.push_back(std::make_unique<call_slot>());
        call_slot *slot = slots.back().get();
        const auto waitForCall = [this, method, slot](std::unique_ptr<typed_call> &call) {
            call = std::make_unique<typed_call>();
            (service.*method)(&call->context, &call->request, &call->writer, queue.get(), queue.get(), slot);
        };
        const std::shared_ptr<std::unique_ptr<typed_call>> current = std::make_shared<std::unique_ptr<typed_call>>();
        slot->advance = [this, slot, waitForCall, answer, current](bool succeeded) {
            std::unique_ptr<typed_call> &call = *current;
            if (!succeeded && !call->answering) {
                return; // The server is shutting down: this slot received no call.
            }
            if (call->answering) {
                const std::shared_lock<std::shared_mutex> sharedGuard(shutdownLock);
                if (!closed) {
                    waitForCall(call);
                }
                return;
            }
            const grpc::Status status = answer(call->request, call->response);
            const std::shared_lock<std::shared_mutex> sharedGuard(shutdownLock);
            if (!closed) {
                call->answering = true;
                call->writer.Finish(call->response, status, slot);
            }
        };
        waitForCall(*current);
    }
}

void peer_service::implementation::serveAll()
{
    using async = peer::Peer::AsyncService;
    serve<peer::GossipMessage, peer::GossipMessage>(&async::RequestGossip, [this](const peer::GossipMessage &request, peer::GossipMessage &answer) {
        return answerGossip(handlers, request, answer);
    });
    serve<peer::BorrowRequest, peer::BorrowAnswer>(&async::RequestBorrowSlots, [this](const peer::BorrowRequest &request, peer::BorrowAnswer &answer) {
        return answerBorrow(handlers, request, answer);
    });
    serve<peer::ReturnRequest, peer::ReturnAnswer>(&async::RequestReturnSlots, [this](const peer::ReturnRequest &request, peer::ReturnAnswer &) {
        return answerReturn(handlers, request);
    });
    serve<peer::FateRequest, peer::FateAnswer>(&async::RequestGetFate, [this](const peer::FateRequest &request, peer::FateAnswer &answer) {
        return answerFate(handlers, request, answer);
    });
    serve<peer::CancelCall, peer::CancelAnswer>(&async::RequestCancelRequest, [this](const peer::CancelCall &request, peer::CancelAnswer &answer) {
        return answerCancel(handlers, request, answer);
    });
    serve<peer::LogRequest, peer::LogAnswer>(&async::RequestFetchLog, [this](const peer::LogRequest &request, peer::LogAnswer &answer) {
        return answerLog(handlers, request, answer);
    });
    serve<peer::FileRequest, peer::FileAnswer>(&async::RequestFetchFile, [this](const peer::FileRequest &request, peer::FileAnswer &answer) {
        return answerFile(handlers, request, answer);
    });
    serve<peer::DrainQuestion, peer::DrainAnswer>(&async::RequestConfirmDrain, [this](const peer::DrainQuestion &request, peer::DrainAnswer &answer) {
        return answerDrain(handlers, request, answer);
    });
}

void peer_service::implementation::run()
{
    void *tag = nullptr;
    bool succeeded = false;
    while (queue->Next(&tag, &succeeded)) {
        static_cast<call_slot *>(tag)->advance(succeeded);
    }
}

peer_service::peer_service(peer_service_options options, peer_handlers handlers)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(handlers)))
{
}

peer_service::~peer_service()
{
    stop();
}

bool peer_service::start(failure &reason)
{
    disableGrpcLog();
    implementation &self = *m_implementation;
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(toString(self.options.listen), grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(self.options.maxMessageBytes);
    builder.SetMaxSendMessageSize(self.options.maxMessageBytes);
    // With SO_REUSEPORT a second process could bind the same port and receive some of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, maxConcurrentStreams);
    // gRPC probes the bandwidth with pings to size the flow-control window. Messages here are far smaller than the default window.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.RegisterService(&self.service);
    self.queue = builder.AddCompletionQueue();
    self.server = builder.BuildAndStart();
    if (!self.server || port == 0) {
        reason = failure{failure_code::ListenFailed, toString(self.options.listen)};
        self.queue->Shutdown();
        self.run();
        self.server.reset();
        return false;
    }
    self.place = endpoint{self.options.listen.address, static_cast<std::uint16_t>(port)};
    self.serveAll();
    for (int i = 0; i < self.options.threads; ++i) {
        self.threads.emplace_back([&self] {
            self.run();
        });
    }
    return true;
}

void peer_service::stop()
{
    implementation &self = *m_implementation;
    if (!self.server) {
        return;
    }
    self.server->Shutdown(std::chrono::system_clock::now() + self.options.stopDeadline);
    {
        const std::unique_lock<std::shared_mutex> exclusiveGuard(self.shutdownLock);
        self.closed = true;
        self.queue->Shutdown();
    }
    for (std::thread &thread : self.threads) {
        thread.join();
    }
    self.threads.clear();
    self.slots.clear();
    self.server.reset();
}

endpoint peer_service::place() const
{
    return m_implementation->place;
}

} // namespace daisypass
