#include "standins/deployment_standin.h"

#include "standins/json_answer.h"
#include "standins/standin_server.h"

#include "platform/records.h"

#include <algorithm>
#include <cstdlib>

namespace daisypass {
namespace {

using wire::json;

constexpr std::chrono::milliseconds maintenanceTime{500};
constexpr std::size_t maxBreaches = 50;
constexpr const char *sparePool = "spare";

std::string poolName(int index)
{
    return "pool-" + std::to_string(index);
}

store_fault_kind parseFaultKind(std::string_view name)
{
    if (name == "busy") {
        return store_fault_kind::Busy;
    }
    if (name == "silent") {
        return store_fault_kind::Silent;
    }
    if (name == "lost") {
        return store_fault_kind::LostAnswers;
    }
    return name == "slow" ? store_fault_kind::Slow : store_fault_kind::None;
}

} // namespace

deployment_standin::deployment_standin(asio::io_context &context, deployment_options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_store(context, m_options.seed)
{
    m_store.watchPuts([this](const store_row &row) {
        observeWrite(row);
    });
}

deployment_standin::~deployment_standin() = default;

bool deployment_standin::start(failure &reason)
{
    m_server = startServer(m_options.listen, m_context, reason, [this](const http_request &request, const http_responder &respond) {
        handle(request, respond);
    });
    if (!m_server) {
        return false;
    }
    writeConfiguration();
    int vm = 0;
    for (int pool = 0; pool < m_options.poolCount; ++pool) {
        for (int i = 0; i < m_options.executorsPerPool; ++i) {
            const std::string name = "vm-" + std::to_string(vm++);
            m_vms[name].pool = poolName(pool);
            if (!bringUp(name, reason)) {
                return false;
            }
        }
    }
    for (int i = 0; i < m_options.spareVms; ++i) {
        vm_state &spare = m_vms["vm-" + std::to_string(vm++)];
        spare.pool = sparePool;
        spare.state = "up";
    }
    return true;
}

std::uint16_t deployment_standin::port() const
{
    return m_server->port();
}

void deployment_standin::writeConfiguration()
{
    json routes = json::array();
    json services = json::array();
    for (int pool = 0; pool < m_options.poolCount; ++pool) {
        routes.push_back(json{{"Name", "queue-" + std::to_string(pool)},
                              {"Host", "jobs.example"},
                              {"PathPrefix", "/queue-" + std::to_string(pool) + "/"},
                              {"Service", poolName(pool)},
                              {"Priority", 0},
                              {"MaxAttempts", m_options.maxAttempts},
                              {"Stretch", 1.6},
                              {"TargetDurationMs", 600},
                              {"TimeoutMs", 3'000}});
        services.push_back(json{{"Name", poolName(pool)}, {"HealthPath", "/health"}, {"AdmissionCheck", false}, {"Spare", false}});
    }
    services.push_back(json{{"Name", sparePool}, {"HealthPath", "/health"}, {"AdmissionCheck", false}, {"Spare", true}});
    m_store.put({"op", "", "config"}, wire::dump(json{{"Version", 1}, {"Routes", routes}, {"Services", services}, {"Limits", {{"MaxBodyBytes", 262'144}}}}));
    if (m_options.waveVms > 0) {
        json vms = json::array();
        for (int i = 0; i < m_options.waveVms; ++i) {
            vms.push_back("vm-" + std::to_string(i));
        }
        m_store.put({"op", "", "wave/1"}, wire::dump(json{{"Wave", 1}, {"Machines", vms}, {"DurationS", 20}, {"Cap", 1}}));
    }
}

bool deployment_standin::bringUp(const std::string &vm, failure &reason)
{
    vm_state &state = m_vms.at(vm);
    state.state = "up";
    if (state.pool == sparePool) {
        return true;
    }
    executor_options options;
    options.id = "i-" + std::to_string(++m_executorCount);
    options.pool = state.pool;
    options.vm = vm;
    options.rack = "r1-" + std::to_string(m_executorCount % 2);
    state.executor = std::make_unique<executor_standin>(m_context, m_store, options, [this](const executor_event &event) {
        observe(event);
    });
    return state.executor->start(reason);
}

void deployment_standin::handle(const http_request &request, const http_responder &respond)
{
    if (request.path.starts_with("/admin/")) {
        admin(request, respond);
    } else if (request.path == "/-/machines") {
        listVms(respond);
    } else if (request.path == "/-/machine-move") {
        changeVm(request, respond, false);
    } else if (request.path == "/-/machine-upkeep") {
        changeVm(request, respond, true);
    } else {
        m_store.handle(request, respond);
    }
}

void deployment_standin::admin(const http_request &request, const http_responder &respond)
{
    if (request.path == "/admin/report") {
        http_response response;
        response.body = report();
        respond(std::move(response));
        return;
    }
    if (request.path == "/admin/fault") {
        store_fault fault;
        fault.kind = parseFaultKind(findHeader(request.query, "kind"));
        const std::string share(findHeader(request.query, "share"));
        fault.share = share.empty() ? 1.0 : std::strtod(share.c_str(), nullptr);
        fault.delay = std::chrono::milliseconds(findNumber(request.query, "delay_ms"));
        m_store.setFault(fault);
    } else if (request.path == "/admin/row") {
        // A row of the operator's, whose body is the value.
        m_store.put({"op", "", std::string(findHeader(request.query, "key"))}, request.body);
    } else if (request.path == "/admin/limit") {
        m_store.limitValues(static_cast<std::size_t>(findNumber(request.query, "value_bytes")));
    } else if (request.path == "/admin/forget") {
        m_store.forgetHistory();
    } else if (request.path == "/admin/worker") {
        const std::string_view id = findHeader(request.query, "id");
        for (std::pair<const std::string, vm_state> &vm : m_vms) {
            if (vm.second.executor && vm.second.executor->options().id == id) {
                vm.second.executor->setSilent(findHeader(request.query, "silent") == "1");
            }
        }
    }
    respond(jsonResponse(statusOk, json::object()));
}

void deployment_standin::listVms(const http_responder &respond)
{
    json list = json::array();
    for (const std::pair<const std::string, vm_state> &vm : m_vms) {
        list.push_back(json{{"Machine", vm.first},
                            {"Pool", vm.second.pool},
                            {"State", vm.second.state},
                            {"Zone", "zone-a"},
                            {"Labels", {"a"}},
                            {"Id", vm.second.executor ? vm.second.executor->options().id : ""}});
    }
    respond(jsonResponse(statusOk, json{{"Machines", list}, {"NextToken", nullptr}}));
}

void deployment_standin::changeVm(const http_request &request, const http_responder &respond, bool isMaintenance)
{
    const json body = wire::parseObject(request.body).value_or(json::object());
    const auto found = m_vms.find(wire::stringIn(body, "Machine").value_or(""));
    if (found == m_vms.end()) {
        respond(jsonResponse(statusBadRequest, json::object()));
        return;
    }
    vm_state &vm = found->second;
    const std::int64_t token = findNumber(request.headers, "X-Daisypass-Fencing-Token");
    const std::string holder(findHeader(request.headers, "X-Daisypass-Lease-Holder"));
    if (token < vm.fencingToken) {
        respond(jsonResponse(statusConflict, json{{"Reason", "fence"}}));
        return;
    }
    if (token == vm.fencingToken && !vm.tokenHolder.empty() && vm.tokenHolder != holder) {
        recordBreach("one_holder", found->first + " ordered by " + holder + " and " + vm.tokenHolder + " with one token");
    }
    vm.fencingToken = token;
    vm.tokenHolder = holder;
    const std::int64_t wave = wire::integerIn(body, "Wave").value_or(0);
    const std::string pool = isMaintenance ? vm.pool : wire::stringIn(body, "Pool").value_or("");
    const bool alreadyDone = isMaintenance ? vm.maintained.contains(wave) : vm.pool == pool;
    if (alreadyDone) {
        respond(jsonResponse(statusOk, json::object()));
        return;
    }
    if (vm.state != "up") {
        respond(jsonResponse(statusConflict, json{{"Reason", "busy"}}));
        return;
    }
    if (vm.executor) {
        vm.executor->leave();
        m_formerExecutors.push_back(std::move(vm.executor));
    }
    ++(isMaintenance ? m_maintenances : m_moves);
    vm.state = isMaintenance ? "upkeep" : "moving";
    vm.pool = pool;
    if (isMaintenance) {
        vm.maintained.insert(wave);
    }
    const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, isMaintenance ? maintenanceTime : m_options.moveTime);
    timer->async_wait([this, timer, name = found->first](const asio::error_code &error) {
        failure reason;
        if (!error && !bringUp(name, reason)) {
            recordBreach("standin", describe(reason));
        }
    });
    respond(jsonResponse(statusOk, json::object()));
}

void deployment_standin::observe(const executor_event &event)
{
    if (event.type == executor_event::kind::Started) {
        ++m_starts;
        const auto running = m_runningOn.find(event.task);
        if (running != m_runningOn.end()) {
            recordBreach("at_most_once", event.task + " starts on " + event.executor + " while it runs on " + running->second);
        }
        if (m_completedTasks.contains(event.task)) {
            recordBreach("at_most_once", event.task + " starts on " + event.executor + " after it was done");
        }
        m_runningOn[event.task] = event.executor;
        return;
    }
    ++m_ends[event.result];
    m_runningOn.erase(event.task);
    if (event.result == "done") {
        m_completedTasks.insert(event.task);
    }
}

void deployment_standin::observeWrite(const store_row &row)
{
    if (row.key.table != statusTable) {
        return;
    }
    const std::string state = wire::stringIn(wire::parseObject(row.value).value_or(json::object()), "State").value_or("");
    if (state == "completed") {
        m_completedWaves.insert(row.key.key);
    } else if (m_completedWaves.contains(row.key.key)) {
        recordBreach("wave_status", row.key.key + " is shown as " + state + " after it was completed");
    }
}

void deployment_standin::recordBreach(const std::string &rule, const std::string &detail)
{
    if (m_breaches.size() < maxBreaches) {
        m_breaches.push_back(rule + ": " + detail);
    }
}

std::string deployment_standin::report() const
{
    return wire::dump(json{{"starts", m_starts},
                           {"ends", m_ends},
                           {"running", m_runningOn.size()},
                           {"moves", m_moves},
                           {"upkeeps", m_maintenances},
                           {"store_writes", m_store.writes()},
                           {"wave_status", m_store.value({"status", "", "wave/1"})},
                           {"breaches", m_breaches}});
}

} // namespace daisypass
