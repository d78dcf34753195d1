#include "executor.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusWrongInstance = 421;
constexpr int statusNotFound = 404;
constexpr millis stepMs = 10;
constexpr int fullPercent = 100;
bool hasWord(const std::string &spec, const std::string &word)
{
    return spec.find(word) != std::string::npos;
}

double workOf(const std::string &spec)
{
    const std::size_t at = spec.find("ms=");
    return at == std::string::npos ? 0.0 : std::stod(spec.substr(at + 3));
}

} // namespace

executor::executor(std::string id, std::string service, std::string machine, executor_kind kind, store &rows, event_record &record)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_machine(std::move(machine))
    , m_store(rows)
    , m_record(record)
    , m_server([this](const http_request &request) {
        return handle(request);
    })
    , m_kind(std::move(kind))
{
}

bool executor::start()
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_bornUnixMs = unixMs();
        m_startedAt = steadyMs();
        m_workedAt = m_startedAt;
        m_up = true;
    }
    if (!m_server.start(m_server.port())) {
        return false;
    }
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        writeEntry();
    }
    std::thread([this, life = m_bornUnixMs] {
        while (true) {
            sleepMs(stepMs);
            const std::lock_guard<std::mutex> guard(m_lock);
            if (!m_up || m_bornUnixMs != life) {
                return;
            }
            work();
        }
    }).detach();
    return true;
}

void executor::crash()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_up = false;
    m_server.crash();
    m_record.add("executor " + m_id + " ends with " + std::to_string(m_runs.size()) + " runs");
    m_runs.clear();
    m_refusedUpTo.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_sequence = 0;
    m_fenceToken = 0;
    m_leaseEndMs = 0;
    m_ended.notify_all();
}

void executor::leave()
{
    crash();
    m_store.remove({"servers", "", m_id});
}

bool executor::restart(executor_kind kind)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_kind = std::move(kind);
        m_record.add("executor " + m_id + " starts again as kind " + m_kind.label + " with Cpu " + std::to_string(m_kind.cpu));
    }
    return start();
}

void executor::cutFromStore(bool cut)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_cutFromStore = cut;
    m_record.add("executor " + m_id + (cut ? " is cut off from the store" : " reaches the store again"));
}

void executor::onStart(start_listener listener)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_onStart = std::move(listener);
}

int executor::failedEnds()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_failedEnds;
}

void executor::failRun(const std::string &task)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        if (m_runs[i].task == task) {
            endRun(i, "failed");
            return;
        }
    }
}

std::vector<std::string> executor::tasks()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::string> names;
    for (const run &one : m_runs) {
        names.push_back(one.task);
    }
    return names;
}

millis executor::clockMs() const
{
    return steadyMs() - m_startedAt;
}

json executor::reply() const
{
    return json{{"ClockMs", clockMs()}, {"born", m_bornUnixMs}};
}

void executor::writeEntry()
{
    if (m_cutFromStore) {
        return;
    }
    m_nextHeartbeatAt = steadyMs() + m_bounds.heartbeatMs;
    m_store.put({"servers", "", m_id},
                json{{"Service", m_service},
                     {"Address", "127.0.0.1:" + std::to_string(m_server.port())},
                     {"Zone", "zone-a"},
                     {"Version", "v1"},
                     {"Slots", 8},
                     {"State", "ready"},
                     {"ColdLeftMs", 0},
                     {"Capacity", {{"Cpu", m_kind.cpu}, {"MemMb", m_kind.memoryMb}, {"Gpu", 0}}},
                     {"Labels", {m_kind.label, "r1-1"}},
                     {"Machine", m_machine},
                     {"ClockMs", clockMs()},
                     {"born", m_bornUnixMs},
                     {"Sequence", ++m_sequence}});
}

void executor::work()
{
    const millis now = steadyMs();
    const double worked = static_cast<double>(now - std::exchange(m_workedAt, now));
    if (now >= m_nextHeartbeatAt) {
        writeEntry();
    }
    for (std::size_t i = m_runs.size(); i-- > 0;) {
        run &one = m_runs[i];
        const bool lasts = hasWord(one.spec, "lasts");
        one.workLeftMs -= lasts ? 0.0 : worked * one.pace / fullPercent;
        if (one.stopsAt && now >= *one.stopsAt) {
            endRun(i, "stopped");
        } else if (clockMs() >= m_leaseEndMs) {
            endRun(i, "lapsed");
        } else if (!lasts && one.workLeftMs <= 0) {
            endRun(i, "done");
        }
    }
}

void executor::endRun(std::size_t index, const std::string &how)
{
    const run ended = m_runs[index];
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(index));
    m_refusedUpTo[ended.task] = std::max(m_refusedUpTo[ended.task], ended.number);
    m_ends.push_back(json::array({++m_lastEnd, ended.task, ended.number, how, ""}));
    m_failedEnds += how == "failed" ? 1 : 0;
    m_record.add("run " + std::to_string(ended.number) + " of " + ended.task + " ends " + how + " on " + m_id);
    m_ended.notify_all();
}

