#pragma once

// A way to send HTTP calls: directly, or through another node.

#include "http/http_client.h"

#include <functional>

namespace daisypass {

using call_sender = std::function<void(http_call, std::function<void(http_result)>)>;

/** Sends with the client, which must outlive the sender. */
inline call_sender directSender(http_client &client)
{
    return [&client](http_call call, std::function<void(http_result)> done) {
        client.send(std::move(call), std::move(done));
    };
}

} // namespace daisypass
