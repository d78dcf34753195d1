#pragma once

// Stand-in for the platform: table service, object store and delayed VM list, with the HTTP interface of the design's section 3.9.
//
//     platform_standin platform(options);
//     failure reason;
//     if (platform.start(reason)) { std::uint16_t port = platform.port(); }
//
// Faults are set with POST /admin/faults (`outage`, `delay_ms`, `lose_answers`, `fail_next`). They apply to all calls except /admin.

#include "http/http_client.h"
#include "http/http_server.h"
#include "services/object_store.h"
#include "services/table_service.h"
#include "standins/standin_process.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace daisypass {

struct platform_options
{
    endpoint listen{"127.0.0.1", 0};
    /** Limits of rows written and of reads per clock second; calls above a limit are answered with 429. */
    int writesPerSecond = 300;
    int readsPerSecond = 2'000;
    /** Time until a change of the VM list is visible. */
    std::chrono::milliseconds listLag{2'000};
};

class platform_standin
{
public:
    explicit platform_standin(platform_options options);
    ~platform_standin();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    std::uint16_t port() const;

    /** Replaces the VM list. The first list is visible at once, later ones after `listLag`. */
    void setVms(nlohmann::json vms);

private:
    using clock = std::chrono::steady_clock;

    struct fault_state
    {
        bool outage = false;
        std::chrono::milliseconds delay{0};
        int answersToLose = 0;
        int callsToFail = 0;
    };

    struct statistics
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t refusals = 0;
        std::uint64_t peakWritesPerSecond = 0;
        std::uint64_t peakReadsPerSecond = 0;
    };

    struct vm_list_version
    {
        clock::time_point visibleAt;
        nlohmann::json vms;
    };

    void handle(const http_request &request, const http_responder &respond);
    http_response route(const http_request &request);
    http_response admin(const http_request &request);
    http_response commit(const http_request &request);
    http_response readRow(const http_request &request);
    http_response scanRows(const http_request &request);
    http_response object(const http_request &request);
    http_response listVms();
    http_response reboot(const http_request &request);
    void forwardReboot(const std::string &vm);

    bool consumeInjectedFailure();
    bool consumeLostAnswer();
    bool consumeQuota(int reads, int writes);
    void setFaults(const nlohmann::json &body);
    nlohmann::json stats();

    platform_options m_options;
    memory_table m_table;
    memory_objects m_objects;
    std::mutex m_lock;
    fault_state m_faults;
    statistics m_statistics;
    std::int64_t m_quotaSecond = 0;
    int m_readsInSecond = 0;
    int m_writesInSecond = 0;
    std::deque<vm_list_version> m_lists;
    // VM by operation id; the order of the operations is kept separately for /admin/stats.
    std::map<std::string, std::string> m_reboots;
    std::vector<std::string> m_rebootOrder;
    http_client m_client;
    http_server m_server;
    // Declared after the server so that it is destroyed first: delayed answers hold connections that must end before the server's context.
    timer_thread m_timers;
};

} // namespace daisypass
