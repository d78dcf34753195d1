#pragma once

// Executes the actions of claim_logic: one thread makes the blocking calls to the table service, and results are passed to callbacks.
//
//     claim_writer writer(table, incarnation, seed);
//     writer.start();
//     writer.submit(claim, [](claim_result result) { ... });
//
// Callbacks run without the lock, on the writer's thread or on a thread that calls cancel() or tick().

#include "entry/claim_logic.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace daisypass {

/** claim_won, claim_duplicate or claim_refused. */
using claim_result = std::variant<claim_won, claim_duplicate, claim_refused>;

class claim_writer
{
public:
    using callback = std::function<void(claim_result)>;

    claim_writer(table_service table, incarnation_number incarnation, std::uint64_t seed);
    ~claim_writer();

    void start();
    /** Waits for the call in progress to end. The callbacks of claims that are not settled by then never run. */
    void stop();

    void submit(claim newClaim, callback done);
    /** False if the claim is settled already, so its callback has run or will run. Otherwise the callback does not run. */
    bool cancel(request_number number);
    /** Checks deadlines and starts retries whose backoff has passed; call about every 10 ms. */
    void tick();

    std::size_t waiting() const;
    /** CPU time of the writer's thread. */
    std::chrono::microseconds processorTime();

private:
    using store_task = std::variant<write_claims, read_claims>;

    void run();
    claim_event perform(const store_task &task);
    void handle(const claim_event &event);

    table_service m_table;
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    claim_logic m_logic;
    std::mt19937_64 m_random;
    std::map<request_number, callback> m_callbacks;
    std::deque<store_task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace daisypass
