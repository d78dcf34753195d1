#pragma once

// Outcomes of this entry's requests that can be queried later: those with an idempotency key or a ticket, and asynchronous ones.
//
//     outcome_table table({});
//     outcome_registration registered = table.add(number, "booking/zagreb/key-1");
//     table.finish(number, outcome, now);
//     std::optional<request_outcome> outcome = table.find(number);
//
// A record is kept for `retention` after its request ended, so a key cannot start a second run within that time. When the table exceeds `maxBytes`, the
// oldest responses are evicted; their records remain with the outcome Expired. When the records alone reach `maxBytes`, add() returns Full.
// Sharded by number and by key, one lock per shard; callbacks run outside the locks. `maxBytes` is divided evenly between the shards by number.

#include "base/time.h"
#include "entry/request_outcome.h"
#include "kernel/request.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisypass {

struct outcome_table_options
{
    duration retention = std::chrono::minutes(15);
    std::size_t maxBytes = std::size_t{64} << 20;
};

enum class registration_result {
    Added,
    /** The key belongs to `existing`, which can be the same number. */
    Duplicate,
    /** The number belongs to another key. */
    NumberTaken,
    Full,
};

struct outcome_registration
{
    registration_result result = registration_result::Added;
    request_number existing = 0;
};

class outcome_table
{
public:
    using waiter = std::function<void(request_outcome)>;

    explicit outcome_table(outcome_table_options options);

    /** `key` consists of pool, team and idempotency key; empty without an idempotency key. A request number must not be added again after its request ended,
     * unless it is a ticket's. */
    outcome_registration add(request_number number, std::string_view key);
    void setRunning(request_number number);
    /** Sets the final outcome and calls the waiters. Ignored if the request already has a final outcome. */
    void finish(request_number number, const request_outcome &outcome, timestamp now);

    /** Releases the key of a record that ended as not run, so that the key can be added with another number. The record remains. */
    void releaseKey(request_number number, std::string_view key);
    /** Sets a record that ended as not run back to Pending; false if there is no such record. */
    bool restart(request_number number);

    /** Removes an unfinished record and its key and calls its waiters with this outcome. */
    void finishAndRemove(request_number number, const request_outcome &outcome);

    std::optional<request_outcome> find(request_number number) const;
    std::optional<request_number> findKey(std::string_view key) const;
    /** Calls `callback` with the final outcome, immediately if it is known. Returns false if there is no such record. */
    bool wait(request_number number, waiter callback);

    /** Removes the records whose retention has passed; call about once per second. */
    void removeExpired(timestamp now);
    std::size_t bytes() const;
    std::size_t size() const;
    /** All records, to be saved at a graceful shutdown. */
    std::vector<std::pair<request_number, request_outcome>> all() const;

private:
    struct record
    {
        std::string key;
        request_outcome outcome;
        std::vector<waiter> waiters;
        std::size_t bytes = 0;
        /** When the request ended. An entry of `finished` with another time is stale: the record was restarted since. */
        timestamp endedAt{};
    };
    struct finished_record
    {
        request_number number = 0;
        timestamp at{};
    };
    struct number_shard
    {
        mutable std::mutex lock;
        std::unordered_map<request_number, record> records;
        /** Ended requests in the order of their ends. */
        std::deque<finished_record> finished;
        /** Ended requests whose responses are in memory, oldest first. */
        std::deque<request_number> recordsWithResponse;
        std::size_t bytes = 0;
    };
    struct key_shard
    {
        mutable std::mutex lock;
        std::unordered_map<std::string, request_number> numbers;
    };

    static constexpr std::size_t shardCount = 16;

    number_shard &shardOf(request_number number);
    const number_shard &shardOf(request_number number) const;
    key_shard &shardOfKey(std::string_view key);
    const key_shard &shardOfKey(std::string_view key) const;
    void evictResponses(number_shard &shard) const;
    static void removeRecord(number_shard &shard, request_number number);
    /** Removes the key if it still belongs to the request. */
    void removeKey(std::string_view key, request_number number);

    outcome_table_options m_options;
    std::array<number_shard, shardCount> m_shards;
    std::array<key_shard, shardCount> m_keyShards;
};

} // namespace daisypass
