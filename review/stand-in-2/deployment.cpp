#include "deployment.h"

#include <algorithm>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int nodeCount = 3;
constexpr const char *host = "jobs.example";
constexpr int clientTimeoutMs = 3'000;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooMany = 429;
constexpr std::int64_t maxWaitingAdvice = 32;
constexpr millis adviceDecideMs = 150;
constexpr millis adviceEachMs = 2;
constexpr millis adviceValidityMs = 3'000;
constexpr millis maintenanceMs = 2'000;
constexpr millis startTimeoutMs = 20'000;
constexpr millis pollIntervalMs = 100;

} // namespace

deployment::deployment(const case_options &options, std::vector<service_definition> services)
    : m_options(options)
    , m_services(std::move(services))
    , m_record(options.recordPath)
    , m_storeServer([this](const http_request &request) {
        return m_store.handle(request);
    })
    , m_fleetServer([this](const http_request &request) {
        return handleFleet(request);
    })
    , m_adviceServer([this](const http_request &request) {
        return advise(json::parse(request.body, nullptr, false));
    })
{
    for (const service_definition &service : m_services) {
        for (int i = 0; i < service.machineCount; ++i) {
            m_machines.push_back({"m-" + std::to_string(m_machines.size() + 1), service});
        }
    }
}

bool deployment::start()
{
    writeConfiguration();
    if (!m_storeServer.start() || !m_fleetServer.start() || !m_adviceServer.start()) {
        return false;
    }
    for (machine &one : m_machines) {
        if (!bringUp(one)) {
            return false;
        }
    }
    writeSettings();
    const millis deadline = steadyMs() + startTimeoutMs;
    while (!nodesAreReady()) {
        if (steadyMs() > deadline) {
            return false;
        }
        sleepMs(pollIntervalMs);
    }
    const std::string &service = m_services.front().name;
    const std::string first = "000000000000001f";
    const json step{{"Count", 1}, {"Cpu", 500}, {"MemMb", 64}, {"EstimateMs", 200}};
    while (!submit(service, first, "ms=200", step)) {
        if (steadyMs() > deadline) {
            return false;
        }
        sleepMs(pollIntervalMs);
    }
    return awaitState(service, first, {"completed"}, startTimeoutMs) == "completed";
}

bool deployment::bringUp(machine &where)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::string id = "i-" + std::to_string(m_executors.size() + 1);
    m_executors.push_back(std::make_unique<executor>(id, where.service.name, where.name, where.service.kind, m_store, m_record));
    where.current = m_executors.back().get();
    where.current->onStart(m_onStart);
    return where.current->start();
}

std::vector<executor *> deployment::executors()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<executor *> all;
    for (const std::unique_ptr<executor> &one : m_executors) {
        all.push_back(one.get());
    }
    return all;
}

executor &deployment::find(const std::string &id)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = std::find_if(m_executors.begin(), m_executors.end(), [&id](const std::unique_ptr<executor> &one) {
        return one->id() == id;
    });
    return **found;
}

void deployment::onStart(executor::start_listener listener)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_onStart = std::move(listener);
    for (const std::unique_ptr<executor> &one : m_executors) {
        one->onStart(m_onStart);
    }
}

executor *deployment::executorOn(const std::string &name)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = std::find_if(m_machines.begin(), m_machines.end(), [&name](const machine &one) {
        return one.name == name;
    });
    return found->current;
}

void deployment::requestWave(const std::vector<std::string> &machines, int durationS, int cap)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_waveMachines.insert(machines.begin(), machines.end());
    }
    const json wave{{"Wave", 1}, {"Machines", machines}, {"DurationS", durationS}, {"Cap", cap}};
    m_record.add("the operator writes op/wave/1 " + wave.dump());
    m_store.put({"op", "", "wave/1"}, wave);
}

http_response deployment::handleFleet(const http_request &request)
{
    if (request.path == "/-/machines") {
        return listMachines();
    }
    if (request.path == "/-/machine-upkeep") {
        return maintain(request);
    }
    if (request.path == "/-/machine-move") {
        // The services have machines of different kinds, so the pool is always one of other machines.
        return {statusBadRequest, "{}"};
    }
    return {statusNotFound, "{}"};
}

