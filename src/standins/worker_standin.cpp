#include "standins/worker_standin.h"

#include "standins/json_answer.h"
#include "standins/standin_server.h"

#include "base/clock.h"

#include <algorithm>
#include <charconv>

namespace daisypass {
namespace {

using wire::json;

constexpr int atWorkPercent = 100;

std::int64_t millisIn(std::string_view payload)
{
    const std::size_t at = payload.find("ms=");
    std::int64_t millis = 100;
    if (at != std::string_view::npos) {
        std::from_chars(payload.data() + at + 3, payload.data() + payload.size(), millis);
    }
    return millis;
}

} // namespace

worker_standin::worker_standin(asio::io_context &context, store_standin &store, worker_options options, std::function<void(const worker_event &)> observe)
    : m_context(context)
    , m_store(store)
    , m_options(std::move(options))
    , m_observe(std::move(observe))
    , m_began(std::chrono::steady_clock::now())
    , m_leaseTimer(context)
    , m_beatTimer(context)
{
    m_bornUnixMs = unixMillis();
}

worker_standin::~worker_standin() = default;

bool worker_standin::start(failure &reason)
{
    m_server = startServer({"127.0.0.1", 0}, m_context, reason, [this](const http_request &request, const http_responder &respond) {
        handle(request, respond);
    });
    if (!m_server) {
        return false;
    }
    beat();
    return true;
}

std::int64_t worker_standin::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_began).count();
}

json worker_standin::reply() const
{
    return json{{"ClockMs", clockMs()}, {"born", m_bornUnixMs}};
}

void worker_standin::writeEntry()
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
                     {"born", m_bornUnixMs},
                     {"Sequence", ++m_sequence}};
    m_store.put({"servers", "", m_options.id}, wire::dump(entry));
}

void worker_standin::beat()
{
    if (m_left) {
        return;
    }
    writeEntry();
    m_beatTimer.expires_after(m_options.heartbeat);
    m_beatTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            beat();
        }
    });
}

void worker_standin::leave()
{
    m_left = true;
    m_beatTimer.cancel();
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

void worker_standin::setDraining()
{
    m_draining = true;
    writeEntry();
}

void worker_standin::handle(const http_request &request, const http_responder &respond)
{
    if (m_silent || m_left) {
        return;
    }
    const std::string_view wanted = findHeader(request.headers, "X-Daisypass-Expected-Instance");
    if (!wanted.empty() && wanted != m_options.id) {
        respond(jsonAnswer(statusMisdirected, json::object()));
        return;
    }
    const std::optional<json> body = wire::parseObject(request.body);
    if (!body) {
        respond(jsonAnswer(statusBadRequest, reply()));
        return;
    }
    if (fenced(*body)) {
        json refused = reply();
        refused["Reason"] = "fence";
        respond(jsonAnswer(statusConflict, refused));
        return;
    }
    if (request.path == "/-/run-start") {
        startRun(*body, respond);
    } else if (request.path == "/-/run-stop") {
        stopRun(*body, respond);
    } else if (request.path == "/-/hold") {
        hold(*body, respond);
    } else if (request.path == "/-/pace") {
        respond(jsonAnswer(statusOk, reply()));
    } else {
        respond(jsonAnswer(statusNotFound, reply()));
    }
}

bool worker_standin::fenced(const json &body)
{
    const std::int64_t token = wire::integerIn(body, "FenceToken").value_or(0);
    if (token < m_fence) {
        return true;
    }
    m_fence = token;
    return false;
}

void worker_standin::extendLease(const json &body)
{
    const std::optional<std::int64_t> end = wire::integerIn(body, "DeadlineMs");
    if (!end) {
        return;
    }
    const std::int64_t most = clockMs() + m_options.maxLease.count();
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(*end, most));
    m_leaseTimer.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(0, m_leaseEndMs - clockMs())));
    m_leaseTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            lapse();
        }
    });
}

void worker_standin::lapse()
{
    std::vector<std::string> tasks;
    for (const std::pair<const std::string, run_state> &run : m_runs) {
        tasks.push_back(run.first);
    }
    for (const std::string &task : tasks) {
        endRun(task, "lapsed");
    }
}

