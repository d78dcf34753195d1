#include "platform.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxTransactionBytes = 1'000'000;
constexpr std::size_t maxRows = 500;
constexpr std::size_t maxEnds = 500;
constexpr std::int64_t transactionMs = 3;

response answer(int status, const json &body)
{
    return {status, body.dump()};
}

std::string textIn(const json &body, const char *name)
{
    return body.contains(name) && body[name].is_string() ? body[name].get<std::string>() : std::string();
}

std::int64_t numberIn(const json &body, const char *name, std::int64_t fallback = 0)
{
    return body.contains(name) && body[name].is_number() ? body[name].get<std::int64_t>() : fallback;
}

json listIn(const json &body, const char *name)
{
    return body.contains(name) && body[name].is_array() ? body[name] : json::array();
}

} // namespace

record::record(const std::string &file)
    : m_file(file)
{
}

void record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_file << nowMs() << ' ' << text << std::endl;
}

std::size_t record::started(const std::string &executor, const std::string &task, int run)
{
    line("run " + task + " run " + std::to_string(run) + " starts on " + executor);
    const std::lock_guard<std::mutex> guard(m_lock);
    run_span span;
    span.executor = executor;
    span.task = task;
    span.run = run;
    span.startedAt = nowMs();
    m_runs.push_back(span);
    return m_runs.size() - 1;
}

void record::ended(std::size_t span, const std::string &how)
{
    run_span ended;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_runs[span].endedAt = nowMs();
        m_runs[span].how = how;
        ended = m_runs[span];
    }
    line("run " + ended.task + " run " + std::to_string(ended.run) + " ends on " + ended.executor + ": " + how);
}

void record::noted(std::size_t span)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_runs[span].notedAt = nowMs();
}

std::vector<run_span> record::runs() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_runs;
}

std::vector<run_span> record::runsOf(const std::string &prefix) const
{
    std::vector<run_span> found;
    for (const run_span &span : runs()) {
        if (span.task.starts_with(prefix)) {
            found.push_back(span);
        }
    }
    return found;
}

store::store(record &log)
    : m_log(log)
{
}

void store::setFate(std::function<tx_fate(const json &body)> fate)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_fate = std::move(fate);
}

void store::setRefusal(std::function<bool(const request &call)> refuses)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_refuses = std::move(refuses);
}

store::key_type store::keyOf(const json &item)
{
    return {textIn(item, "Table"), textIn(item, "part"), textIn(item, "Key")};
}

json store::rowObject(const key_type &key) const
{
    json item{{"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}};
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        item["Deleted"] = true;
        item["Ver"] = m_changes.at(key);
    } else {
        item["Value"] = encodeBase64(found->second.value);
        item["Ver"] = found->second.version;
    }
    return item;
}

void store::put(const std::string &table, const std::string &key, const json &value)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const key_type row{table, "", key};
    m_rows[row] = {value.dump(), ++m_version};
    m_changes[row] = m_version;
    m_changed.notify_all();
}

void store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const key_type row{table, "", key};
    if (m_rows.erase(row) > 0) {
        m_changes[row] = ++m_version;
        m_changed.notify_all();
    }
}

std::optional<response> store::handle(const request &call)
{
    std::function<bool(const request &)> refuses;
    std::function<tx_fate(const json &)> fate;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        refuses = m_refuses;
        fate = m_fate;
    }
    if (refuses && refuses(call)) {
        return response{statusUnavailable, ""};
    }
    if (call.path == "/-/rows-get") {
        return get(call);
    }
    if (call.path == "/-/rows-feed") {
        return feed(call);
    }
    if (call.path != "/-/rows-tx") {
        return response{statusNotFound, ""};
    }
    const json body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) {
        return response{statusBadRequest, ""};
    }
    if (call.body.size() > maxTransactionBytes) {
        m_log.line("store refuses a transaction of " + std::to_string(call.body.size()) + " bytes with 400");
        return response{statusBadRequest, ""};
    }
    switch (fate ? fate(body) : tx_fate::Answered) {
    case tx_fate::Answered:
        return transact(body);
    case tx_fate::AnswerLost:
        transact(body);
        return response{statusLost, ""};
    case tx_fate::DoneLate:
        std::thread([this, body] {
            sleepMs(m_lateMs);
            m_log.line("store carries out a late transaction: " + std::to_string(transact(body).status));
        }).detach();
        return response{statusLost, ""};
    case tx_fate::Refused:
        break;
    }
    return response{statusUnavailable, ""};
}