// Each second executor may run a step.
http_response deployment::advise(const json &body)
{
    const json workers = body.value("Workers", json::array());
    {
        std::unique_lock<std::mutex> guard(m_adviceLock);
        if (m_adviceCalls - m_adviceHandled > maxWaitingAdvice) {
            return {statusTooMany, "{}"};
        }
        const std::int64_t number = ++m_adviceCalls;
        m_adviceTurn.wait(guard, [&] {
            return m_adviceHandled == number - 1;
        });
    }
    sleepMs(adviceDecideMs + adviceEachMs * static_cast<millis>(workers.size()));
    {
        const std::lock_guard<std::mutex> guard(m_adviceLock);
        ++m_adviceHandled;
        m_adviceTurn.notify_all();
    }
    json good = json::array();
    for (std::size_t i = 0; i < workers.size(); i += 2) {
        good.push_back(json::array({workers[i], "ticket-" + body.value("Step", "")}));
    }
    return {statusOk, json{{"Good", good}, {"ValidityMs", adviceValidityMs}}.dump()};
}

http_response deployment::listMachines()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    json machines = json::array();
    for (const machine &one : m_machines) {
        machines.push_back(json{{"Machine", one.name},
                                {"Pool", one.service.name},
                                {"State", one.current == nullptr ? "upkeep" : "up"},
                                {"Zone", "zone-a"},
                                {"Labels", {one.service.kind.label, "r1-1"}},
                                {"Capacity", {{"Cpu", one.service.kind.cpu}, {"MemMb", one.service.kind.memoryMb}, {"Gpu", 0}}},
                                {"Id", one.current == nullptr ? "" : one.current->id()}});
    }
    return {statusOk, json{{"Machines", machines}, {"NextToken", ""}}.dump()};
}

http_response deployment::maintain(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = std::find_if(m_machines.begin(), m_machines.end(), [&body](const machine &one) {
        return one.name == body.value("Machine", "");
    });
    if (found == m_machines.end()) {
        return {statusBadRequest, "{}"};
    }
    const auto header = request.headers.find("x-daisypass-fencing-token");
    const std::int64_t token = header == request.headers.end() ? 0 : std::stoll(header->second);
    if (token < found->fenceToken) {
        return {statusConflict, R"({"Reason":"fence"})"};
    }
    found->fenceToken = token;
    if (!m_waveMachines.contains(found->name)) {
        return {statusConflict, R"({"Reason":"wave"})"};
    }
    if (found->upkeepDone) {
        return {statusOk, "{}"};
    }
    m_record.add("the upkeep of " + found->name + " begins");
    found->upkeepDone = true;
    std::exchange(found->current, nullptr)->leave();
    std::thread([this, index = found - m_machines.begin()] {
        sleepMs(maintenanceMs);
        machine &one = m_machines[static_cast<std::size_t>(index)];
        m_record.add("the upkeep of " + one.name + " ends");
        bringUp(one);
    }).detach();
    return {statusOk, "{}"};
}

