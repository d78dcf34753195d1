#include "standins/outcome_checker.h"

#include <array>
#include <charconv>
#include <set>
#include <unordered_map>

namespace daisypass {
namespace {

constexpr std::array<std::string_view, 6> outcomeNames{"completed", "failed", "not_run", "unknown", "expired", "other"};
constexpr std::array<std::string_view, 6> kindNames{"not_run_ran", "ran_twice", "foreign_answer", "completed_never_ran", "failed_never_ran", "foreign_run"};

std::string_view tokenOf(std::string_view body)
{
    return body.substr(0, body.find('#'));
}

// Index of the runs by the token in their bodies and by request id. Its views point into the records.
class execution_index
{
public:
    explicit execution_index(std::span<const execution_record> executions)
    {
        m_byToken.reserve(executions.size());
        m_byId.reserve(executions.size());
        for (const execution_record &record : executions) {
            m_byToken[tokenOf(record.body)].push_back(&record);
            if (!record.requestId.empty()) {
                m_byId[record.requestId].push_back(&record);
            }
        }
    }

    std::span<const execution_record *const> findByToken(std::string_view token) const
    {
        return find(m_byToken, token);
    }

    std::span<const execution_record *const> findById(std::string_view requestId) const
    {
        return find(m_byId, requestId);
    }

private:
    using record_map = std::unordered_map<std::string_view, std::vector<const execution_record *>>;

    static std::span<const execution_record *const> find(const record_map &map, std::string_view name)
    {
        const auto found = map.find(name);
        return found == map.end() ? std::span<const execution_record *const>() : std::span<const execution_record *const>(found->second);
    }

    record_map m_byToken;
    record_map m_byId;
};

std::string describeRuns(std::span<const execution_record *const> runs)
{
    std::string text;
    for (const execution_record *run : runs) {
        text += (text.empty() ? "" : "; ") + encodeExecution(*run);
    }
    return text;
}

class checker
{
public:
    checker(std::span<const submission_report> reports, std::span<const execution_record> executions)
        : m_reports(reports)
        , m_index(executions)
    {
    }

    std::vector<disagreement> check()
    {
        for (const submission_report &report : m_reports) {
            checkReport(report);
            checkRunsOfId(report);
            checkRepetition(report);
        }
        return std::move(m_found);
    }

    std::size_t countNotRunAfterRun() const
    {
        std::size_t count = 0;
        for (const submission_report &report : m_reports) {
            for (const execution_record *run : m_index.findByToken(report.token)) {
                if (report.outcome == caller_outcome::NotRun && isOfEarlierAttempt(*run, report)) {
                    ++count;
                    break;
                }
            }
        }
        return count;
    }

private:
    static bool isOfEarlierAttempt(const execution_record &run, const submission_report &report)
    {
        const std::string_view body = run.body;
        int attempt = 0;
        const std::size_t mark = body.find('#');
        if (mark != std::string_view::npos) {
            std::from_chars(body.data() + mark + 1, body.data() + body.size(), attempt);
        }
        return attempt < report.attempt;
    }

    void add(disagreement_kind kind, const submission_report &report, std::string detail)
    {
        m_found.push_back({kind, report.token, report.requestId, std::move(detail)});
    }

    void checkReport(const submission_report &report)
    {
        switch (report.outcome) {
        case caller_outcome::Completed:
            if (tokenOf(report.answer) != report.token) {
                add(disagreement_kind::ForeignAnswer, report, report.answer);
            }
            if (!hasRun(report, execution_result::Completed)) {
                add(disagreement_kind::CompletedNeverRan, report, describeRuns(m_index.findByToken(report.token)));
            }
            break;
        case caller_outcome::Failed:
            if (m_index.findByToken(report.token).empty()) {
                add(disagreement_kind::FailedNeverRan, report, report.reason);
            }
            break;
        case caller_outcome::NotRun:
            checkNotRun(report);
            break;
        case caller_outcome::Unknown:
        case caller_outcome::Expired:
        case caller_outcome::Other:
            break;
        }
    }

    bool hasRun(const submission_report &report, execution_result result) const
    {
        for (const execution_record *run : m_index.findByToken(report.token)) {
            if (run->result == result) {
                return true;
            }
        }
        return false;
    }

    void checkNotRun(const submission_report &report)
    {
        const std::string body = attemptBody(report.token, report.attempt);
        for (const execution_record *run : m_index.findByToken(report.token)) {
            if (run->body == body || (!report.requestId.empty() && run->requestId == report.requestId)) {
                add(disagreement_kind::NotRunRan, report, report.reason + ": " + encodeExecution(*run));
                return;
            }
        }
    }

    void checkRunsOfId(const submission_report &report)
    {
        for (const execution_record *run : m_index.findById(report.requestId)) {
            if (tokenOf(run->body) != report.token) {
                add(disagreement_kind::ForeignRun, report, encodeExecution(*run));
                return;
            }
        }
    }

    void checkRepetition(const submission_report &report)
    {
        const std::span<const execution_record *const> runs = m_index.findByToken(report.token);
        if (!report.repeatable && runs.size() > 1 && m_repeated.insert(report.token).second) {
            add(disagreement_kind::RanTwice, report, describeRuns(runs));
        }
    }

    std::span<const submission_report> m_reports;
    execution_index m_index;
    std::set<std::string_view> m_repeated;
    std::vector<disagreement> m_found;
};

} // namespace

std::string_view outcomeName(caller_outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view kindName(disagreement_kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::string attemptBody(std::string_view token, int attempt)
{
    return std::string(token) + '#' + std::to_string(attempt);
}

std::vector<disagreement> checkOutcomes(std::span<const submission_report> reports, std::span<const execution_record> executions)
{
    return checker(reports, executions).check();
}

std::size_t countNotRunAfterRun(std::span<const submission_report> reports, std::span<const execution_record> executions)
{
    return checker(reports, executions).countNotRunAfterRun();
}

} // namespace daisypass
