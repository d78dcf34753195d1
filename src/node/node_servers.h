#pragma once

// The HTTP servers of a node: the callers' front, readiness, and for an internal port the metrics and the other nodes' server.
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
    /** Requests of other nodes. */
    http_handler internal;
};

/** Where other nodes reach this one. */
endpoint internalAddress(const node_settings &settings);

class node_servers
{
public:
    /** Runs on the context's threads, which must have stopped before the servers are destroyed. */
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
