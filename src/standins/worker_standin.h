#pragma once

// Stand-in of an executor on the platform: runs tasks for a time under a lease, guards its fencing token, lists ends until
// they are acknowledged, and registers itself in the store's stand-in.
//
// A task's payload says how it behaves: "ms=500" works for 500 ms, "ms=500 fail" fails at the end.

#include "http/http_server.h"
#include "platform/wire_json.h"
#include "sched/model.h"
#include "standins/store_standin.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisypass {

/** What a run's observer is told. */
struct worker_event
{
    enum class kind { Started, Ended };

    kind what = kind::Started;
    std::string executor;
    std::string task;
    int run = 0;
    /** For ends: done, failed, stopped or lapsed. */
    std::string how;
};

struct worker_options
{
    std::string id;
    std::string pool;
    std::string vm;
    std::string rack;
    sched::resources capacity{32'000, 65'536, 0};
    std::chrono::milliseconds maxLease{6'000};
    std::chrono::milliseconds heartbeat{1'500};
};

class worker_standin
{
public:
    worker_standin(asio::io_context &context, store_standin &store, worker_options options, std::function<void(const worker_event &)> observe);
    ~worker_standin();

    /** Listens on a free port of 127.0.0.1 and registers. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Ends everything that runs and removes the entry. */
    void leave();
    void setDraining();
    /** Answers nothing while set; runs go on. */
    void setSilent(bool silent)
    {
        m_silent = silent;
    }
    std::size_t running() const
    {
        return m_runs.size();
    }
    const worker_options &options() const
    {
        return m_options;
    }

private:
    struct run_state
    {
        int run = 0;
        std::int64_t startedAt = 0;
        std::int64_t takesMs = 0;
        bool fails = false;
        bool lasts = false;
        std::shared_ptr<asio::steady_timer> timer;
    };

    struct end_row
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    struct waiting_hold
    {
        http_responder respond;
        std::shared_ptr<asio::steady_timer> timer;
    };

    void handle(const http_request &request, const http_responder &respond);
    void startRun(const wire::json &body, const http_responder &respond);
    void stopRun(const wire::json &body, const http_responder &respond);
    void hold(const wire::json &body, const http_responder &respond);
    void answerHold(const http_responder &respond);
    void endRun(const std::string &task, const std::string &how);
    bool fenced(const wire::json &body);
    void extendLease(const wire::json &body);
    void lapse();
    void writeEntry();
    void beat();
    std::int64_t clockMs() const;
    wire::json reply() const;

    asio::io_context &m_context;
    store_standin &m_store;
    worker_options m_options;
    std::function<void(const worker_event &)> m_observe;
    std::unique_ptr<http_server> m_server;
    std::chrono::steady_clock::time_point m_began;
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_lastEnd = 0;
    bool m_draining = false;
    bool m_silent = false;
    bool m_left = false;
    std::map<std::string, run_state> m_runs;
    /** Highest run of a task that was stopped or has ended here. */
    std::map<std::string, int> m_refusedUpTo;
    std::vector<end_row> m_ends;
    std::vector<std::shared_ptr<waiting_hold>> m_holds;
    asio::steady_timer m_leaseTimer;
    asio::steady_timer m_beatTimer;
};

} // namespace daisypass
