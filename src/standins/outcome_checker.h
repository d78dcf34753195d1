#pragma once

// Compares what callers were told with what targets recorded.
//
//     std::vector<disagreement> found = checkOutcomes(reports, executions);
//
// The body of each attempt is its token, a '#' and the attempt's number (see attemptBody()), and targets answer with the body they
// ran. A resubmission with the same idempotency key has the same token and the next number, so a run can be told apart from a run
// of another attempt, and an answer that belongs to an earlier attempt of the same request is the request's own.

#include "standins/execution_record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class told_outcome {
    Completed,
    Failed,
    NotRun,
    /** Told as unknown, or no whole answer reached the caller. */
    Unknown,
    Expired,
    /** Neither a final outcome nor a refusal by the system; nothing is claimed about the run. */
    Other,
};

std::string_view outcomeName(told_outcome outcome);

/** One attempt and what its caller was told. */
struct submission_report
{
    std::string token;
    int attempt = 1;
    std::string pool;
    std::string team;
    /** Empty if the request had no idempotency key. */
    std::string key;
    bool repeatable = false;
    told_outcome outcome = told_outcome::Other;
    std::string reason;
    /** What the answer adds to the reason; empty if there was none. */
    std::string detail;
    /** Id in the answer; empty if there was none. */
    std::string requestId;
    /** Body of a completed answer. */
    std::string answer;
};

enum class disagreement_kind {
    /** Told not_run, and the attempt ran. */
    NotRunRan,
    /** A request that is not repeatable, or a key, ran more than once. */
    RanTwice,
    /** Told completed with a body that is not the request's own. */
    ForeignAnswer,
    /** Told completed, and no target completed the request. */
    CompletedNeverRan,
    /** Told failed, and no target recorded a run of it. */
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

/** All disagreements, in the order of the reports. Runs of tokens that no report names are passed over. */
std::vector<disagreement> checkOutcomes(std::span<const submission_report> reports, std::span<const execution_record> executions);

/** Resubmissions told not_run although an earlier attempt of the same key ran; the caller would take the work as not done. */
std::size_t countNotRunAfterRun(std::span<const submission_report> reports, std::span<const execution_record> executions);

} // namespace daisypass
