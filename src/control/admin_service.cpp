#include "control/admin_service.h"

#include "base/log.h"
#include "control/admin_answers.h"

#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace daisypass {
namespace {

// A configuration of 20,000 VMs is about 3 MB.
constexpr std::size_t maxBodyBytes = 32 << 20;
constexpr std::size_t maxQueuedRequests = 64;
constexpr std::string_view adminPrefix = "/admin/v1/";

// Takes the same time for every wrong token of the right length, so that the time does not reveal how much of a token matches.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

revision_number parseRevision(std::string_view text)
{
    revision_number revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
}

} // namespace

struct admin_service::implementation
{
    struct queued_request
    {
        http_request request;
        http_responder respond;
    };

    implementation(admin_options chosen, const control_loop &controlLoop, configuration_service &service, metrics_registry &registry)
        : options(std::move(chosen))
        , loop(controlLoop)
        , configurations(service)
        , metrics(registry)
        , server(serverOptions(options), [this](http_request request, http_responder respond) {
            dispatch(std::move(request), std::move(respond));
        })
    {
    }

    static http_server_options serverOptions(const admin_options &options)
    {
        http_server_options server;
        server.listen = options.listen;
        server.maxConnections = 100;
        server.maxBodyBytes = maxBodyBytes;
        return server;
    }

    admin_options options;
    const control_loop &loop;
    configuration_service &configurations;
    metrics_registry &metrics;
    std::mutex lock;
    std::condition_variable wake;
    std::deque<queued_request> queue;
    bool stopping = false;
    std::thread worker;
    http_server server;

    void dispatch(http_request request, http_responder respond)
    {
        if (request.path == "/healthz") {
            return respond({200, {}, "ok\n"});
        }
        if (request.path == "/metrics") {
            return respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.render()});
        }
        if (request.path != "/readyz" && !request.path.starts_with(adminPrefix)) {
            return respond(answerFailure(404, {failure_code::NotFound, request.path}));
        }
        if (request.path != "/readyz" && !equalInConstantTime(findHeader(request.headers, "Authorization"), "Bearer " + options.token)) {
            metrics.findCounter("daisypass_control_admin_denied_total").add();
            return respond(answerFailure(401, {failure_code::NotPermitted, "token", {}, "the header Authorization: Bearer <token>"}));
        }
        const std::lock_guard<std::mutex> guard(lock);
        if (stopping || queue.size() >= maxQueuedRequests) {
            return respond(answerFailure(503, {failure_code::StoreOverloaded, "administration API"}));
        }
        queue.push_back({std::move(request), std::move(respond)});
        wake.notify_one();
    }

    void run()
    {
        std::unique_lock<std::mutex> guard(lock);
        while (true) {
            wake.wait(guard, [this] {
                return stopping || !queue.empty();
            });
            if (queue.empty()) {
                return;
            }
            const queued_request next = std::move(queue.front());
            queue.pop_front();
            guard.unlock();
            next.respond(answer(next.request));
            guard.lock();
        }
    }

    http_response answer(const http_request &request)
    {
        if (request.path == "/readyz") {
            const control_status status = loop.status();
            const bool ready = status.input.storeReachable || status.state->revision() > 0;
            return {ready ? 200 : 503, {}, ready ? "ready\n" : "the fleet log has not been read yet\n"};
        }
        const std::string_view name = std::string_view(request.path).substr(adminPrefix.size());
        if (name == "apply" && request.method == "POST") {
            return apply(request);
        }
        if (request.method != "GET") {
            return answerFailure(405, {failure_code::NotPermitted, request.method + ' ' + request.path});
        }
        if (name == "status") {
            return answerStatus(loop);
        }
        if (name == "history") {
            return history(request);
        }
        if (name == "files") {
            failure reason;
            const revision_number revision = loop.status().state->configurationRevision();
            const std::optional<std::vector<configuration_file>> files = configurations.files(reason);
            return files ? answerFiles(*files, revision) : answerFailure(503, reason);
        }
        return name == "explain" ? answerExplain() : answerFailure(404, {failure_code::NotFound, request.path});
    }

    http_response apply(const http_request &request)
    {
        failure reason;
        const std::optional<apply_request> decoded = decodeApply(request.body, reason);
        if (!decoded) {
            return answerFailure(400, reason);
        }
        const apply_result result = configurations.apply(*decoded, loop.status().input.now);
        metrics.findCounter("daisypass_control_applies_total", {{"outcome", std::string(outcomeName(result.outcome))}}).add();
        if (result.outcome == apply_outcome::Applied) {
            logEvent("configuration_applied", {{"revision", result.revision}, {"author", decoded->author}});
        }
        return answerApply(result);
    }

    http_response history(const http_request &request)
    {
        failure reason;
        const std::string_view writeId = findHeader(request.query, "write_id");
        if (!writeId.empty()) {
            const std::optional<apply_result> found = configurations.find(parseRevision(findHeader(request.query, "base")), writeId, reason);
            if (!found) {
                return answerFailure(503, reason);
            }
            http_response response = answerApply(*found);
            response.status = 200;
            return response;
        }
        const std::optional<std::vector<history_item>> items = configurations.history(parseRevision(findHeader(request.query, "after")), reason);
        return items ? answerHistory(*items) : answerFailure(reason.code == failure_code::RevisionGap ? 410 : 503, reason);
    }
};

admin_service::admin_service(admin_options options, const control_loop &loop, configuration_service &configurations, metrics_registry &metrics)
    : m_implementation(std::make_unique<implementation>(std::move(options), loop, configurations, metrics))
{
}

admin_service::~admin_service()
{
    stop();
}

bool admin_service::start(failure &reason)
{
    if (!m_implementation->server.start(reason)) {
        return false;
    }
    m_implementation->worker = std::thread([this] {
        m_implementation->run();
    });
    return true;
}

void admin_service::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_implementation->lock);
        m_implementation->stopping = true;
    }
    m_implementation->wake.notify_all();
    if (m_implementation->worker.joinable()) {
        m_implementation->worker.join();
    }
    m_implementation->server.stop();
}

std::uint16_t admin_service::port() const
{
    return m_implementation->server.port();
}

} // namespace daisypass
