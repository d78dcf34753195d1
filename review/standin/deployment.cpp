#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int portsPerNode = 8;
constexpr int frontOffset = 0;
constexpr int readyOffset = 1;
constexpr int internalOffset = 2;
constexpr std::int64_t readyTimeoutMs = 20'000;
constexpr std::int64_t clientDeadlineMs = 3'000;
constexpr int maxTries = 5;

json routeTo(const char *name, const char *prefix, const char *pool)
{
    return json{{"Name", name},
                {"Host", host},
                {"PathPrefix", prefix},
                {"Kind", "unsafe"},
                {"TimeoutMs", 3'000},
                {"TargetDurationMs", 600},
                {"Priority", 0},
                {"Service", pool},
                {"MaxAttempts", maxAttempts},
                {"Stretch", 1.6}};
}

json serviceNamed(const char *name)
{
    return json{{"Name", name}, {"HealthPath", "/health"}, {"MaxConns", 64}, {"Protocol", "h1"}, {"Tls", false}, {"AdmissionCheck", false}, {"Spare", false}};
}

std::vector<std::string> wordsOf(const std::string &command)
{
    std::istringstream text(command);
    std::vector<std::string> words;
    for (std::string word; text >> word;) {
        words.push_back(word);
    }
    return words;
}

} // namespace

deployment::deployment(const deployment_options &options, planner plan)
    : m_options(options)
    , m_log(options.recordFile)
    , m_store(m_log)
    , m_fleet(m_store, m_log, std::move(plan))
    , m_storeServer([this](const request &call) {
        return m_store.handle(call);
    })
    , m_fleetServer([this](const request &call) {
        return m_fleet.handle(call);
    })
    , m_processes(static_cast<std::size_t>(options.nodes))
{
    configure(1);
    for (int i = 0; i < 2 * machinesPerPool; ++i) {
        m_fleet.add(i < machinesPerPool ? firstPool : secondPool, "m-0a3f" + std::to_string(i), i == 0 ? ownRack : "r1-" + std::to_string(i % 4));
    }
}

void deployment::configure(std::int64_t version, bool withFirstQueue)
{
    json routes = json::array({routeTo("r-k9m68k7", secondQueue, secondPool)});
    if (withFirstQueue) {
        routes.push_back(routeTo("r-anu6wsj", firstQueue, firstPool));
    }
    m_log.line("operator writes configuration " + std::to_string(version) + (withFirstQueue ? "" : " without the route " + std::string(firstQueue)));
    m_store.put("op",
                "config",
                json{{"Version", version},
                     {"Routes", routes},
                     {"Services", {serviceNamed(firstPool), serviceNamed(secondPool)}},
                     {"Limits", {{"MaxHeaderBytes", 16'384}, {"MaxBodyBytes", 262'144}, {"HeaderTimeoutMs", 3'000}, {"IdleTimeoutMs", 15'000}}}});
}

// The fields and bounds of a small deployment, as DEPLOY.md shows them.
std::string deployment::settingsOf(std::size_t node) const
{
    const std::uint16_t ports = m_processes[node].ports;
    std::ostringstream text;
    text << "Node=edge-zagreb-a-" << node + 1 << "\nRole=node\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\nZone=zagreb-a\nRegion=hr-jadran\n"
         << "Zones.zagreb-a=hr-jadran\nListen.Front=127.0.0.1:" << ports + frontOffset << "\nListen.Ready=127.0.0.1:" << ports + readyOffset
         << "\nInternalPorts=" << ports + internalOffset << ',' << ports + portsPerNode - 1 << "\nSeeds=\nBootstrap=true\nToleranceMember=false\n"
         << "Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n"
         << "Discovery=platform\nEntry=vip\nHeartbeatMs=1500\nContracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
         << "FaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n"
         << "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\n"
         << "Bounds.GraceS=6\nBounds.LostSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\n"
         << "Bounds.RecoveryS=12\nBounds.MaxHoldMs=6000\nBounds.StopMs=400\nBounds.GangWaitMs=3000\nBounds.cancel_ms=3000\nBounds.visible_ms=3000\n"
         << "Bounds.early_ms=250\nBounds.finish_s=14\nBounds.status_s=120\nBounds.FarFactor=2\nBounds.CheckpointS=1\nBounds.RestoreMs=100\n"
         << "Bounds.NoticeMs=4500\nBounds.MoveS=1.5\nBounds.MaintenanceS=2\nBounds.RequireFence=true\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\n"
         << "Bounds.PaceMs=100\nBounds.HarmMs=4000\nOrders=call\nplatform.Address=" << m_storeServer.address()
         << "\nplatform.form=table\nplatform.WritesPerS=600\nplatform.ReadsPerS=2000\nplatform.TxMs=3.0\nplatform.PartWritesS=300\n"
         << "platform.RowBytes=65536\nplatform.Across=true\nplatform.HistoryS=20\nplatform.BlobBytes=8388608\nplatform.BlobMs=25.0\n"
         << "platform.BlobMbS=80.0\nCloud.Address=" << m_fleetServer.address() << "\nCloud.RatePerS=64.0\nCloud.Duties=\nCloud.DutyPerS=64.0\n";
    return text.str();
}

