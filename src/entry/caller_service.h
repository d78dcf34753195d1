#pragma once

// The HTTP interface for callers (docs/design.md, 3.6): checks path and method of each request and routes it to its operation.
//
//     caller_service service(requests, metrics, isReady);
//     http_server server(options, [&](http_request request, http_responder respond) {
//         service.handle(std::move(request), std::move(respond));
//     });

#include "base/metrics.h"
#include "entry/submissions.h"
#include "http/http_server.h"

#include <functional>

namespace daisypass {

class caller_service
{
public:
    caller_service(submissions &requests, const metrics_registry &metrics, std::function<bool()> isReady);

    void handle(http_request request, http_responder respond);

private:
    void handlePool(http_request request, http_responder respond);
    void handleRequest(const http_request &request, const http_responder &respond);

    submissions &m_requests;
    const metrics_registry &m_metrics;
    std::function<bool()> m_isReady;
};

} // namespace daisypass