response store::transact(const json &body)
{
    sleepMs(transactionMs);
    const json puts = listIn(body, "Puts");
    if (listIn(body, "ExpectedRev").size() + puts.size() + listIn(body, "Deletes").size() > maxEntries) {
        m_log.line("store refuses a transaction of too many entries with 400");
        return {statusBadRequest, ""};
    }
    for (const json &item : puts) {
        const std::string table = textIn(item, "Table");
        if (table == "op" || table == "servers") {
            return {statusForbidden, ""};
        }
        const std::size_t bytes = decodeBase64(textIn(item, "Value")).size();
        if (bytes > rowBytes) {
            m_log.line("store refuses a row of " + std::to_string(bytes) + " bytes with 400: " + table + '/' + textIn(item, "Key"));
            return {statusBadRequest, ""};
        }
    }
    return apply(body);
}

response store::apply(const json &body)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    json current = json::array();
    bool holds = true;
    for (const json &item : listIn(body, "ExpectedRev")) {
        const auto found = m_rows.find(keyOf(item));
        holds = holds && numberIn(item, "Ver", -1) == (found == m_rows.end() ? 0 : found->second.version);
        if (found != m_rows.end()) {
            current.push_back(rowObject(found->first));
        }
    }
    if (!holds) {
        return answer(statusPreconditionFailed, json{{"rows", current}, {"Ver", m_version}, {"NowMs", nowMs()}});
    }
    ++m_version;
    for (const json &item : listIn(body, "Puts")) {
        m_rows[keyOf(item)] = {decodeBase64(textIn(item, "Value")), m_version};
        m_changes[keyOf(item)] = m_version;
    }
    for (const json &item : listIn(body, "Deletes")) {
        if (m_rows.erase(keyOf(item)) > 0) {
            m_changes[keyOf(item)] = m_version;
        }
    }
    m_changed.notify_all();
    return answer(200, json{{"Ver", m_version}, {"NowMs", nowMs()}});
}

response store::get(const request &call)
{
    sleepMs(transactionMs);
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::string table = call.parameter("Table");
    const std::string part = call.parameter("part");
    const std::string to = call.parameter("To");
    const std::size_t limit = std::min(maxRows, call.number("Limit") > 0 ? static_cast<std::size_t>(call.number("Limit")) : maxRows);
    json rows = json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, call.parameter("From")}); row != m_rows.end(); ++row) {
        const bool outside = std::get<0>(row->first) != table || std::get<1>(row->first) != part || (!to.empty() && std::get<2>(row->first) >= to);
        more = !outside && rows.size() >= limit;
        if (outside || more) {
            break;
        }
        rows.push_back(rowObject(row->first));
    }
    return answer(200, json{{"rows", rows}, {"HasMore", more}, {"Ver", m_version}, {"NowMs", nowMs()}});
}

response store::feed(const request &call)
{
    const std::string table = call.parameter("Table");
    const std::int64_t after = call.number("After");
    const std::int64_t deadline = nowMs() + call.number("WaitMs");
    std::unique_lock<std::mutex> guard(m_lock);
    while (true) {
        std::vector<std::pair<std::int64_t, key_type>> changes;
        for (const std::pair<const key_type, std::int64_t> &change : m_changes) {
            if (std::get<0>(change.first) == table && change.second > after) {
                changes.emplace_back(change.second, change.first);
            }
        }
        if (!changes.empty() || nowMs() >= deadline) {
            std::sort(changes.begin(), changes.end());
            std::int64_t version = m_version;
            if (changes.size() > maxRows) {
                changes.resize(maxRows);
                version = changes.back().first;
            }
            json rows = json::array();
            for (const std::pair<std::int64_t, key_type> &change : changes) {
                rows.push_back(rowObject(change.second));
            }
            return answer(200, json{{"rows", rows}, {"Ver", version}, {"NowMs", nowMs()}});
        }
        m_changed.wait_for(guard, std::chrono::milliseconds(deadline - nowMs()));
    }
}

