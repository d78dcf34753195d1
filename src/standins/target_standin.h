#pragma once

// Stand-in target: runs requests in a fixed number of slots and records every run.
//
//     target_standin target(options, timers, recordFile);
//     failure reason;
//     if (target.start(reason)) { std::uint16_t port = target.port(); }
//
// POST on any path outside /admin runs for the time in the header `X-Run-Ms` and answers with the request's body.
// When all slots are taken, the target refuses with 503 and `Daisypass-Not-Run: busy`, and records nothing.
//
//     GET  /status             {"in_flight": n}
//     POST /admin/behaviour    {"mode": "normal|fail|slow|truncate|wrong_id|close", "slow_ms": n, "leaving": bool}
//     POST /admin/reboot       cuts off all runs, closes new calls unanswered for the reboot time, then serves again
//     GET  /admin/executions   one line per run, see execution_record.h
//     GET  /admin/stats        {"executions", "in_flight", "most_in_flight", "refused", "reboots", "cut_off", "arrived_after_leaving"}

#include "http/http_server.h"
#include "standins/execution_record.h"
#include "standins/standin_process.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace daisypass {

struct target_options
{
    endpoint listen{"127.0.0.1", 0};
    int slots = 8;
    int connections = 64;
    std::chrono::milliseconds defaultRun{5};
    std::chrono::milliseconds rebootTime{500};
};

/** Appends lines to a file and flushes each, so that the runs of a killed process are on record; shared by the targets of a process. */
class execution_file
{
public:
    explicit execution_file(const std::string &path);

    void append(const std::string &line);

private:
    std::mutex m_lock;
    std::ofstream m_output;
};

class target_standin
{
public:
    /** `recordFile` may be null. */
    target_standin(target_options options, std::shared_ptr<timer_thread> timers, std::shared_ptr<execution_file> recordFile);
    ~target_standin();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    void stop();
    std::uint16_t port() const;

private:
    enum class behaviour_mode {
        Normal,
        Fail,
        Slow,
        Truncate,
        WrongId,
        Close,
    };

    struct statistics
    {
        int peakInFlight = 0;
        std::uint64_t refused = 0;
        std::uint64_t reboots = 0;
        std::uint64_t cutOff = 0;
        std::uint64_t arrivedAfterLeaving = 0;
    };

    struct running_request
    {
        http_responder respond;
        http_request request;
        behaviour_mode mode = behaviour_mode::Normal;
    };

    void handle(http_request request, const http_responder &respond);
    void run(http_request request, const http_responder &respond);
    /** Records the start of a run and returns the index of its record, or nothing if no slot is free. */
    std::optional<std::size_t> startRun(http_request request, const http_responder &respond, behaviour_mode &mode);
    void finish(std::size_t index);
    http_response admin(const http_request &request);
    void setBehaviour(const nlohmann::json &body);
    void reboot();
    bool isRebooting();
    std::size_t inFlight();
    std::string executions();
    nlohmann::json stats();
    std::chrono::milliseconds runTime(const http_request &request) const;
    void writeRecord(const execution_record &record);

    target_options m_options;
    std::shared_ptr<timer_thread> m_timers;
    std::shared_ptr<execution_file> m_recordFile;
    std::string m_name;
    std::mutex m_lock;
    behaviour_mode m_mode = behaviour_mode::Normal;
    std::atomic<std::chrono::milliseconds> m_slowTime{std::chrono::milliseconds(1'000)};
    bool m_isLeaving = false;
    std::chrono::steady_clock::time_point m_leavingSince;
    bool m_isRebooting = false;
    statistics m_statistics;
    std::vector<execution_record> m_records;
    // Runs in progress, by the index of their record.
    std::map<std::size_t, running_request> m_running;
    http_server m_server;
};

} // namespace daisypass
