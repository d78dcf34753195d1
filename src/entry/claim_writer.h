#pragma once

// Runs claim_logic against the table service: one thread does the blocking calls, the results come back through callbacks.
//
//     claim_writer writer(table, incarnation, seed);
//     writer.start();
//     writer.submit(claim, [](claim_result result) { ... });
//
// Callbacks run on the writer's thread or on the one that calls tick(), outside the lock.

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
    /** Waits for a store call in progress. Claims that are not settled by then are never reported. */
    void stop();

    void submit(claim newClaim, callback done);
    /** False if the claim was settled already, so that its callback has run or will run. */
    bool cancel(request_number number);
    /** Deadlines and back-off; call about every 10 ms. */
    void tick();

    std::size_t waiting() const;
    /** Processor time of the writer's thread. */
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