executor::executor(store &entries, record &log, executor_options options, planner plan)
    : m_entries(entries)
    , m_log(log)
    , m_options(std::move(options))
    , m_plan(std::move(plan))
    , m_startedAt(nowMs())
    , m_born(unixMs())
{
    m_server = std::make_unique<server>([this](const request &call) {
        return handle(call);
    });
    m_ticker = std::thread([this] {
        while (m_up) {
            tick();
            sleepMs(10);
        }
    });
}

executor::~executor()
{
    leave();
    m_ticker.join();
}

void executor::crash(std::int64_t downMs)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_log.line("executor " + m_options.id + " crashes");
        m_crashed = true;
        while (!m_runs.empty()) {
            end(m_runs.begin()->first, "crashed");
        }
        m_ended.notify_all();
    }
    m_server->close();
    sleepMs(downMs);
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_ends.clear();
        m_refusedUpTo.clear();
        m_fence = 0;
        m_lastEnd = 0;
        m_leaseEnd = 0;
        m_sequence = 0;
        m_startedAt = nowMs();
        m_born = unixMs();
        m_heartbeatAt = 0;
        m_crashed = false;
    }
    m_server->open();
    m_log.line("executor " + m_options.id + " has started again under its id");
}

void executor::setLate(std::function<bool(const request &call)> isLate)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_isLate = std::move(isLate);
}

bool executor::carryOutLate()
{
    request call;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_late.empty()) {
            return false;
        }
        call = m_late.front();
        m_late.erase(m_late.begin());
    }
    m_log.line("executor " + m_options.id + " carries out a late call: " + call.path + ' ' + call.body);
    carryOut(call);
    return true;
}

std::int64_t executor::clockMs() const
{
    return nowMs() - m_startedAt;
}

json executor::reply() const
{
    return json{{"ClockMs", clockMs()}, {"born", m_born}};
}

response executor::refusal(const std::string &reason) const
{
    json body = reply();
    body["Reason"] = reason;
    return answer(statusConflict, body);
}

json executor::entry()
{
    return json{{"Service", m_options.pool},
                {"Address", m_server->address()},
                {"Zone", "zagreb-a"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity", {{"Cpu", m_options.cpu}, {"MemMb", m_options.memoryMb}, {"Gpu", 0}}},
                {"Labels", {"a", m_options.rack}},
                {"Machine", m_options.machine},
                {"ClockMs", clockMs()},
                {"born", m_born},
                {"Sequence", ++m_sequence}};
}

void executor::leave()
{
    if (!m_up.exchange(false)) {
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        while (!m_runs.empty()) {
            end(m_runs.begin()->first, "left");
        }
        m_ended.notify_all();
    }
    m_server->close();
    m_entries.remove("servers", m_options.id);
}

void executor::tick()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (!m_up || m_crashed) {
        return;
    }
    const std::int64_t now = nowMs();
    std::vector<std::pair<std::string, std::string>> over;
    for (const std::pair<const std::string, running> &run : m_runs) {
        if (run.second.stopAt >= 0 && now >= run.second.stopAt) {
            over.emplace_back(run.first, "stopped");
        } else if (clockMs() >= m_leaseEnd) {
            over.emplace_back(run.first, "lapsed");
        } else if (run.second.plan.durationMs >= 0 && now >= run.second.startedAt + run.second.plan.durationMs) {
            over.emplace_back(run.first, run.second.plan.how);
        }
    }
    for (const std::pair<std::string, std::string> &run : over) {
        end(run.first, run.second);
    }
    if (now >= m_heartbeatAt) {
        m_heartbeatAt = now + heartbeatMs;
        m_entries.put("servers", m_options.id, entry());
    }
}

