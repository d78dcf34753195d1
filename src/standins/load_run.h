#pragma once

// An open-loop load: arrivals follow the demand whatever the answers do, and every attempt is reported for the outcome checker.
//
//     load_run run(options);
//     run.start();
//     run.wait();                                     // until the last answer
//     std::vector<load_sample> samples = run.takeSamples();
//
// With an entry the caller interface of the design's section 3.6 is spoken; with `direct` the target protocol, as the baseline for latency.

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
    /** Keys of a pool with tickets are fetched from the entry first. */
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
    /** Attempts in all for a key whose outcome is unknown, each through another entry. */
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
        timestamp planned{};
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    void scheduleNext(std::size_t pool, duration after);
    attempt_ptr draw(std::size_t pool, timestamp planned);
    void submit(const attempt_ptr &current);
    void fetchTicket(const attempt_ptr &current);
    void send(const attempt_ptr &current);
    void sendDirect(const attempt_ptr &current);
    void finish(const attempt_ptr &current);
    void resubmit(const attempt &last);
    void close();

    load_options m_options;
    std::string m_name;
    timestamp m_begin{};
    // Touched by the timer thread only.
    std::mt19937_64 m_random;
    std::uint64_t m_drawn = 0;

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::size_t m_open = 0;
    std::vector<load_sample> m_samples;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<timer_thread> m_timers;
};

/** The outcome that an answer of an entry states. */
void readOutcome(const http_result &result, submission_report &report);

} // namespace daisypass