bool deployment::start()
{
    const std::uint16_t ports = freePorts(portsPerNode * static_cast<int>(m_processes.size()));
    for (std::size_t node = 0; node < m_processes.size(); ++node) {
        m_processes[node].ports = static_cast<std::uint16_t>(ports + portsPerNode * static_cast<int>(node));
        startNode(node);
    }
    const std::int64_t deadline = nowMs() + readyTimeoutMs;
    std::size_t ready = 0;
    while (ready < m_processes.size() && nowMs() < deadline) {
        const std::string address = "127.0.0.1:" + std::to_string(m_processes[ready].ports + readyOffset);
        if (fetch(address, "GET", "/-/ready", {}, "", 1'000).status == 200) {
            ++ready;
        } else {
            sleepMs(100);
        }
    }
    // The first lease holder needs a moment to find the executors.
    sleepMs(1'500);
    return ready == m_processes.size();
}

void deployment::startNode(std::size_t node)
{
    const std::string name = m_options.directory + "/edge-" + std::to_string(node + 1);
    std::ofstream(name + ".conf") << settingsOf(node);
    std::vector<std::string> words = wordsOf(m_options.command);
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string logFile = name + ".log";
    const std::string settings = name + ".conf";
    const pid_t pid = ::fork();
    if (pid == 0) {
        // The node ends with this process in any case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("DAISYPASS_SETTINGS", settings.c_str(), 1);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    m_processes[node].pid = pid;
    m_log.line("node edge-zagreb-a-" + std::to_string(node + 1) + " starts as process " + std::to_string(pid));
}

void deployment::signalNode(std::size_t node, int number)
{
    m_log.line("node edge-zagreb-a-" + std::to_string(node + 1) + " gets signal " + std::to_string(number));
    ::kill(m_processes[node].pid, number);
    if (number == SIGKILL) {
        ::waitpid(m_processes[node].pid, nullptr, 0);
        m_processes[node].pid = -1;
    }
}

void deployment::end()
{
    for (node_process &node : m_processes) {
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
            node.pid = -1;
        }
    }
}

response deployment::call(std::size_t node, const std::string &method, const std::string &path, const std::string &body)
{
    const std::string name = method + ' ' + path + " at node " + std::to_string(node + 1);
    m_log.line("client sends " + name);
    const std::string address = "127.0.0.1:" + std::to_string(m_processes[node].ports + frontOffset);
    const std::map<std::string, std::string> headers{
        {"Host", host}, {"Content-Type", "application/json"}, {"X-Daisypass-Deadline-Ms", std::to_string(clientDeadlineMs)}};
    const response answer = fetch(address, method, path, headers, body, clientDeadlineMs);
    m_log.line("client gets " + std::to_string(answer.status) + ' ' + answer.body + " for " + name);
    return answer;
}

std::string deployment::newId()
{
    char id[20];
    std::snprintf(id, sizeof id, "5c0e7a21%08x", 0xd94b3600U + ++m_lastId);
    return id;
}

std::optional<std::string> deployment::submit(const std::string &queue, const json &steps, const std::string &spec)
{
    const std::string id = newId();
    const std::string body = json{{"Spec", spec}, {"Steps", steps}}.dump();
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        const int status = call(m_nextNode++ % m_processes.size(), "POST", queue + id, body).status;
        if (status == 200) {
            return id;
        }
        const bool open = status == 0 || status == 502 || status == 504;
        if (!open) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::string deployment::stateOf(const std::string &queue, const std::string &id)
{
    for (std::size_t node = 0; node < m_processes.size(); ++node) {
        const response answer = call(node, "GET", queue + id);
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object()) {
            return body.value("State", "");
        }
        if (answer.status == 410) {
            return "410";
        }
    }
    return {};
}

} // namespace review