void worker_standin::startRun(const json &body, const http_responder &respond)
{
    const std::string task = wire::stringIn(body, "Task").value_or("");
    const int run = static_cast<int>(wire::integerIn(body, "Run").value_or(0));
    json refused = reply();
    const auto refusedUpTo = m_refusedUpTo.find(task);
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run == run) {
        extendLease(body);
        respond(jsonAnswer(statusOk, reply()));
        return;
    }
    if (refusedUpTo != m_refusedUpTo.end() && run <= refusedUpTo->second) {
        refused["Reason"] = "old";
        respond(jsonAnswer(statusConflict, refused));
        return;
    }
    if (wire::integerIn(body, "DeadlineMs").value_or(0) <= clockMs()) {
        refused["Reason"] = "late";
        respond(jsonAnswer(statusConflict, refused));
        return;
    }
    extendLease(body);
    const std::string payload = wire::stringIn(body, "Spec").value_or("");
    run_state state;
    state.run = run;
    state.startedAt = clockMs();
    state.takesMs = millisIn(payload);
    state.fails = payload.find("fail") != std::string::npos;
    state.lasts = payload.find("lasts") != std::string::npos;
    state.timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(state.takesMs));
    if (!state.lasts) {
        state.timer->async_wait([this, task, run, fails = state.fails](const asio::error_code &error) {
            const auto found = m_runs.find(task);
            if (!error && found != m_runs.end() && found->second.run == run) {
                endRun(task, fails ? "failed" : "done");
            }
        });
    }
    m_runs[task] = std::move(state);
    m_observe({worker_event::kind::Started, m_options.id, task, run, ""});
    respond(jsonAnswer(statusOk, reply()));
}

void worker_standin::endRun(const std::string &task, const std::string &how)
{
    const auto found = m_runs.find(task);
    const int run = found->second.run;
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    m_ends.push_back({++m_lastEnd, task, run, how});
    m_runs.erase(found);
    m_observe({worker_event::kind::Ended, m_options.id, task, run, how});
    const std::vector<std::shared_ptr<waiting_hold>> holds = std::move(m_holds);
    m_holds.clear();
    for (const std::shared_ptr<waiting_hold> &waiting : holds) {
        waiting->timer->cancel();
        answerHold(waiting->respond);
    }
}

void worker_standin::stopRun(const json &body, const http_responder &respond)
{
    const std::string task = wire::stringIn(body, "Task").value_or("");
    const int run = static_cast<int>(wire::integerIn(body, "Run").value_or(0));
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run <= run) {
        endRun(task, "stopped");
    }
    respond(jsonAnswer(statusOk, reply()));
}

void worker_standin::hold(const json &body, const http_responder &respond)
{
    extendLease(body);
    const std::int64_t acknowledged = wire::integerIn(body, "AckCursor").value_or(0);
    std::erase_if(m_ends, [&](const end_row &end) {
        return end.number <= acknowledged;
    });
    const std::int64_t waitMs = wire::integerIn(body, "WaitMs").value_or(0);
    if (!m_ends.empty() || waitMs == 0) {
        answerHold(respond);
        return;
    }
    const std::shared_ptr<waiting_hold> waiting = std::make_shared<waiting_hold>();
    waiting->respond = respond;
    waiting->timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(waitMs));
    waiting->timer->async_wait([this, waiting](const asio::error_code &error) {
        if (!error) {
            std::erase(m_holds, waiting);
            answerHold(waiting->respond);
        }
    });
    m_holds.push_back(waiting);
}

void worker_standin::answerHold(const http_responder &respond)
{
    json answer = reply();
    answer["Running"] = json::array();
    answer["EndedRuns"] = json::array();
    for (const std::pair<const std::string, run_state> &run : m_runs) {
        const std::int64_t worked = clockMs() - run.second.startedAt;
        const std::int64_t percent
            = run.second.lasts ? atWorkPercent : std::min<std::int64_t>(99, 100 * worked / std::max<std::int64_t>(1, run.second.takesMs));
        answer["Running"].push_back(json::array({run.first, run.second.run, "", percent, 0}));
    }
    for (const end_row &end : m_ends) {
        answer["EndedRuns"].push_back(json::array({end.number, end.task, end.run, end.how, ""}));
    }
    respond(jsonAnswer(statusOk, answer));
}

} // namespace daisypass
