#pragma once

// Outcomes of this entry's requests that somebody may ask for again: those with an idempotency key or a ticket, and asynchronous ones.
//
//     outcome_table table({});
//     outcome_registration registered = table.add(number, "booking/zagreb/key-1");
//     table.finish(number, outcome, now);
//     std::optional<request_outcome> outcome = table.find(number);
//
// A record stays for `retention` after its end, so a key cannot start a second run within that time. The bound on bytes drops the oldest answers
// first and keeps their records, whose outcome then reads Expired; when the records alone fill the bound, add() refuses.
// Sharded by number and by key, one lock per shard; callbacks run outside the locks.

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

    /** `key` names pool, team and idempotency key; empty if there is none. A number must not be added again after it ended, except for a ticket's. */
    outcome_registration add(request_number number, std::string_view key);
    void setRunning(request_number number);
    /** Only the first call counts. */
    void finish(request_number number, const request_outcome &outcome, timestamp now);

    /** Frees the key of a record that ended as not run, so that it can be added with another number. The record stays. */
    void releaseKey(request_number number, std::string_view key);
    /** Makes a record that ended as not run pending again; false if it is not such a record. */
    bool restart(request_number number);

    /** Tells the waiters this outcome and drops the record and its key. */
    void finishAndRemove(request_number number, const request_outcome &outcome);

    std::optional<request_outcome> find(request_number number) const;
    std::optional<request_number> findKey(std::string_view key) const;
    /** Calls `callback` with the final outcome, at once if it is known. Returns false if there is no such record. */
    bool wait(request_number number, waiter callback);

    /** Call about once per second. */
    void removeExpired(timestamp now);
    std::size_t bytes() const;
    std::size_t size() const;
    /** All records, for the hand-over at a graceful stop. */
    std::vector<std::pair<request_number, request_outcome>> all() const;

private:
    struct record
    {
        std::string key;
        request_outcome outcome;
        std::vector<waiter> waiters;
        std::size_t bytes = 0;
        /** When it ended; a record that was restarted has an older entry in `finished` that no longer counts. */
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
        /** In the order of their ends. */
        std::deque<finished_record> finished;
        /** Ended records whose answers are still held, oldest first. */
        std::deque<request_number> recordsWithAnswer;
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
    void evictAnswers(number_shard &shard) const;
    static void removeRecord(number_shard &shard, request_number number);

    outcome_table_options m_options;
    std::array<number_shard, shardCount> m_shards;
    std::array<key_shard, shardCount> m_keyShards;
};

} // namespace daisypass
