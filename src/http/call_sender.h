#pragma once

// A function that sends HTTP calls, either directly or through another node.

#include "http/http_client.h"

#include <functional>

namespace daisypass {

using call_sender = std::function<void(http_call, std::function<void(http_result)>)>;

/** Returns a sender that uses `client`, which must outlive it. */
inline call_sender directSender(http_client &client)
{
    return [&client](http_call call, std::function<void(http_result)> done) {
        client.send(std::move(call), std::move(done));
    };
}

} // namespace daisypass
