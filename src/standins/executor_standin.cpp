#include "standins/executor_standin.h"

#include "standins/json_answer.h"
#include "standins/standin_server.h"

#include "base/clock.h"

#include <algorithm>
#include <charconv>

namespace daisypass {
namespace {

using wire::json;

constexpr int availablePercent = 100;

std::int64_t parseDurationMs(std::string_view payload)
{
    const std::size_t at = payload.find("ms=");
    std::int64_t millis = 100;
    if (at != std::string_view::npos) {
        std::from_chars(payload.data() + at + 3, payload.data() + payload.size(), millis);
    }
    return millis;
}

} // namespace

executor_standin::executor_standin(asio::io_context &context,
                                   store_standin &store,
                                   executor_options options,
                                   std::function<void(const executor_event &)> observe)
    : m_context(context)
    , m_store(store)
    , m_options(std::move(options))
    , m_observe(std::move(observe))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_leaseTimer(context)
    , m_heartbeatTimer(context)
{
    m_startedUnixMs = unixMillis();
}

executor_standin::~executor_standin() = default;

bool executor_standin::start(failure &reason)
{
    m_server = startServer({"127.0.0.1", 0}, m_context, reason, [this](const http_request &request, const http_responder &respond) {
        handle(request, respond);
    });
    if (!m_server) {
        return false;
    }
    sendHeartbeat();
    return true;
}

std::int64_t executor_standin::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
}

json executor_standin::baseReply() const
{
    return json{{"ClockMs", clockMs()}, {"born", m_startedUnixMs}};
}

void executor_standin::writeEntry()
{
    const json entry{{"Service", m_options.pool},
                     {"Address", "127.0.0.1:" + std::to_string(m_server->port())},
                     {"Zone", "zone-a"},
                     {"Version", "v1"},
                     {"Slots", 8},
                     {"State", m_draining ? "draining" : "ready"},
                     {"ColdLeftMs", 0},
                     {"Capacity", {{"Cpu", m_options.capacity.cpu}, {"MemMb", m_options.capacity.memoryMb}, {"Gpu", m_options.capacity.gpu}}},
                     {"Labels", {"a", m_options.rack}},
                     {"Machine", m_options.vm},
                     {"ClockMs", clockMs()},
                     {"born", m_startedUnixMs},
                     {"Sequence", ++m_sequence}};
    m_store.put({"servers", "", m_options.id}, wire::dump(entry));
}

void executor_standin::sendHeartbeat()
{
    if (m_left) {
        return;
    }
    writeEntry();
    m_heartbeatTimer.expires_after(m_options.heartbeatInterval);
    m_heartbeatTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sendHeartbeat();
        }
    });
}

void executor_standin::leave()
{
    m_left = true;
    m_heartbeatTimer.cancel();
    std::vector<std::string> tasks;
    for (const std::pair<const std::string, run_state> &run : m_runs) {
        tasks.push_back(run.first);
    }
    for (const std::string &task : tasks) {
        endRun(task, "stopped");
    }
    m_store.remove({"servers", "", m_options.id});
    if (m_server) {
        m_server->stop();
    }
}

void executor_standin::setDraining()
{
    m_draining = true;
    writeEntry();
}

void executor_standin::handle(const http_request &request, const http_responder &respond)
{
    if (m_silent || m_left) {
        return;
    }
    const std::string_view expectedInstance = findHeader(request.headers, "X-Daisypass-Expected-Instance");
    if (!expectedInstance.empty() && expectedInstance != m_options.id) {
        respond(jsonResponse(statusMisdirected, json::object()));
        return;
    }
    const std::optional<json> body = wire::parseObject(request.body);
    if (!body) {
        respond(jsonResponse(statusBadRequest, baseReply()));
        return;
    }
    if (hasStaleToken(*body)) {
        json refused = baseReply();
        refused["Reason"] = "fence";
        respond(jsonResponse(statusConflict, refused));
        return;
    }
    if (request.path == "/-/run-start") {
        startRun(*body, respond);
    } else if (request.path == "/-/run-stop") {
        stopRun(*body, respond);
    } else if (request.path == "/-/hold") {
        poll(*body, respond);
    } else if (request.path == "/-/pace") {
        respond(jsonResponse(statusOk, baseReply()));
    } else {
        respond(jsonResponse(statusNotFound, baseReply()));
    }
}

bool executor_standin::hasStaleToken(const json &body)
{
    const std::int64_t token = wire::integerIn(body, "FenceToken").value_or(0);
    if (token < m_fencingToken) {
        return true;
    }
    m_fencingToken = token;
    return false;
}

void executor_standin::extendLease(const json &body)
{
    const std::optional<std::int64_t> end = wire::integerIn(body, "DeadlineMs");
    if (!end) {
        return;
    }
    const std::int64_t latestEndMs = clockMs() + m_options.maxLease.count();
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(*end, latestEndMs));
    m_leaseTimer.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(0, m_leaseEndMs - clockMs())));
    m_leaseTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            expireLease();
        }
    });
}

