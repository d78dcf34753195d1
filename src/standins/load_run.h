#pragma once

// Open-loop load generator: requests arrive as the demand model says, independently of the answers. Every attempt is reported for the
// outcome checker.
//
//     load_run run(options);
//     run.start();
//     run.wait();                                     // returns after the last answer
//     std::vector<load_sample> samples = run.takeSamples();
//
// Requests use the caller interface of an entry (the design's section 3.6), or with `direct` the target protocol, as the baseline for latency.

#include "http/http_client.h"
#include "standins/demand.h"
#include "standins/outcome_checker.h"
#include "standins/standin_process.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace daisypass {

struct load_pool
{
    std::string name;
    /** Whether the pool's at_most_once_mode is Ticket: a request with a key then uses a ticket, fetched from the entry, as its key. */
    bool tickets = false;
    /** Teams that may use the pool; never empty. */
    std::vector<std::string> teams;
};

struct load_options
{
    std::vector<endpoint> entries;
    bool direct = false;
    std::vector<load_pool> pools;
    demand_options demand;
    duration length = std::chrono::seconds(10);
    std::uint64_t seed = 1;
    std::chrono::milliseconds shortRun{5};
    std::chrono::milliseconds longRun{500};
    double longShare = 0.01;
    /** Share of requests with an idempotency key. */
    double keyedShare = 0.1;
    /** Share of the requests without a key that are repeatable. */
    double repeatableShare = 0.3;
    std::chrono::milliseconds deadline{5'000};
    /** Total attempts for a key whose outcome is unknown, each through another entry. */
    int attempts = 4;
    std::chrono::milliseconds resubmitDelay{500};
    int clientThreads = 2;
};

struct load_sample
{
    submission_report report;
    std::string requestClass;
    /** From the time of the planned arrival to the answer. */
    duration latency{};
};

class load_run
{
public:
    explicit load_run(load_options options);
    ~load_run();

    void start();
    void wait();
    std::vector<load_sample> takeSamples();

private:
    struct attempt
    {
        load_sample sample;
        std::size_t pool = 0;
        std::size_t entry = 0;
        std::chrono::milliseconds run{0};
        timestamp plannedAt{};
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    void scheduleNext(std::size_t pool, duration after);
    attempt_ptr createAttempt(std::size_t pool, timestamp plannedAt);
    void submit(const attempt_ptr &current);
    void fetchTicket(const attempt_ptr &current);
    void send(const attempt_ptr &current);
    void sendDirect(const attempt_ptr &current);
    void finish(const attempt_ptr &current);
    void resubmit(const attempt &last);
    void releasePending();

    load_options m_options;
    std::string m_tokenPrefix;
    timestamp m_startedAt{};
    // Used by the timer thread only.
    std::mt19937_64 m_random;
    std::uint64_t m_requestCount = 0;

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::size_t m_pending = 0;
    std::vector<load_sample> m_samples;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<timer_thread> m_timers;
};

/** Writes the outcome that an entry's answer states, with its reason and id, into the report. */
void readOutcome(const http_result &result, submission_report &report);

} // namespace daisypass
