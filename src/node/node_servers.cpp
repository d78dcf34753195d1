#include "node/node_servers.h"

#include "http/http_answers.h"
#include "node/client_limits.h"

#include <cstddef>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds callerReadTimeout{20'000};
// A relay exchange can contain some hundred orders of a few kilobytes each.
constexpr std::size_t maxExchangeBytes = 8 << 20;
// Connections of one server above the limit for all servers, so that a new one is accepted before an old one is closed for it.
constexpr int spareConnections = 16;

http_server_options optionsAt(endpoint listen, const node_settings &settings)
{
    http_server_options options;
    options.listen = std::move(listen);
    options.maxConnections = clientLimits(settings).connections + spareConnections;
    return options;
}

http_server_options frontOptions(const node_settings &settings)
{
    http_server_options options = optionsAt(settings.front, settings);
    options.readTimeout = callerReadTimeout;
    return options;
}

http_server_options readyOptions(const node_settings &settings)
{
    return optionsAt(settings.ready, settings);
}

http_server_options metricsOptions(const node_settings &settings)
{
    return optionsAt({settings.front.address, settings.internalPort}, settings);
}

http_server_options internalOptions(const node_settings &settings)
{
    http_server_options options = optionsAt(internalAddress(settings), settings);
    options.maxBodyBytes = maxExchangeBytes;
    return options;
}

http_handler readyHandler(std::function<bool()> isReady)
{
    return [isReady = std::move(isReady)](const http_request &, const http_responder &respond) {
        http_response response;
        response.status = isReady() ? statusOk : statusUnavailable;
        respond(std::move(response));
    };
}

http_handler metricsHandler(std::function<std::string()> render)
{
    return [render = std::move(render)](const http_request &, const http_responder &respond) {
        http_response response;
        response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        response.body = render();
        respond(std::move(response));
    };
}

} // namespace

endpoint internalAddress(const node_settings &settings)
{
    return {settings.front.address, static_cast<std::uint16_t>(settings.internalPort + 1)};
}

node_servers::node_servers(const node_settings &settings, const node_handlers &handlers, asio::io_context &context)
    : m_hasInternalPort(settings.internalPort != 0)
    , m_front(frontOptions(settings), handlers.front, context)
    , m_ready(readyOptions(settings), readyHandler(handlers.isReady), context)
    , m_metrics(metricsOptions(settings), metricsHandler(handlers.renderMetrics), context)
    , m_internal(internalOptions(settings), handlers.internal, context)
{
}

bool node_servers::start(failure &reason)
{
    if (!m_front.start(reason) || !m_ready.start(reason)) {
        return false;
    }
    return !m_hasInternalPort || (m_metrics.start(reason) && m_internal.start(reason));
}

} // namespace daisypass
