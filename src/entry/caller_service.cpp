#include "entry/caller_service.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {
namespace {

constexpr std::string_view poolPrefix = "/v1/pools/";
constexpr std::string_view requestPrefix = "/v1/requests/";
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;

struct pool_path
{
    std::string_view pool;
    std::string_view operation;
};

std::optional<pool_path> splitPoolPath(std::string_view path)
{
    path.remove_prefix(poolPrefix.size());
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0) {
        return std::nullopt;
    }
    return pool_path{path.substr(0, slash), path.substr(slash + 1)};
}

http_response wrongMethod(std::string_view allowed)
{
    http_response response = problemResponse(methodNotAllowed, "method_not_allowed", "the resource does not support this method");
    response.headers.push_back({"Allow", std::string(allowed)});
    return response;
}

http_response plainText(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

} // namespace

caller_service::caller_service(submissions &requests, const metrics_registry &metrics, std::function<bool()> isReady)
    : m_requests(requests)
    , m_metrics(metrics)
    , m_isReady(std::move(isReady))
{
}

void caller_service::handle(http_request request, http_responder respond)
{
    if (request.path.starts_with(poolPrefix)) {
        handlePool(std::move(request), std::move(respond));
    } else if (request.path.starts_with(requestPrefix)) {
        handleRequest(request, respond);
    } else if (request.path != "/metrics" && request.path != "/healthz" && request.path != "/readyz") {
        respond(problemResponse(notFound, "unknown_path", "no resource has this path"));
    } else if (request.method != "GET") {
        respond(wrongMethod("GET"));
    } else if (request.path == "/metrics") {
        respond({200, {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}}, m_metrics.render()});
    } else if (request.path == "/healthz") {
        respond(plainText(200, "ok\n"));
    } else {
        const bool ready = m_isReady();
        respond(plainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }
}

void caller_service::handlePool(http_request request, http_responder respond)
{
    const std::string path = request.path;
    const std::optional<pool_path> found = splitPoolPath(path);
    if (!found || (found->operation != "requests" && found->operation != "tickets")) {
        respond(problemResponse(notFound, "unknown_path", "no resource has this path"));
    } else if (request.method != "POST") {
        respond(wrongMethod("POST"));
    } else if (found->operation == "requests") {
        m_requests.submit(found->pool, std::move(request), std::move(respond));
    } else {
        m_requests.issueTicket(found->pool, request, respond);
    }
}

void caller_service::handleRequest(const http_request &request, const http_responder &respond)
{
    const std::string_view id = std::string_view(request.path).substr(requestPrefix.size());
    if (request.method == "GET") {
        m_requests.query(id, respond);
    } else if (request.method == "DELETE") {
        m_requests.cancel(id, respond);
    } else {
        respond(wrongMethod("GET, DELETE"));
    }
}

} // namespace daisypass
