#pragma once

// Compares the outcomes reported to callers with the runs that targets recorded.
//
//     std::vector<disagreement> found = checkOutcomes(reports, executions);
//
// The body of each attempt is its token, a '#' and the attempt's number (see attemptBody()); targets answer with the request's body.
// A resubmission with the same idempotency key has the same token and the next number. The number tells the runs of different
// attempts apart; an answer to an earlier attempt with the same token is a correct answer to the request.

#include "standins/execution_record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class caller_outcome {
    Completed,
    Failed,
    NotRun,
    /** The answer said unknown, or the caller received no complete answer. */
    Unknown,
    Expired,
    /** Neither a final outcome nor a refusal by the system; the checker makes no claim about the run. */
    Other,
};

std::string_view outcomeName(caller_outcome outcome);

/** One attempt and the outcome reported to its caller. */
struct submission_report
{
    std::string token;
    int attempt = 1;
    std::string pool;
    std::string team;
    /** Empty if the request had no idempotency key. */
    std::string key;
    bool repeatable = false;
    caller_outcome outcome = caller_outcome::Other;
    std::string reason;
    /** Detail that the answer gives beside the reason; empty if there was none. */
    std::string detail;
    /** Request id in the answer; empty if there was none. */
    std::string requestId;
    /** Body of a completed answer. */
    std::string answer;
};

enum class disagreement_kind {
    /** The outcome was not_run, but the attempt ran. */
    NotRunRan,
    /** A request that is not repeatable, or a key, ran more than once. */
    RanTwice,
    /** The outcome was completed, but the answer's body belongs to another request. */
    ForeignAnswer,
    /** The outcome was completed, but no target completed the request. */
    CompletedNeverRan,
    /** The outcome was failed, but no target recorded a run of the request. */
    FailedNeverRan,
    /** A run under the request's id carried the body of another request. */
    ForeignRun,
};

std::string_view kindName(disagreement_kind kind);

struct disagreement
{
    disagreement_kind kind = disagreement_kind::NotRunRan;
    std::string token;
    std::string requestId;
    std::string detail;
};

std::string attemptBody(std::string_view token, int attempt);

/** Returns all disagreements, in the order of the reports. Ignores runs of tokens that no report names. */
std::vector<disagreement> checkOutcomes(std::span<const submission_report> reports, std::span<const execution_record> executions);

/** Counts resubmissions with outcome not_run of which an earlier attempt ran; their callers would wrongly take the work as not done. */
std::size_t countNotRunAfterRun(std::span<const submission_report> reports, std::span<const execution_record> executions);

} // namespace daisypass