void executor_standin::expireLease()
{
    std::vector<std::string> tasks;
    for (const std::pair<const std::string, run_state> &run : m_runs) {
        tasks.push_back(run.first);
    }
    for (const std::string &task : tasks) {
        endRun(task, "lapsed");
    }
}

void executor_standin::startRun(const json &body, const http_responder &respond)
{
    const std::string task = wire::stringIn(body, "Task").value_or("");
    const int run = static_cast<int>(wire::integerIn(body, "Run").value_or(0));
    json refused = baseReply();
    const auto refusedUpTo = m_refusedUpTo.find(task);
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run == run) {
        extendLease(body);
        respond(jsonResponse(statusOk, baseReply()));
        return;
    }
    if (refusedUpTo != m_refusedUpTo.end() && run <= refusedUpTo->second) {
        refused["Reason"] = "old";
        respond(jsonResponse(statusConflict, refused));
        return;
    }
    if (wire::integerIn(body, "DeadlineMs").value_or(0) <= clockMs()) {
        refused["Reason"] = "late";
        respond(jsonResponse(statusConflict, refused));
        return;
    }
    extendLease(body);
    const std::string payload = wire::stringIn(body, "Spec").value_or("");
    run_state state;
    state.run = run;
    state.startedAtMs = clockMs();
    state.durationMs = parseDurationMs(payload);
    state.fails = payload.find("fail") != std::string::npos;
    state.isLongRunning = payload.find("lasts") != std::string::npos;
    state.timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(state.durationMs));
    if (!state.isLongRunning) {
        state.timer->async_wait([this, task, run, fails = state.fails](const asio::error_code &error) {
            const auto found = m_runs.find(task);
            if (!error && found != m_runs.end() && found->second.run == run) {
                endRun(task, fails ? "failed" : "done");
            }
        });
    }
    m_runs[task] = std::move(state);
    m_observe({executor_event::kind::Started, m_options.id, task, run, ""});
    respond(jsonResponse(statusOk, baseReply()));
}

void executor_standin::endRun(const std::string &task, const std::string &result)
{
    const auto found = m_runs.find(task);
    const int run = found->second.run;
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    m_ends.push_back({++m_lastEnd, task, run, result});
    m_runs.erase(found);
    m_observe({executor_event::kind::Ended, m_options.id, task, run, result});
    const std::vector<std::shared_ptr<pending_poll>> polls = std::move(m_polls);
    m_polls.clear();
    for (const std::shared_ptr<pending_poll> &waiting : polls) {
        waiting->timer->cancel();
        answerPoll(waiting->respond);
    }
}

void executor_standin::stopRun(const json &body, const http_responder &respond)
{
    const std::string task = wire::stringIn(body, "Task").value_or("");
    const int run = static_cast<int>(wire::integerIn(body, "Run").value_or(0));
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run <= run) {
        endRun(task, "stopped");
    }
    respond(jsonResponse(statusOk, baseReply()));
}

void executor_standin::poll(const json &body, const http_responder &respond)
{
    extendLease(body);
    const std::int64_t acknowledged = wire::integerIn(body, "AckCursor").value_or(0);
    std::erase_if(m_ends, [&](const ended_run &end) {
        return end.number <= acknowledged;
    });
    const std::int64_t waitMs = wire::integerIn(body, "WaitMs").value_or(0);
    if (!m_ends.empty() || waitMs == 0) {
        answerPoll(respond);
        return;
    }
    const std::shared_ptr<pending_poll> waiting = std::make_shared<pending_poll>();
    waiting->respond = respond;
    waiting->timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(waitMs));
    waiting->timer->async_wait([this, waiting](const asio::error_code &error) {
        if (!error) {
            std::erase(m_polls, waiting);
            answerPoll(waiting->respond);
        }
    });
    m_polls.push_back(waiting);
}

void executor_standin::answerPoll(const http_responder &respond)
{
    json answer = baseReply();
    answer["Running"] = json::array();
    answer["EndedRuns"] = json::array();
    for (const std::pair<const std::string, run_state> &run : m_runs) {
        const std::int64_t elapsedMs = clockMs() - run.second.startedAtMs;
        const std::int64_t percent
            = run.second.isLongRunning ? availablePercent : std::min<std::int64_t>(99, 100 * elapsedMs / std::max<std::int64_t>(1, run.second.durationMs));
        answer["Running"].push_back(json::array({run.first, run.second.run, "", percent, 0}));
    }
    for (const ended_run &end : m_ends) {
        answer["EndedRuns"].push_back(json::array({end.number, end.task, end.run, end.result, ""}));
    }
    respond(jsonResponse(statusOk, answer));
}

} // namespace daisypass
