#include "entry/claim_logic.h"

#include "entry/request_id.h"
#include "services/http_answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace daisypass {
namespace {

constexpr std::size_t maxBatch = 64;
constexpr duration minBackoff{100'000};
constexpr duration maxBackoff{10'000'000};
constexpr int maxDoublings = 7;

void refuseIfExpired(claim &waiting, timestamp now, std::vector<claim_action> &actions)
{
    if (waiting.number != 0 && waiting.deadline <= now) {
        actions.emplace_back(claim_refused{waiting.number});
        waiting.number = 0;
    }
}

} // namespace

std::string claimKey(std::string_view pool, std::string_view team, std::string_view key)
{
    return "claim/" + percentEncode(pool) + '/' + percentEncode(team) + '/' + percentEncode(key);
}

std::string claimValue(std::string_view entry, std::string_view requestId)
{
    return nlohmann::ordered_json{{"entry", entry}, {"request", requestId}}.dump();
}

std::optional<std::string> claimantOf(std::string_view value)
{
    constexpr bool allowExceptions = false;
    const nlohmann::json row = nlohmann::json::parse(value, nullptr, allowExceptions);
    if (!row.is_object() || !row.contains("request") || !row.at("request").is_string()) {
        return std::nullopt;
    }
    return row.at("request").get<std::string>();
}

claim_logic::claim_logic(incarnation_number incarnation)
    : m_incarnation(incarnation)
{
}

std::size_t claim_logic::waiting() const
{
    return m_queue.size() + static_cast<std::size_t>(std::count_if(m_batch.begin(), m_batch.end(), [](const claim &batched) {
               return batched.number != 0;
           }));
}

void claim_logic::handle(const claim_event &event, timestamp now, std::uint64_t random, std::vector<claim_action> &actions)
{
    if (const claim_requested *requested = std::get_if<claim_requested>(&event)) {
        m_queue.push_back(requested->newClaim);
        // Deadlines are checked by the next tick: scanning all queued claims for each new one would take quadratic time in an outage.
        startNextCall(now, actions);
        return;
    } else if (const claim_cancelled *cancelled = std::get_if<claim_cancelled>(&event)) {
        std::erase_if(m_queue, [&](const claim &queued) {
            return queued.number == cancelled->number;
        });
        for (claim &batched : m_batch) {
            batched.number = batched.number == cancelled->number ? 0 : batched.number;
        }
    } else if (const claims_written *finished = std::get_if<claims_written>(&event)) {
        // Claims whose deadline passed during the write are refused first, so that they are not reported as won.
        refuseExpired(now, actions);
        handleWritten(finished->outcome, now, random, actions);
    } else if (const claims_read *read = std::get_if<claims_read>(&event)) {
        refuseExpired(now, actions);
        handleRowsRead(*read, now, random, actions);
    }
    refuseExpired(now, actions);
    startNextCall(now, actions);
}

void claim_logic::handleWritten(commit_outcome outcome, timestamp now, std::uint64_t random, std::vector<claim_action> &actions)
{
    if (m_phase != store_phase::Writing) {
        return;
    }
    switch (outcome) {
    case commit_outcome::Committed:
        for (claim &batched : m_batch) {
            settle(batched, {true, batched.value, 0}, actions);
        }
        m_batch.clear();
        m_consecutiveFailures = 0;
        m_phase = store_phase::Idle;
        break;
    case commit_outcome::Refused:
        requeueBatch();
        startBackoff(now, random);
        m_phase = store_phase::Idle;
        break;
    case commit_outcome::Conflict:
        m_consecutiveFailures = 0;
        m_phase = store_phase::ReadPending;
        break;
    case commit_outcome::Unknown:
        // The write may still take effect after a read that found no rows. This is harmless, because the next write stores the same values.
        startBackoff(now, random);
        m_phase = store_phase::ReadPending;
        break;
    }
}

void claim_logic::handleRowsRead(const claims_read &read, timestamp now, std::uint64_t random, std::vector<claim_action> &actions)
{
    if (m_phase != store_phase::Reading) {
        return;
    }
    bool complete = read.rows.size() == m_batch.size();
    for (std::size_t i = 0; i < std::min(read.rows.size(), m_batch.size()); ++i) {
        const claim_row &row = read.rows[i];
        if (!row.value) {
            // A row that was to be replaced is absent, hence deleted meanwhile, so the next write must require its absence.
            m_batch[i].replacedVersion = row.read ? 0 : m_batch[i].replacedVersion;
        } else if (*row.value == m_batch[i].value || row.version != m_batch[i].replacedVersion) {
            settle(m_batch[i], row, actions);
        }
        complete = complete && read.rows[i].read;
    }
    if (!complete) {
        startBackoff(now, random);
        m_phase = store_phase::ReadPending;
        return;
    }
    requeueBatch();
    m_consecutiveFailures = 0;
    m_phase = store_phase::Idle;
}

void claim_logic::settle(claim &settled, const claim_row &row, std::vector<claim_action> &actions)
{
    if (settled.number == 0) {
        return;
    }
    if (*row.value == settled.value) {
        actions.emplace_back(claim_won{settled.number});
    } else {
        actions.emplace_back(claim_duplicate{settled.number, *row.value, row.version});
    }
    settled.number = 0;
}

// Puts unsettled claims back at the front of the queue, in their order.
void claim_logic::requeueBatch()
{
    for (auto batched = m_batch.rbegin(); batched != m_batch.rend(); ++batched) {
        if (batched->number != 0) {
            m_queue.push_front(std::move(*batched));
        }
    }
    m_batch.clear();
}

void claim_logic::startBackoff(timestamp now, std::uint64_t random)
{
    const duration limit = std::min(maxBackoff, minBackoff * (1 << std::min(m_consecutiveFailures, maxDoublings)));
    ++m_consecutiveFailures;
    m_retryAt = now + duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>(limit.count())));
}

