#pragma once

// Stand-in of a whole deployment on the platform: the store, the fleet service and the executors in one process, which watch
// the system's promises while it runs.
//
//     deployment_standin deployment(context, options);
//     failure reason;
//     if (!deployment.start(reason)) { ... }
//
// Besides the platform's calls it answers, on the store's port:
//     POST /admin/fault?kind=none|busy|silent|lost|slow&share=0.3&delay_ms=200      the store's state
//     POST /admin/forget                                                             drop the feeds' history
//     POST /admin/worker?id=ID&silent=1|0                                            an executor answers nothing
//     GET  /admin/report                                                             what was seen, as JSON

#include "standins/store_standin.h"
#include "standins/worker_standin.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisypass {

struct deployment_options
{
    endpoint listen;
    int poolCount = 2;
    int workersPerPool = 3;
    int spareVms = 2;
    int waveVms = 0;
    int maxAttempts = 3;
    std::uint64_t seed = 1;
    std::chrono::milliseconds moveTime{500};
};

class deployment_standin
{
public:
    deployment_standin(asio::io_context &context, deployment_options options);
    ~deployment_standin();

    bool start(failure &reason);
    std::uint16_t port() const;
    /** What was seen, as JSON: starts, ends, and promises broken, each with the task. */
    std::string report() const;

private:
    struct vm_state
    {
        std::string pool;
        std::string state;
        std::unique_ptr<worker_standin> worker;
        std::int64_t fence = 0;
        std::string fenceHolder;
        std::set<std::int64_t> maintained;
    };

    void handle(const http_request &request, const http_responder &respond);
    void admin(const http_request &request, const http_responder &respond);
    void listVms(const http_responder &respond);
    void changeVm(const http_request &request, const http_responder &respond, bool upkeep);
    bool bringUp(const std::string &vm, failure &reason);
    void writeConfiguration();
    void observe(const worker_event &what);
    void observeWrite(const store_row &row);
    void breach(const std::string &rule, const std::string &detail);

    asio::io_context &m_context;
    deployment_options m_options;
    store_standin m_store;
    std::unique_ptr<http_server> m_server;
    std::map<std::string, vm_state> m_vms;
    /** Workers that have left; calls to them may still be on their way. */
    std::vector<std::unique_ptr<worker_standin>> m_formerWorkers;
    int m_lives = 0;
    int m_starts = 0;
    int m_moves = 0;
    int m_upkeeps = 0;
    std::map<std::string, int> m_ends;
    std::map<std::string, std::string> m_runningOn;
    std::set<std::string> m_done;
    /** Status rows that have said that their wave is completed. */
    std::set<std::string> m_completedWaves;
    std::vector<std::string> m_breaches;
};

} // namespace daisypass
