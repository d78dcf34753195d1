#include "standins/load_run.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// Time beyond the deadline that an answer may take before the caller gives up: the run itself, and the entry's own time limits.
constexpr std::chrono::milliseconds answerMargin{15'000};
constexpr std::chrono::milliseconds connectLimit{1'000};
// More than an open loop needs below saturation; beyond it requests queue in the client and their latency counts that.
constexpr int connectionsPerEntry = 500;

constexpr std::string_view requestIdHeader = "Daisypass-Request-Id";

told_outcome outcomeFromName(std::string_view name)
{
    for (told_outcome outcome : {told_outcome::Completed, told_outcome::Failed, told_outcome::NotRun, told_outcome::Unknown, told_outcome::Expired}) {
        if (name == outcomeName(outcome)) {
            return outcome;
        }
    }
    return told_outcome::Other;
}

nlohmann::json parsed(const std::string &text)
{
    constexpr bool allowExceptions = false;
    nlohmann::json body = nlohmann::json::parse(text, nullptr, allowExceptions);
    return body.is_object() ? body : nlohmann::json::object();
}

void readDirectOutcome(const http_result &result, submission_report &report)
{
    const http_response &response = result.response;
    const std::string_view refusal = findHeader(response.headers, "Daisypass-Not-Run");
    if (result.state != send_state::Answered) {
        report.outcome = result.state == send_state::NotSent ? told_outcome::NotRun : told_outcome::Unknown;
        report.reason = codeName(result.reason.code);
    } else if (!refusal.empty()) {
        report.outcome = told_outcome::NotRun;
        report.reason = refusal;
    } else if (response.status >= 500) {
        report.outcome = told_outcome::Failed;
    } else {
        report.outcome = findHeader(response.headers, requestIdHeader) == report.requestId ? told_outcome::Completed : told_outcome::Unknown;
        report.answer = response.body;
    }
}

} // namespace

void readOutcome(const http_result &result, submission_report &report)
{
    if (result.state != send_state::Answered) {
        // Nothing reached the entry, or its answer is missing; only the first case is certain not to have run.
        report.outcome = result.state == send_state::NotSent ? told_outcome::NotRun : told_outcome::Unknown;
        report.reason = "caller_" + std::string(codeName(result.reason.code));
        report.detail = describe(result.reason);
        return;
    }
    const http_response &response = result.response;
    report.outcome = outcomeFromName(findHeader(response.headers, "Daisypass-Outcome"));
    report.requestId = findHeader(response.headers, requestIdHeader);
    if (report.outcome == told_outcome::Completed) {
        report.answer = response.body;
        return;
    }
    const nlohmann::json body = parsed(response.body);
    if (report.outcome == told_outcome::Other) {
        report.outcome = outcomeFromName(body.value("outcome", ""));
    }
    report.reason = body.value("reason", "status_" + std::to_string(response.status));
    report.detail = body.value("detail", body.value("title", ""));
    if (report.requestId.empty()) {
        report.requestId = body.value("request_id", "");
    }
}

load_run::load_run(load_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_client(std::make_unique<http_client>(http_client_options{.threads = m_options.clientThreads, .maxConnectionsPerHost = connectionsPerEntry}))
    , m_timers(std::make_unique<timer_thread>())
{
    m_options.demand.pools = m_options.pools.size();
    // Two runs against the same targets must not share tokens.
    m_name = std::to_string(wallNow().count() % 1'000'000'000) + '.' + std::to_string(m_options.seed) + '.';
}

load_run::~load_run()
{
    m_timers.reset();
    m_client.reset();
}

void load_run::start()
{
    m_begin = steadyNow();
    m_open = m_options.pools.size();
    m_timers->after(std::chrono::milliseconds(0), [this] {
        for (std::size_t pool = 0; pool < m_options.pools.size(); ++pool) {
            scheduleNext(pool, {});
        }
    });
}

void load_run::wait()
{
    std::unique_lock<std::mutex> guard(m_lock);
    m_changed.wait(guard, [this] {
        return m_open == 0;
    });
}

std::vector<load_sample> load_run::takeSamples()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return std::move(m_samples);
}

void load_run::scheduleNext(std::size_t pool, duration after)
{
    const duration next = nextArrival(m_options.demand, pool, after, m_random);
    if (next >= m_options.length) {
        close();
        return;
    }
    const duration left = std::max(duration(0), m_begin + next - steadyNow());
    m_timers->after(left, [this, pool, next] {
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            ++m_open;
        }
        submit(draw(pool, m_begin + next));
        scheduleNext(pool, next);
    });
}

load_run::attempt_ptr load_run::draw(std::size_t pool, timestamp planned)
{
    std::uniform_real_distribution<double> share(0, 1);
    const load_pool &chosen = m_options.pools[pool];
    const bool isLong = share(m_random) < m_options.longShare;
    attempt_ptr drawn = std::make_shared<attempt>();
    drawn->pool = pool;
    drawn->entry = m_random() % m_options.entries.size();
    drawn->run = isLong ? m_options.longRun : m_options.shortRun;
    drawn->planned = planned;
    drawn->sample.requestClass = isLong ? "long" : "short";
    submission_report &report = drawn->sample.report;
    report.token = m_name + std::to_string(++m_drawn);
    report.pool = chosen.name;
    report.team = chosen.teams[m_random() % chosen.teams.size()];
    if (share(m_random) < m_options.keyedShare) {
        report.key = "key-" + report.token;
    } else {
        report.repeatable = share(m_random) < m_options.repeatableShare;
    }
    return drawn;
}

void load_run::submit(const attempt_ptr &current)
{
    const submission_report &report = current->sample.report;
    if (m_options.direct) {
        sendDirect(current);
    } else if (!report.key.empty() && report.attempt == 1 && m_options.pools[current->pool].tickets) {
        fetchTicket(current);
    } else {
        send(current);
    }
}

void load_run::fetchTicket(const attempt_ptr &current)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(m_options.entries[current->entry]) + "/v1/pools/" + current->sample.report.pool + "/tickets";
    call.headers = {{"Daisypass-Team", current->sample.report.team}};
    call.connectTimeout = connectLimit;
    call.totalTimeout = m_options.deadline;
    m_client->send(std::move(call), [this, current](const http_result &result) {
        submission_report &report = current->sample.report;
        const std::string ticket = result.state == send_state::Answered ? parsed(result.response.body).value("ticket", "") : std::string();
        if (ticket.empty()) {
            // Without a ticket nothing was submitted.
            readOutcome(result, report);
            report.outcome = told_outcome::NotRun;
            report.reason = "no_ticket_" + report.reason;
            finish(current);
            return;
        }
        report.key = ticket;
        send(current);
    });
}

