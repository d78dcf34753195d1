#pragma once

// The HTTP servers of a node: callers' requests and readiness; if an internal port is set, also metrics and requests of other nodes.
//
//     node_servers servers(settings, handlers, context);
//     failure reason;
//     if (!servers.start(reason)) { ... }

#include "base/failure.h"
#include "http/http_server.h"
#include "platform/node_settings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace daisypass {

struct node_handlers
{
    http_handler front;
    std::function<bool()> isReady;
    std::function<std::string()> renderMetrics;
    /** Handles requests of other nodes. */
    http_handler internal;
};

/** Address at which other nodes reach this one: the port after the internal port. */
endpoint internalAddress(const node_settings &settings);

class node_servers
{
public:
    /** Handlers run on the context's threads, which must be stopped before the servers are destroyed. */
    node_servers(const node_settings &settings, const node_handlers &handlers, asio::io_context &context);

    /** Fails with ListenFailed. */
    bool start(failure &reason);

private:
    bool m_hasInternalPort;
    http_server m_front;
    http_server m_ready;
    http_server m_metrics;
    http_server m_internal;
};

} // namespace daisypass
