#include "standins/load_run.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// Time that the caller waits for an answer beyond the deadline and the run time; covers the entry's own time limits.
constexpr std::chrono::milliseconds answerMargin{15'000};
constexpr std::chrono::milliseconds connectLimit{1'000};
// More than an open-loop load needs below saturation. Above saturation requests queue in the client, and their latency includes the wait.
constexpr int connectionsPerEntry = 500;

constexpr std::string_view requestIdHeader = "Daisypass-Request-Id";

caller_outcome outcomeFromName(std::string_view name)
{
    for (caller_outcome outcome :
         {caller_outcome::Completed, caller_outcome::Failed, caller_outcome::NotRun, caller_outcome::Unknown, caller_outcome::Expired}) {
        if (name == outcomeName(outcome)) {
            return outcome;
        }
    }
    return caller_outcome::Other;
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
        report.outcome = result.state == send_state::NotSent ? caller_outcome::NotRun : caller_outcome::Unknown;
        report.reason = codeName(result.reason.code);
    } else if (!refusal.empty()) {
        report.outcome = caller_outcome::NotRun;
        report.reason = refusal;
    } else if (response.status >= 500) {
        report.outcome = caller_outcome::Failed;
    } else {
        report.outcome = findHeader(response.headers, requestIdHeader) == report.requestId ? caller_outcome::Completed : caller_outcome::Unknown;
        report.answer = response.body;
    }
}

} // namespace

void readOutcome(const http_result &result, submission_report &report)
{
    if (result.state != send_state::Answered) {
        // A request that was not sent has certainly not run; one that was sent without an answer may have run.
        report.outcome = result.state == send_state::NotSent ? caller_outcome::NotRun : caller_outcome::Unknown;
        report.reason = "caller_" + std::string(codeName(result.reason.code));
        report.detail = describe(result.reason);
        return;
    }
    const http_response &response = result.response;
    report.outcome = outcomeFromName(findHeader(response.headers, "Daisypass-Outcome"));
    report.requestId = findHeader(response.headers, requestIdHeader);
    if (report.outcome == caller_outcome::Completed) {
        report.answer = response.body;
        return;
    }
    const nlohmann::json body = parsed(response.body);
    if (report.outcome == caller_outcome::Other) {
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
    // A prefix unique to this load run, because two load runs against the same targets must not share tokens.
    m_tokenPrefix = std::to_string(wallNow().count() % 1'000'000'000) + '.' + std::to_string(m_options.seed) + '.';
}

load_run::~load_run()
{
    m_timers.reset();
    m_client.reset();
}

void load_run::start()
{
    m_startedAt = steadyNow();
    m_pending = m_options.pools.size();
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
        return m_pending == 0;
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
        releasePending();
        return;
    }
    const duration left = std::max(duration(0), m_startedAt + next - steadyNow());
    m_timers->after(left, [this, pool, next] {
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            ++m_pending;
        }
        submit(createAttempt(pool, m_startedAt + next));
        scheduleNext(pool, next);
    });
}

load_run::attempt_ptr load_run::createAttempt(std::size_t pool, timestamp plannedAt)
{
    std::uniform_real_distribution<double> share(0, 1);
    const load_pool &chosen = m_options.pools[pool];
    const bool isLong = share(m_random) < m_options.longShare;
    attempt_ptr created = std::make_shared<attempt>();
    created->pool = pool;
    created->entry = m_random() % m_options.entries.size();
    created->run = isLong ? m_options.longRun : m_options.shortRun;
    created->plannedAt = plannedAt;
    created->sample.requestClass = isLong ? "long" : "short";
    submission_report &report = created->sample.report;
    report.token = m_tokenPrefix + std::to_string(++m_requestCount);
    report.pool = chosen.name;
    report.team = chosen.teams[m_random() % chosen.teams.size()];
    if (share(m_random) < m_options.keyedShare) {
        report.key = "key-" + report.token;
    } else {
        report.repeatable = share(m_random) < m_options.repeatableShare;
    }
    return created;
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
            // Without a ticket the request was not submitted, so it has not run.
            readOutcome(result, report);
            report.outcome = caller_outcome::NotRun;
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
    current->sample.latency = steadyNow() - current->plannedAt;
    const submission_report &report = current->sample.report;
    if (report.outcome == caller_outcome::Unknown && !report.key.empty() && report.attempt < m_options.attempts) {
        resubmit(*current);
    }
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_samples.push_back(std::move(current->sample));
    }
    releasePending();
}

void load_run::resubmit(const attempt &last)
{
    attempt_ptr next = std::make_shared<attempt>(last);
    submission_report &report = next->sample.report;
    ++report.attempt;
    report.outcome = caller_outcome::Other;
    report.reason.clear();
    report.requestId.clear();
    report.answer.clear();
    next->entry = (last.entry + 1) % m_options.entries.size();
    next->sample.requestClass = last.sample.requestClass;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        ++m_pending;
    }
    m_timers->after(m_options.resubmitDelay, [this, next] {
        next->plannedAt = steadyNow();
        submit(next);
    });
}

void load_run::releasePending()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (--m_pending == 0) {
        m_changed.notify_all();
    }
}

} // namespace daisypass
