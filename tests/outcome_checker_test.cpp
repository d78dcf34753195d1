// Checks that the outcome checker finds each kind of disagreement, and none in a correct history.
// Guards against a load run that passes because the checker misses a fault.

#include "standins/outcome_checker.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

submission_report reportOf(int attempt, caller_outcome outcome, std::string requestId, std::string answer = {})
{
    submission_report report;
    report.token = "t";
    report.attempt = attempt;
    report.key = "k";
    report.outcome = outcome;
    report.requestId = std::move(requestId);
    report.answer = std::move(answer);
    return report;
}

execution_record runOf(std::string body, std::string requestId, execution_result result = execution_result::Completed)
{
    execution_record record;
    record.body = std::move(body);
    record.requestId = std::move(requestId);
    record.result = result;
    return record;
}

struct history
{
    const char *name;
    std::vector<submission_report> reports;
    std::vector<execution_record> executions;
    std::vector<disagreement_kind> expected;
};

submission_report repeatable(submission_report report)
{
    report.repeatable = true;
    return report;
}

const std::vector<history> histories{
    {"completed once", {reportOf(1, caller_outcome::Completed, "r1", "t#1")}, {runOf("t#1", "r1")}, {}},
    {"not run", {reportOf(1, caller_outcome::NotRun, "r1")}, {}, {}},
    {"unknown, with a run", {reportOf(1, caller_outcome::Unknown, "")}, {runOf("t#1", "r1", execution_result::Running)}, {}},
    {"a resubmission gets the answer of the first attempt",
     {reportOf(1, caller_outcome::Unknown, ""), reportOf(2, caller_outcome::Completed, "r1", "t#1")},
     {runOf("t#1", "r1")},
     {}},
    {"a resubmission is refused after the first attempt ran",
     {reportOf(1, caller_outcome::Unknown, ""), reportOf(2, caller_outcome::NotRun, "r2")},
     {runOf("t#1", "r1")},
     {}},
    {"a repeatable request ran twice",
     {repeatable(reportOf(1, caller_outcome::Unknown, "")), repeatable(reportOf(2, caller_outcome::Completed, "r2", "t#2"))},
     {runOf("t#1", "r1"), runOf("t#2", "r2")},
     {}},
    {"a run of another request", {reportOf(1, caller_outcome::NotRun, "r1")}, {runOf("other#1", "r9")}, {}},

    {"not run, but ran", {reportOf(1, caller_outcome::NotRun, "r1")}, {runOf("t#1", "r1")}, {disagreement_kind::NotRunRan}},
    {"not run without an id, but ran", {reportOf(1, caller_outcome::NotRun, "")}, {runOf("t#1", "r1")}, {disagreement_kind::NotRunRan}},
    {"not run, but cut off while running",
     {reportOf(1, caller_outcome::NotRun, "r1")},
     {runOf("t#1", "r1", execution_result::CutOff)},
     {disagreement_kind::NotRunRan}},
    {"a resubmission is told that the first attempt did not run",
     {reportOf(1, caller_outcome::Unknown, ""), reportOf(2, caller_outcome::NotRun, "r1")},
     {runOf("t#1", "r1")},
     {disagreement_kind::NotRunRan}},
    {"a key ran twice",
     {reportOf(1, caller_outcome::Unknown, ""), reportOf(2, caller_outcome::Completed, "r2", "t#2")},
     {runOf("t#1", "r1"), runOf("t#2", "r2")},
     {disagreement_kind::RanTwice}},
    {"one attempt ran twice", {reportOf(1, caller_outcome::Unknown, "")}, {runOf("t#1", "r1"), runOf("t#1", "r1")}, {disagreement_kind::RanTwice}},
    {"the answer to another request", {reportOf(1, caller_outcome::Completed, "r1", "other#1")}, {runOf("t#1", "r1")}, {disagreement_kind::ForeignAnswer}},
    {"a truncated answer", {reportOf(1, caller_outcome::Completed, "r1", "")}, {runOf("t#1", "r1")}, {disagreement_kind::ForeignAnswer}},
    {"completed, but never ran", {reportOf(1, caller_outcome::Completed, "r1", "t#1")}, {}, {disagreement_kind::CompletedNeverRan}},
    {"completed, but cut off",
     {reportOf(1, caller_outcome::Completed, "r1", "t#1")},
     {runOf("t#1", "r1", execution_result::CutOff)},
     {disagreement_kind::CompletedNeverRan}},
    {"failed, but never ran", {reportOf(1, caller_outcome::Failed, "r1")}, {}, {disagreement_kind::FailedNeverRan}},
    {"the id ran with another body",
     {reportOf(1, caller_outcome::Completed, "r1", "t#1")},
     {runOf("t#1", "r1"), runOf("other#1", "r1")},
     {disagreement_kind::ForeignRun}},
};

} // namespace

TEST_CASE("the outcome checker finds exactly the disagreements of each history")
{
    for (const history &each : histories) {
        CAPTURE(each.name);
        std::vector<disagreement_kind> kinds;
        for (const disagreement &found : checkOutcomes(each.reports, each.executions)) {
            kinds.push_back(found.kind);
        }
        CHECK(kinds == each.expected);
    }
    CHECK(countNotRunAfterRun(histories[4].reports, histories[4].executions) == 1);
    CHECK(countNotRunAfterRun(histories[0].reports, histories[0].executions) == 0);
}

// Guards against a run that is counted twice: its record has one line for the start and one for the end.
TEST_CASE("the lines of one run are read as one record")
{
    execution_record record = runOf("t#1", "r1", execution_result::Running);
    record.target = "127.0.0.1:1";
    std::string lines = encodeExecution(record) + '\n';
    record.result = execution_result::Completed;
    lines += encodeExecution(record) + '\n';
    record.sequence = 1;
    lines += encodeExecution(record) + '\n' + R"({"target":"127.0)";
    failure reason;
    const std::optional<std::vector<execution_record>> read = decodeExecutions(lines, reason);
    REQUIRE(read);
    REQUIRE(read->size() == 2);
    CHECK(read->front().result == execution_result::Completed);
    CHECK_FALSE(decodeExecutions("{}\n", reason));
}