void executor::end(const std::string &task, const std::string &how)
{
    const running run = m_runs.at(task);
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run.run);
    m_ends.push_back({++m_lastEnd, task, run.run, how, run.span});
    m_runs.erase(task);
    m_log.ended(run.span, how);
    m_ended.notify_all();
}

std::optional<response> executor::handle(const request &call)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_isLate && m_isLate(call)) {
            m_log.line("executor " + m_options.id + " leaves a call unanswered: " + call.path + ' ' + call.body);
            m_late.push_back(call);
            return response{statusLost, ""};
        }
    }
    return carryOut(call);
}

std::optional<response> executor::carryOut(const request &call)
{
    const json body = json::parse(call.body, nullptr, false);
    const std::string expected = call.header("x-daisypass-expected-instance");
    std::unique_lock<std::mutex> guard(m_lock);
    if (!m_up || m_crashed) {
        return std::nullopt;
    }
    if (!expected.empty() && expected != m_options.id) {
        return response{statusMisdirected, ""};
    }
    if (!body.is_object()) {
        return answer(statusBadRequest, reply());
    }
    const std::int64_t token = numberIn(body, "FenceToken");
    if (token < m_fence) {
        return refusal("fence");
    }
    m_fence = token;
    if (call.path == "/-/run-start") {
        return start(body);
    }
    if (call.path == "/-/run-stop") {
        return stop(body);
    }
    if (call.path == "/-/hold") {
        return hold(body, guard);
    }
    return answer(call.path == "/-/pace" ? 200 : statusNotFound, reply());
}

void executor::extendLease(const json &body)
{
    const std::int64_t until = numberIn(body, "DeadlineMs");
    m_leaseEnd = std::max(m_leaseEnd, std::min(until, clockMs() + maxHoldMs));
}

response executor::start(const json &body)
{
    const std::string task = textIn(body, "Task");
    const int run = static_cast<int>(numberIn(body, "Run"));
    extendLease(body);
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run == run) {
        return answer(200, reply());
    }
    const auto refused = m_refusedUpTo.find(task);
    if (present != m_runs.end() || (refused != m_refusedUpTo.end() && run <= refused->second)) {
        return refusal("old");
    }
    if (numberIn(body, "DeadlineMs") <= clockMs()) {
        return refusal("late");
    }
    running one;
    one.run = run;
    one.startedAt = nowMs();
    one.plan = m_plan(task, run, textIn(body, "Spec"));
    one.span = m_log.started(m_options.id, task, run);
    m_runs[task] = one;
    return answer(200, reply());
}

response executor::stop(const json &body)
{
    const std::string task = textIn(body, "Task");
    const int run = static_cast<int>(numberIn(body, "Run"));
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run <= run && found->second.stopAt < 0) {
        found->second.stopAt = nowMs() + stopMs;
    }
    return answer(200, reply());
}

std::optional<response> executor::hold(const json &body, std::unique_lock<std::mutex> &guard)
{
    extendLease(body);
    const std::int64_t cursor = numberIn(body, "AckCursor");
    std::erase_if(m_ends, [&](const listed_end &one) {
        if (one.number <= cursor) {
            m_log.noted(one.span);
        }
        return one.number <= cursor;
    });
    m_ended.wait_for(guard, std::chrono::milliseconds(numberIn(body, "WaitMs")), [this] {
        return !m_ends.empty() || !m_up || m_crashed;
    });
    if (!m_up || m_crashed) {
        return std::nullopt;
    }
    json list = reply();
    list["Running"] = json::array();
    list["EndedRuns"] = json::array();
    constexpr int atWork = 100;
    constexpr int nearlyDone = 99;
    for (const std::pair<const std::string, running> &run : m_runs) {
        const std::int64_t duration = run.second.plan.durationMs;
        const std::int64_t ran = nowMs() - run.second.startedAt;
        const std::int64_t percent = duration < 0 ? atWork : std::min<std::int64_t>(nearlyDone, ran * atWork / std::max<std::int64_t>(1, duration));
        list["Running"].push_back(json::array({run.first, run.second.run, "", percent, 0}));
    }
    for (const listed_end &one : m_ends) {
        if (list["EndedRuns"].size() < maxEnds) {
            list["EndedRuns"].push_back(json::array({one.number, one.task, one.run, one.how, ""}));
        }
    }
    return answer(200, list);
}

