#pragma once

// Stand-in of a whole deployment on the platform: the store, the fleet service and the executors in one process. It checks the
// system's guarantees while the system runs, and reports each violation.
//
//     deployment_standin deployment(context, options);
//     failure reason;
//     if (!deployment.start(reason)) { ... }
//
// Besides the platform's calls it answers, on the store's port:
//     POST /admin/fault?kind=none|busy|silent|lost|slow&share=0.3&delay_ms=200      injects a store fault
//     POST /admin/forget                                                             drops the history of the change feeds
//     POST /admin/worker?id=ID&silent=1|0                                            stops or resumes an executor's answers
//     GET  /admin/report                                                             counts and violations, as JSON

#include "standins/executor_standin.h"
#include "standins/store_standin.h"

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
    int executorsPerPool = 3;
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
    /** Counts of starts, ends, moves and maintenance orders, and the violated guarantees, as JSON. */
    std::string report() const;

private:
    struct vm_state
    {
        std::string pool;
        std::string state;
        std::unique_ptr<executor_standin> executor;
        std::int64_t fencingToken = 0;
        std::string tokenHolder;
        std::set<std::int64_t> maintained;
    };

    void handle(const http_request &request, const http_responder &respond);
    void admin(const http_request &request, const http_responder &respond);
    void listVms(const http_responder &respond);
    void changeVm(const http_request &request, const http_responder &respond, bool isMaintenance);
    bool bringUp(const std::string &vm, failure &reason);
    void writeConfiguration();
    void observe(const executor_event &event);
    void observeWrite(const store_row &row);
    void recordBreach(const std::string &rule, const std::string &detail);

    asio::io_context &m_context;
    deployment_options m_options;
    store_standin m_store;
    std::unique_ptr<http_server> m_server;
    std::map<std::string, vm_state> m_vms;
    /** Executors that have left; kept because calls to them may still be in flight. */
    std::vector<std::unique_ptr<executor_standin>> m_formerExecutors;
    int m_executorCount = 0;
    int m_starts = 0;
    int m_moves = 0;
    int m_maintenances = 0;
    std::map<std::string, int> m_ends;
    std::map<std::string, std::string> m_runningOn;
    std::set<std::string> m_completedTasks;
    /** Keys of the status rows that have reported their wave as completed. */
    std::set<std::string> m_completedWaves;
    std::vector<std::string> m_breaches;
};

} // namespace daisypass
