#include "entry/outcome_table.h"

#include <algorithm>

namespace daisypass {
namespace {

// Memory that a record takes in the maps and queues, in addition to its strings.
constexpr std::size_t recordOverhead = 384;

std::size_t responseBytes(const request_outcome &outcome)
{
    std::size_t bytes = outcome.response.body.size();
    for (const http_header &header : outcome.response.headers) {
        bytes += header.name.size() + header.value.size() + sizeof(http_header);
    }
    return bytes;
}

} // namespace

outcome_table::outcome_table(outcome_table_options options)
    : m_options(options)
{
}

outcome_table::number_shard &outcome_table::shardOf(request_number number)
{
    return m_shards[number % shardCount];
}

const outcome_table::number_shard &outcome_table::shardOf(request_number number) const
{
    return m_shards[number % shardCount];
}

outcome_table::key_shard &outcome_table::shardOfKey(std::string_view key)
{
    return m_keyShards[std::hash<std::string_view>{}(key) % shardCount];
}

const outcome_table::key_shard &outcome_table::shardOfKey(std::string_view key) const
{
    return m_keyShards[std::hash<std::string_view>{}(key) % shardCount];
}

outcome_registration outcome_table::add(request_number number, std::string_view key)
{
    number_shard &shard = shardOf(number);
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto known = shard.records.find(number);
        if (known != shard.records.end()) {
            return {known->second.key == key ? registration_result::Duplicate : registration_result::NumberTaken, number};
        }
        const std::size_t bytes = recordOverhead + 2 * key.size();
        const std::size_t limit = m_options.maxBytes / shardCount;
        if (shard.bytes + bytes > limit) {
            evictResponses(shard);
        }
        if (shard.bytes + bytes > limit) {
            return {registration_result::Full, 0};
        }
        record added;
        added.key = std::string(key);
        added.outcome.fate = request_fate::Pending;
        added.bytes = bytes;
        shard.bytes += bytes;
        shard.records.emplace(number, std::move(added));
    }
    if (key.empty()) {
        return {};
    }
    // The record is added before its key, so a duplicate that finds the key also finds the record.
    request_number existing = 0;
    {
        key_shard &keys = shardOfKey(key);
        const std::lock_guard<std::mutex> guard(keys.lock);
        const auto inserted = keys.numbers.try_emplace(std::string(key), number);
        if (inserted.second) {
            return {};
        }
        existing = inserted.first->second;
    }
    const std::lock_guard<std::mutex> guard(shard.lock);
    removeRecord(shard, number);
    return {registration_result::Duplicate, existing};
}

void outcome_table::setRunning(request_number number)
{
    number_shard &shard = shardOf(number);
    const std::lock_guard<std::mutex> guard(shard.lock);
    const auto found = shard.records.find(number);
    if (found != shard.records.end() && !found->second.outcome.isFinal()) {
        found->second.outcome.fate = request_fate::Running;
    }
}

void outcome_table::finish(request_number number, const request_outcome &outcome, timestamp now)
{
    std::vector<waiter> waiters;
    {
        number_shard &shard = shardOf(number);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.records.find(number);
        if (found == shard.records.end() || found->second.outcome.isFinal()) {
            return;
        }
        record &ending = found->second;
        const std::size_t bytes = responseBytes(outcome);
        ending.bytes += bytes;
        shard.bytes += bytes;
        waiters.swap(ending.waiters);
        ending.outcome = outcome;
        ending.endedAt = now;
        shard.finished.push_back({number, now});
        if (bytes > 0) {
            shard.recordsWithResponse.push_back(number);
        }
        evictResponses(shard);
    }
    for (const waiter &callback : waiters) {
        callback(outcome);
    }
}

void outcome_table::releaseKey(request_number number, std::string_view key)
{
    {
        number_shard &shard = shardOf(number);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.records.find(number);
        if (found != shard.records.end()) {
            if (found->second.outcome.fate != request_fate::NotRun) {
                return;
            }
            found->second.key.clear();
        }
    }
    removeKey(key, number);
}

// The key may have been released and taken by another request since.
void outcome_table::removeKey(std::string_view key, request_number number)
{
    key_shard &keys = shardOfKey(key);
    const std::lock_guard<std::mutex> guard(keys.lock);
    const auto mapped = keys.numbers.find(std::string(key));
    if (mapped != keys.numbers.end() && mapped->second == number) {
        keys.numbers.erase(mapped);
    }
}

bool outcome_table::restart(request_number number)
{
    number_shard &shard = shardOf(number);
    const std::lock_guard<std::mutex> guard(shard.lock);
    const auto found = shard.records.find(number);
    if (found == shard.records.end() || found->second.outcome.fate != request_fate::NotRun) {
        return false;
    }
    found->second.outcome = request_outcome{request_fate::Pending, {}, {}, {}, {}};
    return true;
}