http_response executor::handle(const http_request &request)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (!m_up) {
        return {0, "", true};
    }
    const auto expected = request.headers.find("x-daisypass-expected-instance");
    if (expected != request.headers.end() && expected->second != m_id) {
        return {statusWrongInstance, "{}"};
    }
    const json body = json::parse(request.body, nullptr, false);
    const bool knownCall = request.path == "/-/run-start" || request.path == "/-/run-stop" || request.path == "/-/hold" || request.path == "/-/pace";
    if (!knownCall || !body.is_object()) {
        return {statusNotFound, reply().dump()};
    }
    const std::int64_t token = body.value("FenceToken", std::int64_t{0});
    if (token < m_fenceToken) {
        json refused = reply();
        refused["Reason"] = "fence";
        return {statusConflict, refused.dump()};
    }
    m_fenceToken = token;
    if (request.path == "/-/run-start") {
        return startRun(body, reply());
    }
    if (request.path == "/-/run-stop") {
        return stopRun(body, reply());
    }
    if (request.path == "/-/pace") {
        return setPace(body, reply());
    }
    return hold(guard, body);
}

void executor::extendLease(const json &body)
{
    if (body.contains("DeadlineMs")) {
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(body["DeadlineMs"].get<millis>(), clockMs() + m_bounds.maxHoldMs));
    }
}

http_response executor::startRun(const json &body, json reply)
{
    run started;
    started.task = body.value("Task", "");
    started.number = body.value("Run", 0);
    started.spec = body.value("Spec", "");
    started.startedAt = steadyMs();
    started.workMs = workOf(started.spec);
    started.workLeftMs = started.workMs;
    const bool present = std::any_of(m_runs.begin(), m_runs.end(), [&](const run &one) {
        return one.task == started.task && one.number == started.number;
    });
    if (present) {
        extendLease(body);
        return {statusOk, reply.dump()};
    }
    const auto refused = m_refusedUpTo.find(started.task);
    if (refused != m_refusedUpTo.end() && started.number <= refused->second) {
        extendLease(body);
        reply["Reason"] = "old";
        return {statusConflict, reply.dump()};
    }
    if (body.value("DeadlineMs", millis{0}) <= clockMs()) {
        reply["Reason"] = "late";
        return {statusConflict, reply.dump()};
    }
    extendLease(body);
    m_runs.push_back(started);
    m_record.add("run " + std::to_string(started.number) + " of " + started.task + " starts on " + m_id);
    if (m_onStart) {
        m_onStart(m_id, started, m_runs, m_kind);
    }
    return {statusOk, reply.dump()};
}

http_response executor::stopRun(const json &body, const json &reply)
{
    const std::string task = body.value("Task", "");
    const int number = body.value("Run", 0);
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], number);
    for (run &one : m_runs) {
        if (one.task == task && one.number <= number && !one.stopsAt) {
            one.stopsAt = steadyMs() + m_bounds.stopMs / 2;
            m_record.add("run " + std::to_string(one.number) + " of " + task + " is stopped on " + m_id);
        }
    }
    return {statusOk, reply.dump()};
}

http_response executor::setPace(const json &body, const json &reply)
{
    for (run &one : m_runs) {
        if (one.task == body.value("Task", "") && one.number == body.value("Run", 0)) {
            one.pace = body.value("Percent", fullPercent);
        }
    }
    return {statusOk, reply.dump()};
}

http_response executor::hold(std::unique_lock<std::mutex> &guard, const json &body)
{
    extendLease(body);
    const std::int64_t acknowledged = body.value("AckCursor", std::int64_t{0});
    std::erase_if(m_ends, [acknowledged](const json &end) {
        return end[0].get<std::int64_t>() <= acknowledged;
    });
    const millis life = m_bornUnixMs;
    m_ended.wait_for(guard, std::chrono::milliseconds(body.value("WaitMs", 0)), [this, life] {
        return !m_ends.empty() || !m_up || m_bornUnixMs != life;
    });
    if (!m_up || m_bornUnixMs != life) {
        return {0, "", true};
    }
    json lists = reply();
    lists["Running"] = json::array();
    for (const run &one : m_runs) {
        const bool lasts = hasWord(one.spec, "lasts");
        const int done = one.workMs <= 0 ? 0 : static_cast<int>(fullPercent * (one.workMs - one.workLeftMs) / one.workMs);
        lists["Running"].push_back(json::array({one.task, one.number, "", lasts ? fullPercent : std::min(done, fullPercent - 1), 0}));
    }
    lists["EndedRuns"] = m_ends;
    return {statusOk, lists.dump()};
}

} // namespace review