fleet::fleet(store &entries, record &log, planner plan)
    : m_entries(entries)
    , m_log(log)
    , m_plan(std::move(plan))
{
}

void fleet::add(const std::string &pool, const std::string &machine, const std::string &rack)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_machines[machine].pool = pool;
    m_machines[machine].rack = rack;
    bringUp(machine);
}

void fleet::bringUp(const std::string &machine)
{
    machine_state &state = m_machines.at(machine);
    char id[16];
    std::snprintf(id, sizeof id, "i-%08x", 0x7f3a9100U + static_cast<unsigned>(++m_count));
    executor_options options;
    options.id = id;
    options.pool = state.pool;
    options.machine = machine;
    options.rack = state.rack;
    state.state = "up";
    state.occupant = std::make_shared<executor>(m_entries, m_log, options, m_plan);
    m_log.line("executor " + options.id + " is up on " + machine + " in " + state.pool);
}

std::vector<std::shared_ptr<executor>> fleet::executors()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::shared_ptr<executor>> found;
    for (const std::pair<const std::string, machine_state> &machine : m_machines) {
        if (machine.second.occupant) {
            found.push_back(machine.second.occupant);
        }
    }
    return found;
}

std::optional<response> fleet::handle(const request &call)
{
    if (call.path == "/-/machines") {
        return list();
    }
    if (call.path == "/-/machine-move" || call.path == "/-/machine-upkeep") {
        return change(call, call.path == "/-/machine-upkeep");
    }
    return response{statusNotFound, ""};
}

response fleet::list()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    json machines = json::array();
    for (const std::pair<const std::string, machine_state> &machine : m_machines) {
        const machine_state &state = machine.second;
        machines.push_back(json{{"Machine", machine.first},
                                {"Pool", state.pool},
                                {"State", state.state},
                                {"Zone", "zagreb-a"},
                                {"Labels", {"a", state.rack}},
                                {"Capacity", {{"Cpu", 32'000}, {"MemMb", 65'536}, {"Gpu", 0}}},
                                {"Id", state.occupant ? state.occupant->options().id : ""}});
    }
    return answer(200, json{{"Machines", machines}, {"NextToken", nullptr}});
}

response fleet::change(const request &call, bool upkeep)
{
    const json body = json::parse(call.body, nullptr, false);
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = body.is_object() ? m_machines.find(textIn(body, "Machine")) : m_machines.end();
    if (found == m_machines.end()) {
        return answer(statusBadRequest, json::object());
    }
    machine_state &machine = found->second;
    const std::int64_t fence = std::atoll(call.header("x-daisypass-fencing-token").c_str());
    if (fence < machine.fence) {
        return answer(statusConflict, json{{"Reason", "fence"}});
    }
    machine.fence = fence;
    const bool done = upkeep ? machine.waves.contains(numberIn(body, "Wave")) : machine.pool == textIn(body, "Pool");
    if (done) {
        return answer(200, json::object());
    }
    if (machine.state != "up") {
        return answer(statusConflict, json{{"Reason", "busy"}});
    }
    m_log.line((upkeep ? "upkeep of " : "move of ") + found->first);
    machine.state = upkeep ? "upkeep" : "moving";
    if (upkeep) {
        machine.waves.insert(numberIn(body, "Wave"));
    } else {
        machine.pool = textIn(body, "Pool");
    }
    machine.occupant->leave();
    m_former.push_back(std::move(machine.occupant));
    machine.occupant = nullptr;
    std::thread([this, name = found->first, upkeep] {
        sleepMs(upkeep ? maintenanceMs : moveMs);
        const std::lock_guard<std::mutex> callbackGuard(m_lock);
        bringUp(name);
    }).detach();
    return answer(200, json::object());
}

} // namespace review
