#pragma once

// Decides how claims on idempotency keys are written to the table service: which claims form a transaction, and what the result means for each.
//
//     claim_logic logic(incarnation);
//     std::vector<claim_action> actions;
//     logic.handle(claim_requested{claim}, now, random, actions);
//
// One transaction is in progress at a time. It writes up to 64 rows, each on the condition that the row is absent or has the version that the claim replaces.
// A row's value names the claiming request, so a claim is won if its row has the claim's value, no matter which write stored it; any other value means a
// duplicate, unless the row still has the version that the claim replaces. After a conflict or a write without an answer the rows are read, and claims that
// this does not settle are written again. Failures of the table service are retried with exponential backoff and full jitter. The class has no clock, thread or
// random source of its own.

#include "base/time.h"
#include "kernel/fleet_change.h"
#include "kernel/request.h"
#include "services/table_service.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

struct claim
{
    request_number number = 0;
    /** Row key, see claimKey(). */
    std::string key;
    /** Row value, see claimValue(). */
    std::string value;
    timestamp deadline{};
    /** Version of the existing row, whose request was not run and which this claim replaces; 0 if the row must be absent. */
    std::uint64_t replacedVersion = 0;
};

struct claim_requested
{
    claim newClaim;
};

/** The request was cancelled: no result is reported for its claim. A write in progress may still take effect. */
struct claim_cancelled
{
    request_number number = 0;
};

/** Result of the last write_claims. */
struct claims_written
{
    commit_outcome outcome = commit_outcome::Unknown;
};

/** Result for one key of the last read_claims, in the order of its keys. `read` is false if the table service did not answer for this row. */
struct claim_row
{
    bool read = false;
    /** Empty if the row is absent. */
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

struct claims_read
{
    std::vector<claim_row> rows;
};

struct claim_tick
{
};

using claim_event = std::variant<claim_requested, claim_cancelled, claims_written, claims_read, claim_tick>;

struct write_claims
{
    table_transaction transaction;
};

struct read_claims
{
    std::vector<std::string> keys;
};

/** The claim on the key succeeded, so the request may run. */
struct claim_won
{
    request_number number = 0;
};

struct claim_duplicate
{
    request_number number = 0;
    /** Value and version of the existing row; the value names the request that claimed the key. */
    std::string value;
    std::uint64_t version = 0;
};

/** The request's deadline passed before the claim was settled, so the request must not run. */
struct claim_refused
{
    request_number number = 0;
};

using claim_action = std::variant<write_claims, read_claims, claim_won, claim_duplicate, claim_refused>;

class claim_logic
{
public:
    explicit claim_logic(incarnation_number incarnation);

    /** `random` is uniform over 64 bits and used for jitter. */
    void handle(const claim_event &event, timestamp now, std::uint64_t random, std::vector<claim_action> &actions);

    /** Claims that are queued or in progress and not settled. */
    std::size_t waiting() const;

private:
    enum class store_phase {
        Idle,
        Writing,
        Reading,
        /** The rows of the batch are to be read after the backoff. */
        ReadPending,
    };

    void handleWritten(commit_outcome outcome, timestamp now, std::uint64_t random, std::vector<claim_action> &actions);
    void handleRowsRead(const claims_read &read, timestamp now, std::uint64_t random, std::vector<claim_action> &actions);
    void settle(claim &settled, const claim_row &row, std::vector<claim_action> &actions);
    void requeueBatch();
    void startBackoff(timestamp now, std::uint64_t random);
    void refuseExpired(timestamp now, std::vector<claim_action> &actions);
    void startNextCall(timestamp now, std::vector<claim_action> &actions);
    void startWrite(std::vector<claim_action> &actions);

    incarnation_number m_incarnation;
    store_phase m_phase = store_phase::Idle;
    std::deque<claim> m_queue;
    /** Claims of the transaction in progress; `number` 0 marks a claim that is settled or cancelled. */
    std::vector<claim> m_batch;
    std::uint64_t m_writes = 0;
    int m_consecutiveFailures = 0;
    timestamp m_retryAt{};
};

std::string claimKey(std::string_view pool, std::string_view team, std::string_view key);
std::string claimValue(std::string_view entry, std::string_view requestId);
/** The request id in a row's value, or nothing if the value is not a claim. */
std::optional<std::string> claimantOf(std::string_view value);

} // namespace daisypass
