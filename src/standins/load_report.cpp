#include "standins/load_report.h"

#include "base/metrics.h"
#include "base/saturating_cast.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <ostream>
#include <sstream>
#include <thread>

namespace daisypass {
namespace {

constexpr std::size_t printedDisagreements = 20;
constexpr double microsecondsPerMillisecond = 1'000;
// How long to wait for a target to finish its runs after the load has ended, so that their records are complete.
constexpr std::chrono::seconds idleLimit{30};
constexpr std::chrono::milliseconds idlePoll{50};

double quantileMs(std::vector<duration> &latencies, double share)
{
    if (latencies.empty()) {
        return 0;
    }
    const std::size_t rank = std::min(latencies.size() - 1, saturatingCast<std::size_t>(share * static_cast<double>(latencies.size())));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank), latencies.end());
    return static_cast<double>(latencies[rank].count()) / microsecondsPerMillisecond;
}

void printHistogram(std::ostream &out, const std::vector<duration> &latencies)
{
    histogram distribution;
    for (duration latency : latencies) {
        distribution.record(std::chrono::duration<double>(latency).count());
    }
    std::uint64_t below = 0;
    for (const std::pair<double, std::uint64_t> &bucket : distribution.cumulativeBuckets()) {
        if (bucket.second > below) {
            out << "    up to " << bucket.first * microsecondsPerMillisecond << " ms: " << bucket.second - below << '\n';
        }
        below = bucket.second;
    }
}

http_result fetchFrom(http_client &client, const std::string &target, std::string_view path)
{
    http_call call;
    call.url = "http://" + target + std::string(path);
    return client.fetch(call);
}

void waitUntilIdle(http_client &client, const std::string &target)
{
    const timestamp end = steadyNow() + idleLimit;
    while (steadyNow() < end) {
        const http_result result = fetchFrom(client, target, "/status");
        if (result.state == send_state::Answered && result.response.body == R"({"in_flight":0})") {
            return;
        }
        std::this_thread::sleep_for(idlePoll);
    }
}

std::optional<std::string> readSource(http_client &client, const std::string &source, failure &reason)
{
    failure ignored;
    if (parseEndpoint(source, ignored)) {
        waitUntilIdle(client, source);
        http_result result = fetchFrom(client, source, "/admin/executions");
        if (result.state != send_state::Answered || result.response.status != 200) {
            reason = failure{failure_code::BadAnswer, source + " /admin/executions"};
            return std::nullopt;
        }
        return std::move(result.response.body);
    }
    std::ifstream input(source);
    if (!input) {
        reason = failure{failure_code::FileUnreadable, source};
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return std::move(text).str();
}

std::vector<submission_report> reportsOf(std::span<const load_sample> samples)
{
    std::vector<submission_report> reports;
    reports.reserve(samples.size());
    for (const load_sample &sample : samples) {
        reports.push_back(sample.report);
    }
    return reports;
}

} // namespace

void printLoad(std::ostream &out, std::span<const load_sample> samples, duration length)
{
    std::map<std::string, std::vector<duration>> byClass;
    std::map<std::string, std::size_t> byOutcome;
    std::size_t completed = 0;
    std::size_t resubmissions = 0;
    for (const load_sample &sample : samples) {
        const bool isCompleted = sample.report.outcome == caller_outcome::Completed;
        completed += isCompleted ? 1 : 0;
        resubmissions += sample.report.attempt > 1 ? 1 : 0;
        if (isCompleted && sample.report.attempt == 1) {
            byClass[sample.requestClass].push_back(sample.latency);
        }
        ++byOutcome[std::string(outcomeName(sample.report.outcome)) + (sample.report.reason.empty() ? "" : ' ' + sample.report.reason)];
    }
    const double seconds = std::chrono::duration<double>(length).count();
    out << "attempts: " << samples.size() << ", of these resubmissions: " << resubmissions << '\n';
    out << "goodput: " << static_cast<double>(completed) / seconds << " completed/s over " << seconds << " s\n";
    for (std::pair<const std::string, std::vector<duration>> &each : byClass) {
        std::vector<duration> &latencies = each.second;
        out << "class " << each.first << ": " << latencies.size() << " completed, p50 " << quantileMs(latencies, 0.5) << " ms, p99 "
            << quantileMs(latencies, 0.99) << " ms\n";
        printHistogram(out, latencies);
    }
    for (const std::pair<const std::string, std::size_t> &each : byOutcome) {
        out << "outcome " << each.first << ": " << each.second << '\n';
    }
}

void printCheck(std::ostream &out, const check_result &result)
{
    out << "check: " << result.executions << " executions, " << result.disagreements.size() << " disagreements, " << result.notRunAfterRun
        << " attempts told not_run after an earlier attempt of the same key ran\n";
    std::map<std::string_view, std::size_t> byKind;
    for (const disagreement &found : result.disagreements) {
        ++byKind[kindName(found.kind)];
    }
    for (const std::pair<const std::string_view, std::size_t> &each : byKind) {
        out << "disagreement " << each.first << ": " << each.second << '\n';
    }
    for (std::size_t i = 0; i < std::min(result.disagreements.size(), printedDisagreements); ++i) {
        const disagreement &found = result.disagreements[i];
        out << "  " << kindName(found.kind) << " token " << found.token << " request " << found.requestId << ": " << found.detail << '\n';
    }
}

std::optional<std::vector<execution_record>> collectExecutions(std::span<const std::string> sources, failure &reason)
{
    http_client client({});
    std::vector<execution_record> all;
    for (const std::string &source : sources) {
        const std::optional<std::string> lines = readSource(client, source, reason);
        if (!lines) {
            return std::nullopt;
        }
        std::optional<std::vector<execution_record>> records = decodeExecutions(*lines, reason);
        if (!records) {
            return std::nullopt;
        }
        std::move(records->begin(), records->end(), std::back_inserter(all));
    }
    return all;
}

check_result checkSamples(std::span<const load_sample> samples, std::span<const execution_record> executions)
{
    const std::vector<submission_report> reports = reportsOf(samples);
    return {executions.size(), countNotRunAfterRun(reports, executions), checkOutcomes(reports, executions)};
}

} // namespace daisypass
