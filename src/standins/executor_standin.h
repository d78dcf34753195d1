#pragma once

// Stand-in of an executor on the platform: runs tasks under a lease, rejects calls with an older fencing token, reports ended runs
// until they are acknowledged, and registers itself in the store's stand-in.
//
// A task's payload sets its behaviour: "ms=500" runs for 500 ms, "ms=500 fail" fails at the end, and "lasts" runs until
// it is stopped or its lease expires.

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

/** The start or the end of a run, as reported to the observer. */
struct executor_event
{
    enum class kind { Started, Ended };

    kind type = kind::Started;
    std::string executor;
    std::string task;
    int run = 0;
    /** Of an ended run: done, failed, stopped or lapsed (its lease has expired). Empty for a start. */
    std::string result;
};

struct executor_options
{
    std::string id;
    std::string pool;
    std::string vm;
    std::string rack;
    sched::resources capacity{32'000, 65'536, 0};
    std::chrono::milliseconds maxLease{6'000};
    std::chrono::milliseconds heartbeatInterval{1'500};
};

class executor_standin
{
public:
    executor_standin(asio::io_context &context, store_standin &store, executor_options options, std::function<void(const executor_event &)> observe);
    ~executor_standin();

    /** Listens on a free port of 127.0.0.1 and registers. Fails with ListenFailed. */
    bool start(failure &reason);
    /** Stops all runs, removes the executor's entry from the store and closes the server. */
    void leave();
    void setDraining();
    /** While set, the executor answers no call; its runs continue. */
    void setSilent(bool silent)
    {
        m_silent = silent;
    }
    std::size_t running() const
    {
        return m_runs.size();
    }
    const executor_options &options() const
    {
        return m_options;
    }

private:
    struct run_state
    {
        int run = 0;
        std::int64_t startedAtMs = 0;
        std::int64_t durationMs = 0;
        bool fails = false;
        bool isLongRunning = false;
        std::shared_ptr<asio::steady_timer> timer;
    };

    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string result;
    };

    struct pending_poll
    {
        http_responder respond;
        std::shared_ptr<asio::steady_timer> timer;
    };

    void handle(const http_request &request, const http_responder &respond);
    void startRun(const wire::json &body, const http_responder &respond);
    void stopRun(const wire::json &body, const http_responder &respond);
    void poll(const wire::json &body, const http_responder &respond);
    void answerPoll(const http_responder &respond);
    void endRun(const std::string &task, const std::string &result);
    bool hasStaleToken(const wire::json &body);
    void extendLease(const wire::json &body);
    void expireLease();
    void writeEntry();
    void sendHeartbeat();
    std::int64_t clockMs() const;
    wire::json baseReply() const;

    asio::io_context &m_context;
    store_standin &m_store;
    executor_options m_options;
    std::function<void(const executor_event &)> m_observe;
    std::unique_ptr<http_server> m_server;
    std::chrono::steady_clock::time_point m_startedAt;
    std::int64_t m_startedUnixMs = 0;
    std::int64_t m_fencingToken = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_lastEnd = 0;
    bool m_draining = false;
    bool m_silent = false;
    bool m_left = false;
    std::map<std::string, run_state> m_runs;
    /** Highest run number of each task that was stopped or has ended here; starts up to it are refused. */
    std::map<std::string, int> m_refusedUpTo;
    std::vector<ended_run> m_ends;
    std::vector<std::shared_ptr<pending_poll>> m_polls;
    asio::steady_timer m_leaseTimer;
    asio::steady_timer m_heartbeatTimer;
};

} // namespace daisypass