void deployment::writeConfiguration()
{
    json routes = json::array();
    json services = json::array();
    for (const service_definition &service : m_services) {
        json route{{"Name", service.name},
                   {"Host", host},
                   {"PathPrefix", '/' + service.name + '/'},
                   {"Service", service.name},
                   {"Priority", 0},
                   {"MaxAttempts", maxAttempts},
                   {"Stretch", 1.6},
                   {"TargetDurationMs", 600},
                   {"TimeoutMs", 3'000}};
        if (service.advice) {
            route["Advice"] = json{{"DecideMs", adviceDecideMs}, {"EachMs", adviceEachMs}, {"ValidityMs", adviceValidityMs}};
        }
        routes.push_back(std::move(route));
        services.push_back(json{{"Name", service.name}, {"HealthPath", "/health"}, {"AdmissionCheck", false}, {"Spare", false}});
    }
    m_store.put({"op", "", "config"}, json{{"Version", 3}, {"Routes", routes}, {"Services", services}, {"Limits", {{"MaxBodyBytes", 262'144}}}});
}

// The settings are those of the users' example of a small deployment. run-case.sh starts a node for each file.
void deployment::writeSettings()
{
    const auto addressOf = [](const http_server &server) {
        return "127.0.0.1:" + std::to_string(server.port());
    };
    for (int i = 1; i <= nodeCount; ++i) {
        const std::uint16_t ports = freePortPair();
        const std::uint16_t internal = freePortPair();
        m_frontPorts.push_back(ports);
        const std::string path = m_options.directory + "/node-" + std::to_string(i) + ".conf";
        {
            std::ofstream file(path + ".part");
            file << "Node=edge-" << i << "\nRole=node\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\nZone=zone-" << i << "\nRegion=region\n"
                 << "Listen.Front=127.0.0.1:" << ports << "\nListen.Ready=127.0.0.1:" << ports + 1 << "\nInternalPorts=" << internal << ',' << internal + 1
                 << "\nBootstrap=true\nLimits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nHeartbeatMs=1500\n"
                 << "Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\nBounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\n"
                 << "Bounds.DrainMs=2000\nBounds.GraceS=6\nBounds.ConfigApplyMs=2000\nBounds.MaxHoldMs=6000\nBounds.StopMs=400\nBounds.GangWaitMs=3000\n"
                 << "Bounds.cancel_ms=3000\nBounds.visible_ms=3000\nBounds.early_ms=250\nBounds.finish_s=14\nBounds.status_s=120\nBounds.FarFactor=2\n"
                 << "Bounds.CheckpointS=1\nBounds.RestoreMs=100\nBounds.NoticeMs=4500\nBounds.MoveS=1.5\nBounds.MaintenanceS=2\nBounds.RequireFence=true\n"
                 << "Bounds.LeaseMs=3000\nBounds.PaceMs=100\nBounds.HarmMs=4000\nOrders=call\nAdvice=" << addressOf(m_adviceServer)
                 << "\nplatform.Address=" << addressOf(m_storeServer)
                 << "\nplatform.form=table\nplatform.WritesPerS=600\nplatform.ReadsPerS=2000\nplatform.TxMs=3.0\nplatform.PartWritesS=300\n"
                 << "platform.RowBytes=65536\nplatform.Across=true\nplatform.HistoryS=20\nCloud.Address=" << addressOf(m_fleetServer)
                 << "\nCloud.RatePerS=64.0\nCloud.DutyPerS=64.0\n";
        }
        std::rename((path + ".part").c_str(), path.c_str());
    }
}

bool deployment::nodesAreReady()
{
    return std::all_of(m_frontPorts.begin(), m_frontPorts.end(), [](std::uint16_t front) {
        return call(static_cast<std::uint16_t>(front + 1), "GET", "/-/ready", "127.0.0.1", "", clientTimeoutMs).status == statusOk;
    });
}

http_response deployment::callNode(const std::string &method, const std::string &path, const std::string &body)
{
    const std::uint16_t port = m_frontPorts[m_nextNode++ % m_frontPorts.size()];
    return call(port, method, path, host, body, clientTimeoutMs);
}

bool deployment::submit(const std::string &service, const std::string &job, const std::string &spec, json step)
{
    const json body{{"Spec", spec}, {"Steps", json::array({std::move(step)})}};
    m_record.add("the client sends job " + job + " " + body.dump());
    const http_response response = callNode("POST", '/' + service + '/' + job, body.dump());
    m_record.add("the answer for job " + job + " is " + std::to_string(response.status));
    return response.status == statusOk;
}

std::string deployment::awaitState(const std::string &service, const std::string &job, const std::vector<std::string> &states, millis timeoutMs)
{
    const millis deadline = steadyMs() + timeoutMs;
    std::string shown;
    while (steadyMs() < deadline) {
        const http_response response = callNode("GET", '/' + service + '/' + job, "");
        const json body = json::parse(response.body, nullptr, false);
        const std::string state = response.status == statusOk && body.is_object() ? body.value("State", "") : std::to_string(response.status);
        if (state != shown) {
            m_record.add("job " + job + " is shown as " + state);
            shown = state;
        }
        if (std::find(states.begin(), states.end(), state) != states.end()) {
            break;
        }
        sleepMs(pollIntervalMs);
    }
    return shown;
}

} // namespace review
