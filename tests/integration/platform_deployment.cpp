#include "integration/platform_deployment.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace daisypass::integration {
namespace {

constexpr const char *host = "jobs.example";
constexpr int statusOk = 200;

http_client_options clientOptions()
{
    http_client_options options;
    options.maxIdle = std::chrono::seconds(1);
    return options;
}

} // namespace

platform_deployment::platform_deployment(platform_options options)
    : m_options(options)
    , m_directory(newDirectory())
    , m_client(clientOptions())
    , m_random(options.seed)
    , m_standinPort(freePorts(1))
{
    m_standin = std::make_unique<child_process>("daisypass-fake-deployment",
                                                std::vector<std::string>{"--listen",
                                                                         "127.0.0.1:" + std::to_string(m_standinPort),
                                                                         "--pools",
                                                                         std::to_string(options.pools),
                                                                         "--workers",
                                                                         std::to_string(options.workers),
                                                                         "--spare",
                                                                         std::to_string(options.spareVms),
                                                                         "--wave",
                                                                         std::to_string(options.waveVms),
                                                                         "--seed",
                                                                         std::to_string(options.seed)},
                                                m_directory + "/standin.log");
    for (int i = 0; i < options.nodes; ++i) {
        constexpr int portsOfNode = 4;
        const std::uint16_t ports = freePorts(portsOfNode);
        if (options.storeProxies) {
            failure reason;
            m_storeProxies.push_back(std::make_unique<fault_proxy>(endpoint{"127.0.0.1", 0}, endpoint{"127.0.0.1", m_standinPort}));
            if (!m_storeProxies.back()->start(reason)) {
                throw std::runtime_error("no proxy: " + describe(reason));
            }
        }
        m_ports.push_back({ports, static_cast<std::uint16_t>(ports + 1), static_cast<std::uint16_t>(ports + 2)});
        writeSettings(m_ports.size() - 1);
        m_nodes.push_back(nullptr);
        restart(m_ports.size() - 1);
    }
    const bool ready = waitUntil([this] {
        for (const node_ports &ports : m_ports) {
            const http_result answer = call("GET", "http://127.0.0.1:" + std::to_string(ports.ready) + "/-/ready", "");
            if (answer.state != send_state::Answered || answer.response.status != statusOk) {
                return false;
            }
        }
        return true;
    });
    if (!ready) {
        throw std::runtime_error("not all nodes became ready; log of the first node:\n" + m_nodes.front()->log());
    }
}

platform_deployment::~platform_deployment()
{
    m_nodes.clear();
    m_standin.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

std::string platform_deployment::settingsPath(std::size_t index) const
{
    return m_directory + "/node-" + std::to_string(index) + ".conf";
}

void platform_deployment::writeSettings(std::size_t index)
{
    const node_ports &ports = m_ports.at(index);
    const std::string standin = "127.0.0.1:" + std::to_string(m_standinPort);
    const std::string store = m_storeProxies.empty() ? standin : "127.0.0.1:" + std::to_string(m_storeProxies.at(index)->port());
    std::ofstream file(settingsPath(index));
    file << "Node=node-" << index << "\nZone=zone-a\n"
         << "Listen.Front=127.0.0.1:" << ports.front << "\nListen.Ready=127.0.0.1:" << ports.ready << '\n'
         << "InternalPorts=" << ports.internal << ',' << ports.internal + 10 << '\n'
         << "platform.Address=" << store << "\nCloud.Address=" << standin << '\n'
         << "Limits.CpuShare=0.25\n";
    if (m_options.memoryMb > 0) {
        file << "Limits.MemoryMb=" << m_options.memoryMb << '\n';
    }
    if (m_options.maxDescriptors > 0) {
        file << "Limits.MaxFds=" << m_options.maxDescriptors << '\n';
    }
    file << "Bounds.MaxHoldMs=6000\nBounds.LeaseMs=3000\nBounds.MoveS=0.5\nBounds.MaintenanceS=0.5\n" << m_options.settings;
}

void platform_deployment::restart(std::size_t index)
{
    m_nodes.at(index) = std::make_unique<child_process>("daisypass-node",
                                                        std::vector<std::string>{"--settings", settingsPath(index)},
                                                        m_directory + "/node-" + std::to_string(index) + '-' + std::to_string(++m_starts) + ".log");
}

std::size_t platform_deployment::leaseHolder()
{
    std::size_t found = m_nodes.size();
    const bool held = waitUntil([&] {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const std::string log = m_nodes[i]->log();
            const std::size_t gained = log.rfind("\"term_recovered\"");
            const std::size_t lost = log.rfind("\"term_lost\"");
            const bool holds = gained != std::string::npos && (lost == std::string::npos || lost < gained);
            if (holds && m_nodes[i]->running()) {
                found = i;
                return true;
            }
        }
        return false;
    });
    if (!held) {
        throw std::runtime_error("no running node acquired the lease in time");
    }
    return found;
}

