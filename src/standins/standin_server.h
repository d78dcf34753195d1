#pragma once

// The HTTP server of a stand-in that runs on a context it shares with others.

#include "base/failure.h"
#include "http/http_server.h"

#include <asio/io_context.hpp>

#include <memory>
#include <utility>

namespace daisypass {

/** Null and ListenFailed if the server can't listen there. */
inline std::unique_ptr<http_server> startServer(const endpoint &listen, asio::io_context &context, failure &reason, http_handler handler)
{
    http_server_options options;
    options.listen = listen;
    std::unique_ptr<http_server> server = std::make_unique<http_server>(options, std::move(handler), context);
    return server->start(reason) ? std::move(server) : nullptr;
}

} // namespace daisypass