void load_run::send(const attempt_ptr &current)
{
    const submission_report &report = current->sample.report;
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(m_options.entries[current->entry]) + "/v1/pools/" + report.pool + "/requests";
    call.headers = {{"Daisypass-Team", report.team},
                    {"Daisypass-Class", current->sample.requestClass},
                    {"Daisypass-Repeatable", report.repeatable ? "true" : "false"},
                    {"Daisypass-Deadline-Ms", std::to_string(m_options.deadline.count())},
                    {"X-Run-Ms", std::to_string(current->run.count())}};
    if (!report.key.empty()) {
        call.headers.push_back({"Idempotency-Key", report.key});
        call.headers.push_back({"Daisypass-Resubmission", report.attempt > 1 ? "true" : "false"});
    }
    call.body = attemptBody(report.token, report.attempt);
    call.connectTimeout = connectLimit;
    call.totalTimeout = m_options.deadline + current->run + answerMargin;
    m_client->send(std::move(call), [this, current](const http_result &result) {
        readOutcome(result, current->sample.report);
        finish(current);
    });
}

void load_run::sendDirect(const attempt_ptr &current)
{
    submission_report &report = current->sample.report;
    report.requestId = report.token;
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(m_options.entries[current->entry]) + "/run";
    call.headers = {{std::string(requestIdHeader), report.requestId}, {"X-Run-Ms", std::to_string(current->run.count())}};
    call.body = attemptBody(report.token, report.attempt);
    call.connectTimeout = connectLimit;
    call.totalTimeout = m_options.deadline + current->run + answerMargin;
    m_client->send(std::move(call), [this, current](const http_result &result) {
        readDirectOutcome(result, current->sample.report);
        finish(current);
    });
}

void load_run::finish(const attempt_ptr &current)
{
    current->sample.latency = steadyNow() - current->planned;
    const submission_report &report = current->sample.report;
    if (report.outcome == told_outcome::Unknown && !report.key.empty() && report.attempt < m_options.attempts) {
        resubmit(*current);
    }
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_samples.push_back(std::move(current->sample));
    }
    close();
}

void load_run::resubmit(const attempt &last)
{
    attempt_ptr next = std::make_shared<attempt>(last);
    submission_report &report = next->sample.report;
    ++report.attempt;
    report.outcome = told_outcome::Other;
    report.reason.clear();
    report.requestId.clear();
    report.answer.clear();
    next->entry = (last.entry + 1) % m_options.entries.size();
    next->sample.requestClass = last.sample.requestClass;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        ++m_open;
    }
    m_timers->after(m_options.resubmitDelay, [this, next] {
        next->planned = steadyNow();
        submit(next);
    });
}

void load_run::close()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (--m_open == 0) {
        m_changed.notify_all();
    }
}

} // namespace daisypass