http_result platform_deployment::call(const std::string &method, const std::string &url, const std::string &body)
{
    http_call call;
    call.method = method;
    call.url = url;
    call.headers = {{"Host", host}, {"Content-Type", "application/json"}, {"X-Daisypass-Deadline-Ms", "3000"}};
    if (!m_key.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + m_key});
    }
    call.body = body;
    call.totalTimeout = std::chrono::seconds(4);
    return m_client.fetch(call);
}

std::string platform_deployment::url(std::size_t node, const std::string &path) const
{
    return "http://127.0.0.1:" + std::to_string(m_ports.at(node).front) + path;
}

std::string platform_deployment::body(int taskMs, int tasks, const std::string &kind) const
{
    return nlohmann::json{{"Spec", "ms=" + std::to_string(taskMs) + ' ' + kind},
                          {"Steps", {{{"Count", tasks}, {"Cpu", 1'000}, {"MemMb", 100}, {"EstimateMs", taskMs}}}}}
        .dump();
}

std::string platform_deployment::submit(std::size_t node, int taskMs, int tasks, const std::string &kind)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(m_random()));
    const http_result answer = call("POST", url(node, "/queue-0/" + std::string(id)), body(taskMs, tasks, kind));
    return answer.state == send_state::Answered && answer.response.status == statusOk ? std::string(id) : std::string();
}

int platform_deployment::resubmit(std::size_t node, const std::string &id, int taskMs, int tasks)
{
    return call("POST", url(node, "/queue-0/" + id), body(taskMs, tasks, "")).response.status;
}

int platform_deployment::cancel(std::size_t node, const std::string &id)
{
    return status("DELETE", node, "/queue-0/" + id);
}

int platform_deployment::status(const std::string &method, std::size_t node, const std::string &path)
{
    const http_result answer = call(method, url(node, path), "");
    return answer.state == send_state::Answered ? answer.response.status : 0;
}

std::string platform_deployment::phase(std::size_t node, const std::string &id)
{
    const http_result answer = call("GET", url(node, "/queue-0/" + id), "");
    const nlohmann::json state = nlohmann::json::parse(answer.response.body, nullptr, false);
    return state.is_object() ? state.value("State", "") : std::string();
}

bool platform_deployment::waitForPhase(std::size_t node, const std::string &id, const std::string &expected)
{
    return waitUntil([&] {
        return phase(node, id) == expected;
    });
}

void platform_deployment::admin(const std::string &path, const std::string &body)
{
    call("POST", "http://127.0.0.1:" + std::to_string(m_standinPort) + path, body);
}

void platform_deployment::putConfiguration(const nlohmann::json &configuration)
{
    admin("/admin/row?key=config", configuration.dump());
}

void platform_deployment::cutFromStore(std::size_t node, bool cut)
{
    proxy_faults faults;
    faults.cut = cut;
    m_storeProxies.at(node)->set(faults);
}

nlohmann::json platform_deployment::report()
{
    const http_result answer = call("GET", "http://127.0.0.1:" + std::to_string(m_standinPort) + "/admin/report", "");
    return nlohmann::json::parse(answer.response.body, nullptr, false);
}

} // namespace daisypass::integration