void claim_logic::refuseExpired(timestamp now, std::vector<claim_action> &actions)
{
    for (claim &batched : m_batch) {
        refuseIfExpired(batched, now, actions);
    }
    for (claim &queued : m_queue) {
        refuseIfExpired(queued, now, actions);
    }
    std::erase_if(m_queue, [](const claim &queued) {
        return queued.number == 0;
    });
}

void claim_logic::startNextCall(timestamp now, std::vector<claim_action> &actions)
{
    if (now < m_retryAt) {
        return;
    }
    if (m_phase == store_phase::ReadPending) {
        read_claims read;
        std::erase_if(m_batch, [](const claim &batched) {
            return batched.number == 0;
        });
        for (const claim &batched : m_batch) {
            read.keys.push_back(batched.key);
        }
        m_phase = read.keys.empty() ? store_phase::Idle : store_phase::Reading;
        if (!read.keys.empty()) {
            actions.emplace_back(std::move(read));
        }
    }
    if (m_phase == store_phase::Idle && !m_queue.empty()) {
        startWrite(actions);
    }
}

void claim_logic::startWrite(std::vector<claim_action> &actions)
{
    write_claims write;
    write.transaction.writeId = "claim-" + formatIncarnation(m_incarnation) + '-' + std::to_string(++m_writes);
    std::set<std::string, std::less<>> keys;
    std::deque<claim> later;
    while (!m_queue.empty() && m_batch.size() < maxBatch) {
        claim next = std::move(m_queue.front());
        m_queue.pop_front();
        // Two writes of the same key in a transaction would overwrite each other. The second claim waits for a later transaction, which finds the row.
        if (!keys.insert(next.key).second) {
            later.push_back(std::move(next));
            continue;
        }
        write.transaction.conditions.push_back({next.key, next.replacedVersion});
        write.transaction.puts.push_back({next.key, next.value});
        m_batch.push_back(std::move(next));
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(later.begin()), std::make_move_iterator(later.end()));
    m_phase = store_phase::Writing;
    actions.emplace_back(std::move(write));
}

} // namespace daisypass
