#include "integration/deployment.h"

#include "base/time.h"
#include "control/control_lease.h"
#include "services/table_service.h"
#include "services/write_id.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace daisypass::integration {
namespace {

constexpr const char *loopback = "127.0.0.1";
constexpr const char *adminToken = "integration-test-token";

std::unique_ptr<fault_proxy> proxyTo(const endpoint &server)
{
    std::unique_ptr<fault_proxy> proxy = std::make_unique<fault_proxy>(endpoint{loopback, 0}, server);
    failure reason;
    if (!proxy->start(reason)) {
        throw std::runtime_error(describe(reason));
    }
    return proxy;
}

std::string addressOf(const fault_proxy &proxy)
{
    return toString({loopback, proxy.port()});
}

void writeFile(const std::string &path, const nlohmann::json &body)
{
    std::ofstream(path) << body.dump(2) << '\n';
}

bool contains(const std::vector<std::size_t> &list, std::size_t value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

submission_report reportOf(const http_result &result, submission_report report)
{
    readOutcome(result, report);
    return report;
}

} // namespace

std::string describe(const submission_report &report)
{
    if (report.outcome == caller_outcome::Completed) {
        return "completed";
    }
    return std::string(outcomeName(report.outcome)) + ", " + report.reason + ": " + report.detail;
}

deployment::deployment(deployment_options options)
    : m_options(options)
    , m_directory(newDirectory())
    , m_client({.threads = 2, .maxConnectionsPerHost = 500})
{
    startPlatform();
    startTargets();
    if (options.leaseHeldElsewhere) {
        takeLeaseElsewhere();
    }
    for (int i = 0; i < options.entries; ++i) {
        addEntry();
    }
    for (int i = 0; i < options.controllers; ++i) {
        addController();
    }
    if (options.apply && apply(writeConfiguration("operator")) != 0) {
        throw std::runtime_error("the initial configuration was not applied; log of the first controller:\n" + m_controllers[0].process->log());
    }
    if (options.apply && !waitUntilServing()) {
        throw std::runtime_error("not all targets serve at every entry; log of the first controller:\n" + m_controllers[0].process->log());
    }
}

deployment::~deployment()
{
    // The processes are killed before the proxies are destroyed: a frozen proxy holds back responses that a stopping client waits for.
    for (running_entry &entry : m_entries) {
        entry.process.reset();
    }
    for (running_controller &controller : m_controllers) {
        controller.process.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

std::string deployment::path(const std::string &name) const
{
    return m_directory + '/' + name;
}

std::string deployment::vmOf(std::size_t target) const
{
    return "vm-" + std::to_string(target + 1);
}

void deployment::startPlatform()
{
    m_platformProcess = std::make_unique<child_process>("daisypass-fake-platform", std::vector<std::string>{"--list-lag-ms", "500"}, path("platform.log"));
    m_platform = {loopback, m_platformProcess->waitForLine("listening")["port"].get<std::uint16_t>()};
}

void deployment::startTargets()
{
    const int count = m_options.bookingTargets + m_options.grinderTargets;
    m_targetProcess = std::make_unique<child_process>(
        "daisypass-fake-target", std::vector<std::string>{"--count", std::to_string(count), "--reboot-ms", "300"}, path("targets.log"));
    nlohmann::json vms = nlohmann::json::array();
    for (int i = 0; i < count; ++i) {
        m_targets.push_back({loopback, m_targetProcess->waitForLine("listening", i + 1)["port"].get<std::uint16_t>()});
        m_targetProxies.push_back(proxyTo(m_targets.back()));
        vms.push_back({{"id", vmOf(static_cast<std::size_t>(i))},
                       {"address", addressOf(*m_targetProxies.back())},
                       {"availability_zone", "z" + std::to_string(i % 3)},
                       {"rack", "r" + std::to_string(i % 3)},
                       {"state", "live"}});
    }
    call(m_platform, "PUT", "/admin/vms", vms.dump());
}

void deployment::takeLeaseElsewhere()
{
    control_lease lease(table_service(http_table(std::make_shared<http_client>(http_client_options{}), m_platform)), "control-elsewhere");
    const timestamp now = wallNow();
    const timestamp intervalBegin = now - now % control_lease::interval;
    REQUIRE(lease.acquireOrRenew(intervalBegin + control_lease::takeoverDelay, newWriteId()));
}

std::size_t deployment::addEntry()
{
    const std::size_t index = m_entries.size();
    running_entry entry;
    entry.name = "entry-" + std::to_string(index + 1);
    entry.platform = proxyTo(m_platform);
    const endpoint peers{loopback, freePorts(1)};
    entry.peers = proxyTo(peers);
    writeFile(path(entry.name + ".json"),
              {{"entry", entry.name},
               {"availability_zone", "z" + std::to_string(index % 3)},
               {"callers_listen", "127.0.0.1:0"},
               {"peers_listen", toString(peers)},
               {"peers_advertise", addressOf(*entry.peers)},
               {"platform", addressOf(*entry.platform)},
               {"intervals", {{"shutdown_ms", 5'000}}}});
    entry.process
        = std::make_unique<child_process>("daisypass-entry", std::vector<std::string>{"--settings", path(entry.name + ".json")}, path(entry.name + ".log"));
    entry.callers = {loopback, entry.process->waitForLine("ready_to_accept")["callers_port"].get<std::uint16_t>()};
    m_entries.push_back(std::move(entry));
    if (!waitUntil([&] {
            return entryReady(index);
        })) {
        throw std::runtime_error("the entry did not become ready:\n" + m_entries[index].process->log());
    }
    return index;
}

std::size_t deployment::addController()
{
    const std::size_t index = m_controllers.size();
    const std::string name = "control-" + std::to_string(index + 1);
    running_controller controller;
    controller.platform = proxyTo(m_platform);
    writeFile(path(name + ".json"),
              {{"controller", name},
               {"platform", addressOf(*controller.platform)},
               {"admin", {{"listen", "127.0.0.1:0"}, {"token", adminToken}}},
               {"step_ms", 200},
               {"reboot_grace_ms", 500}});
    controller.process
        = std::make_unique<child_process>("daisypass-control", std::vector<std::string>{"--settings", path(name + ".json")}, path(name + ".log"));
    failure reason;
    const std::optional<endpoint> admin = parseEndpoint(controller.process->waitForLine("started").value("admin", ""), reason);
    if (!admin) {
        throw std::runtime_error(describe(reason));
    }
    controller.admin = *admin;
    m_controllers.push_back(std::move(controller));
    if (!waitUntil([&] {
            return call(m_controllers[index].admin, "GET", "/readyz").response.status == 200;
        })) {
        throw std::runtime_error("the controller did not become ready:\n" + m_controllers[index].process->log());
    }
    return index;
}

bool deployment::entryReady(std::size_t index)
{
    const http_result result = call(m_entries[index].callers, "GET", "/readyz");
    return result.state == send_state::Answered && result.response.status == 200;
}

bool deployment::waitUntilServing()
{
    return waitUntil([&] {
        return serving();
    });
}

// A VM joins only after a controller has acquired the control lease and probed the target, and the entries see that in a later revision.
bool deployment::serving()
{
    const nlohmann::json fleetStatus = status();
    const nlohmann::json vms = fleetStatus.value("vms", nlohmann::json::array());
    const nlohmann::json entries = fleetStatus.value("entries", nlohmann::json::array());
    const bool joined = std::all_of(vms.begin(), vms.end(), [](const nlohmann::json &vm) {
        return vm.value("state", "") == "serving";
    });
    const bool upToDate = std::all_of(entries.begin(), entries.end(), [&](const nlohmann::json &entry) {
        return entry["revision"].is_number() && entry["revision"] >= fleetStatus["revision"];
    });
    return joined && upToDate && vms.size() == m_targets.size() && entries.size() == m_entries.size();
}

std::string deployment::writeConfiguration(const std::string &name, const std::vector<std::size_t> &withoutTargets, const std::vector<std::size_t> &moved)
{
    const std::string directory = path(name);
    std::filesystem::create_directories(directory);
    const nlohmann::json size{{"processors", 32}, {"memory_mib", 65'536}};
    writeFile(directory + "/pools.json",
              {{"pools",
                {{{"name", "booking"}, {"min_available", 1}, {"headroom", "none"}, {"at_most_once", "claim"}, {"vm", size}},
                 {{"name", "grinder"}, {"min_available", 1}, {"headroom", "none"}, {"at_most_once", "ticket"}, {"vm", size}}}}});
    nlohmann::json vms = nlohmann::json::array();
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (!contains(withoutTargets, i)) {
            const bool isBooking = i < static_cast<std::size_t>(m_options.bookingTargets);
            vms.push_back({{"id", vmOf(i)},
                           {"pool", isBooking != contains(moved, i) ? "booking" : "grinder"},
                           {"address", addressOf(*m_targetProxies[i])},
                           {"availability_zone", "z" + std::to_string(i % 3)},
                           {"rack", "r" + std::to_string(i % 3)}});
        }
    }
    writeFile(directory + "/vms.json", {{"vms", vms}});
    writeFile(directory + "/teams.json", {{"teams", {{{"name", "zagreb"}, {"weight", 1}}, {{"name", "split"}, {"weight", 2}}}}});
    return directory;
}

int deployment::apply(const std::string &configurationDirectory, std::size_t controller, int waitMs)
{
    return runProgram("daisypassctl",
                      {"apply",
                       configurationDirectory,
                       "--control",
                       toString(m_controllers[controller].admin),
                       "--token",
                       adminToken,
                       "--author",
                       "test",
                       "--wait-ms",
                       std::to_string(waitMs)},
                      path("ctl.log"));
}

nlohmann::json deployment::status(std::size_t controller)
{
    http_call request;
    request.url = "http://" + toString(m_controllers[controller].admin) + "/admin/v1/status";
    request.headers = {{"Authorization", std::string("Bearer ") + adminToken}};
    constexpr bool allowExceptions = false;
    nlohmann::json body = nlohmann::json::parse(m_client.fetch(request).response.body, nullptr, allowExceptions);
    return body.is_object() ? body : nlohmann::json::object();
}

std::string deployment::newToken()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return "token-" + std::to_string(++m_lastToken);
}

std::string deployment::ticket(std::size_t entry)
{
    http_call request;
    request.method = "POST";
    request.url = "http://" + toString(m_entries[entry].callers) + "/v1/pools/grinder/tickets";
    request.headers = {{"Daisypass-Team", "zagreb"}};
    constexpr bool allowExceptions = false;
    return nlohmann::json::parse(m_client.fetch(request).response.body, nullptr, allowExceptions).value("ticket", "");
}

http_call deployment::buildCall(std::size_t entry, const std::string &pool, const request_options &options, submission_report &report)
{
    report.pool = pool;
    report.team = "zagreb";
    report.key = options.key;
    report.repeatable = options.repeatable;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        report.attempt = 1 + static_cast<int>(std::count_if(m_reports.begin(), m_reports.end(), [&](const submission_report &earlier) {
                             return earlier.token == report.token;
                         }));
    }
    http_call request;
    request.method = "POST";
    request.url = "http://" + toString(m_entries[entry].callers) + "/v1/pools/" + pool + "/requests";
    request.headers = {{"Daisypass-Team", report.team},
                       {"Daisypass-Class", options.requestClass},
                       {"Daisypass-Repeatable", options.repeatable ? "true" : "false"},
                       {"Daisypass-Deadline-Ms", std::to_string(options.deadlineMs)},
                       {"X-Run-Ms", std::to_string(options.runMs)}};
    if (!options.key.empty()) {
        request.headers.push_back({"Idempotency-Key", options.key});
    }
    if (options.async) {
        request.headers.push_back({"Prefer", "respond-async"});
    }
    request.body = attemptBody(report.token, report.attempt);
    return request;
}

submission_report deployment::post(std::size_t entry, const std::string &pool, const request_options &options, const std::string &token)
{
    return postLater(entry, pool, options, token).get();
}

std::future<submission_report> deployment::postLater(std::size_t entry, const std::string &pool, const request_options &options, const std::string &token)
{
    submission_report report;
    report.token = token.empty() ? newToken() : token;
    http_call request = buildCall(entry, pool, options, report);
    std::shared_ptr<std::promise<submission_report>> reportPromise = std::make_shared<std::promise<submission_report>>();
    m_client.send(std::move(request), [this, reportPromise, report = std::move(report)](const http_result &result) {
        submission_report finished = reportOf(result, report);
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_reports.push_back(finished);
        }
        reportPromise->set_value(std::move(finished));
    });
    return reportPromise->get_future();
}

http_result deployment::call(const endpoint &server, const std::string &method, const std::string &path, const std::string &body)
{
    http_call request;
    request.method = method;
    request.url = "http://" + toString(server) + path;
    request.body = body;
    return m_client.fetch(request);
}

void deployment::platformFaults(const nlohmann::json &faults)
{
    REQUIRE(call(m_platform, "POST", "/admin/faults", faults.dump()).response.status == 200);
}

void deployment::targetBehaviour(std::size_t target, const nlohmann::json &behaviour)
{
    REQUIRE(call(m_targets[target], "POST", "/admin/behaviour", behaviour.dump()).response.status == 200);
}

std::vector<execution_record> deployment::executions()
{
    std::vector<execution_record> all;
    for (const endpoint &target : m_targets) {
        failure reason;
        const std::optional<std::vector<execution_record>> records = decodeExecutions(call(target, "GET", "/admin/executions").response.body, reason);
        REQUIRE(records);
        all.insert(all.end(), records->begin(), records->end());
    }
    return all;
}

int deployment::executionsOf(const std::string &token)
{
    const std::vector<execution_record> all = executions();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const execution_record &record) {
        return record.body.starts_with(token + '#');
    }));
}

bool deployment::runsOn(std::size_t target, const std::string &token)
{
    const std::vector<execution_record> all = executions();
    return std::any_of(all.begin(), all.end(), [&](const execution_record &record) {
        return record.target == toString(m_targets[target]) && record.result == execution_result::Running && record.body.starts_with(token + '#');
    });
}

nlohmann::json deployment::targetStats(std::size_t target)
{
    return nlohmann::json::parse(call(m_targets[target], "GET", "/admin/stats").response.body);
}

int deployment::inFlight()
{
    int running = 0;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        running += targetStats(i).value("in_flight", 0);
    }
    return running;
}

bool deployment::waitForInFlight(int count)
{
    return waitUntil([&] {
        return inFlight() >= count;
    });
}

bool deployment::waitUntilIdle()
{
    return waitUntil([&] {
        return inFlight() == 0;
    });
}

std::string deployment::check()
{
    std::vector<submission_report> reports;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        reports = m_reports;
    }
    std::string text;
    for (const disagreement &found : checkOutcomes(reports, executions())) {
        text += std::string(kindName(found.kind)) + ' ' + found.token + ": " + found.detail + '\n';
    }
    return text;
}

} // namespace daisypass::integration
