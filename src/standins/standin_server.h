#pragma once

// Starts the HTTP server of a stand-in on an io_context that it shares with other stand-ins.

#include "base/failure.h"
#include "http/http_server.h"

#include <asio/io_context.hpp>

#include <memory>
#include <utility>

namespace daisypass {

/** Returns null, with ListenFailed in `reason`, if the server can't listen on the endpoint. */
inline std::unique_ptr<http_server> startServer(const endpoint &listen, asio::io_context &context, failure &reason, http_handler handler)
{
    http_server_options options;
    options.listen = listen;
    std::unique_ptr<http_server> server = std::make_unique<http_server>(options, std::move(handler), context);
    return server->start(reason) ? std::move(server) : nullptr;
}

} // namespace daisypass
