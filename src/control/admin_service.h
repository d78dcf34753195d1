#pragma once

// Serves the administration API (section 2 of docs/OPERATIONS.md) over HTTP.
//
//     admin_service admin({settings.adminListen, settings.adminToken}, loop, configurations, metrics);
//     failure reason;
//     if (!admin.start(reason)) { ... }
//
// POST /admin/v1/apply, GET /admin/v1/status, /admin/v1/history, /admin/v1/files, /admin/v1/explain need the bearer token;
// /metrics, /healthz and /readyz do not. API requests and /readyz run one at a time on a worker thread; /metrics and /healthz do not
// wait for it.

#include "base/metrics.h"
#include "control/configuration_service.h"
#include "control/control_loop.h"
#include "http/http_server.h"

#include <cstdint>
#include <memory>
#include <string>

namespace daisypass {

struct admin_options
{
    endpoint listen;
    std::string token;
};

class admin_service
{
public:
    /** All references must outlive the service. */
    admin_service(admin_options options, const control_loop &loop, configuration_service &configurations, metrics_registry &metrics);
    ~admin_service();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    /** Answers the queued requests, then stops the server. Idempotent. */
    void stop();
    std::uint16_t port() const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