void outcome_table::finishAndRemove(request_number number, const request_outcome &outcome)
{
    std::vector<waiter> waiters;
    std::string key;
    {
        number_shard &shard = shardOf(number);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.records.find(number);
        if (found == shard.records.end() || found->second.outcome.isFinal()) {
            return;
        }
        waiters.swap(found->second.waiters);
        key = found->second.key;
        removeRecord(shard, number);
    }
    if (!key.empty()) {
        removeKey(key, number);
    }
    for (const waiter &callback : waiters) {
        callback(outcome);
    }
}

std::optional<request_outcome> outcome_table::find(request_number number) const
{
    const number_shard &shard = shardOf(number);
    const std::lock_guard<std::mutex> guard(shard.lock);
    const auto found = shard.records.find(number);
    return found == shard.records.end() ? std::nullopt : std::optional<request_outcome>(found->second.outcome);
}

std::optional<request_number> outcome_table::findKey(std::string_view key) const
{
    const key_shard &keys = shardOfKey(key);
    const std::lock_guard<std::mutex> guard(keys.lock);
    const auto found = keys.numbers.find(std::string(key));
    return found == keys.numbers.end() ? std::nullopt : std::optional<request_number>(found->second);
}

bool outcome_table::wait(request_number number, waiter callback)
{
    request_outcome known;
    {
        number_shard &shard = shardOf(number);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.records.find(number);
        if (found == shard.records.end()) {
            return false;
        }
        if (!found->second.outcome.isFinal()) {
            found->second.waiters.push_back(std::move(callback));
            return true;
        }
        known = found->second.outcome;
    }
    callback(std::move(known));
    return true;
}

// Evicts the oldest responses until the shard is within its limit. Their records remain, so that their keys cannot start a second run.
void outcome_table::evictResponses(number_shard &shard) const
{
    const std::size_t limit = m_options.maxBytes / shardCount;
    while (shard.bytes > limit && !shard.recordsWithResponse.empty()) {
        const auto found = shard.records.find(shard.recordsWithResponse.front());
        shard.recordsWithResponse.pop_front();
        if (found == shard.records.end()) {
            continue;
        }
        record &oldest = found->second;
        const std::size_t bytes = responseBytes(oldest.outcome);
        oldest.outcome = request_outcome{request_fate::Expired, "answer_dropped", "the bound on held answers was reached", {}, {}};
        oldest.bytes -= bytes;
        shard.bytes -= bytes;
    }
}

void outcome_table::removeRecord(number_shard &shard, request_number number)
{
    const auto found = shard.records.find(number);
    if (found != shard.records.end()) {
        shard.bytes -= found->second.bytes;
        shard.records.erase(found);
    }
}

void outcome_table::removeExpired(timestamp now)
{
    for (number_shard &shard : m_shards) {
        std::vector<std::pair<std::string, request_number>> keys;
        {
            const std::lock_guard<std::mutex> guard(shard.lock);
            while (!shard.finished.empty() && shard.finished.front().at + m_options.retention <= now) {
                const finished_record oldest = shard.finished.front();
                const request_number number = oldest.number;
                shard.finished.pop_front();
                const auto found = shard.records.find(number);
                if (found != shard.records.end() && (found->second.endedAt != oldest.at || !found->second.outcome.isFinal())) {
                    continue;
                }
                if (found != shard.records.end() && !found->second.key.empty()) {
                    keys.emplace_back(found->second.key, number);
                }
                removeRecord(shard, number);
                if (!shard.recordsWithResponse.empty() && shard.recordsWithResponse.front() == number) {
                    shard.recordsWithResponse.pop_front();
                }
            }
        }
        for (const std::pair<std::string, request_number> &key : keys) {
            removeKey(key.first, key.second);
        }
    }
}

std::size_t outcome_table::bytes() const
{
    std::size_t sum = 0;
    for (const number_shard &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard.lock);
        sum += shard.bytes;
    }
    return sum;
}

std::size_t outcome_table::size() const
{
    std::size_t sum = 0;
    for (const number_shard &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard.lock);
        sum += shard.records.size();
    }
    return sum;
}

std::vector<std::pair<request_number, request_outcome>> outcome_table::all() const
{
    std::vector<std::pair<request_number, request_outcome>> records;
    for (const number_shard &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard.lock);
        for (const std::pair<const request_number, record> &entry : shard.records) {
            records.emplace_back(entry.first, entry.second.outcome);
        }
    }
    return records;
}

} // namespace daisypass
