// daisypass-peer-bench: measures the control overhead of one entry, and the time until a change is in force at every entry.
//
// Each entry runs in a process of its own, with fleet follower and membership but without requests. This process runs the platform stand-in
// and a proxy to it for each entry, and appends to the fleet log. Limits of design section 1.7: 1.1% of a core, 128 MB and 7 KB/s per node, 11 s to be in
// force.
//
// Bytes are those of the entry's TCP connections (TCP_INFO) in both directions, without and with 52 bytes of IPv4 and TCP headers per segment.

#include "base/log.h"
#include "entry/membership.h"
#include "standins/fault_proxy.h"
#include "standins/platform_standin.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t headerBytes = 52;

struct usage
{
    double processorSeconds = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t segments = 0;
    std::uint64_t sockets = 0;
};

// The kernel's tcp_info up to the last member used. libc declares only its first part, and linux/tcp.h conflicts with libc's header.
struct counted_tcp_info
{
    tcp_info first;
    std::uint64_t pacing[2];
    std::uint64_t bytesAcked;
    std::uint64_t bytesReceived;
    std::uint32_t segmentsOut;
    std::uint32_t segmentsIn;
    std::uint32_t others[4];
    std::uint64_t rates[4];
    std::uint32_t delivered[2];
    std::uint64_t bytesSent;
};

usage currentUsage()
{
    usage used;
    rusage process{};
    getrusage(RUSAGE_SELF, &process);
    for (const timeval &part : {process.ru_utime, process.ru_stime}) {
        used.processorSeconds += static_cast<double>(part.tv_sec) + static_cast<double>(part.tv_usec) / 1e6;
    }
    for (const std::filesystem::directory_entry &file : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(file.path().filename().string());
        counted_tcp_info info{};
        socklen_t length = sizeof info;
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
            used.sent += info.bytesSent;
            used.received += info.bytesReceived;
            used.segments += info.segmentsOut + info.segmentsIn;
            ++used.sockets;
        }
    }
    return used;
}

double residentMegabytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            double kibibytes = 0;
            status >> kibibytes;
            return kibibytes * 1024 / 1e6;
        }
    }
    return 0;
}

// Runs in the entry's process: reads commands, one per line, and answers each with one line of JSON.
class entry_process
{
public:
    entry_process(int number, FILE *commands, FILE *answers)
        : m_number(number)
        , m_commands(commands)
        , m_answers(answers)
    {
    }

    int run()
    {
        char line[64];
        while (std::fgets(line, sizeof line, m_commands) != nullptr) {
            std::istringstream words(line);
            std::string command;
            words >> command;
            nlohmann::json answer = nlohmann::json::object();
            if (command == "start") {
                std::uint16_t port = 0;
                words >> port;
                start(port);
            } else if (command == "ready") {
                answer["ready"] = m_group->status().ready && m_follower->state()->vms().size() > 1;
            } else if (command == "busy") {
                m_busy = true;
            } else if (command == "begin") {
                m_startUsage = currentUsage();
            } else if (command == "end") {
                const usage ended = currentUsage();
                answer = {{"cpu", ended.processorSeconds - m_startUsage.processorSeconds},
                          {"sent", ended.sent - m_startUsage.sent},
                          {"received", ended.received - m_startUsage.received},
                          {"segments", ended.segments - m_startUsage.segments},
                          {"sockets_begin", m_startUsage.sockets},
                          {"sockets_end", ended.sockets},
                          {"resident_mb", residentMegabytes()}};
            } else if (command == "times") {
                const std::lock_guard<std::mutex> guard(m_lock);
                for (const std::pair<const revision_number, std::int64_t> &time : m_inForceAt) {
                    answer[std::to_string(time.first)] = time.second;
                }
            } else if (command == "quit") {
                m_group->stop();
                return 0;
            }
            std::fprintf(m_answers, "%s\n", answer.dump().c_str());
            std::fflush(m_answers);
        }
        return 1;
    }

private:
    void start(std::uint16_t storePort)
    {
        const endpoint service{"127.0.0.1", storePort};
        const std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});
        const table_service table(http_table(client, service));
        const object_store objects(http_objects(client, service));
        const std::uint64_t seed = static_cast<std::uint64_t>(m_number);
        m_follower = std::make_unique<fleet_follower>(table, objects, fleet_follower_options{.seed = seed});
        m_follower->addListener([this](const std::shared_ptr<const fleet_state> &state) {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_inForceAt.emplace(state->revision(), steadyNow().count());
        });
        membership_handlers handlers;
        handlers.loads = [this] {
            const int changing = m_busy ? static_cast<int>(++m_calls % 1'000) : 0;
            std::vector<peer_pool_load> loads;
            for (const char *pool : {"booking", "profiles", "counter-queue", "grinder-jobs", "spare-admin"}) {
                loads.push_back({pool, changing, changing, changing, {}});
            }
            return loads;
        };
        membership_options options{"entry-" + std::to_string(m_number), seed, {"127.0.0.1", 1}, {"127.0.0.1", 0}, "zone", seed};
        m_group = std::make_unique<membership>(options, *m_follower, fleet_log(table, objects), handlers);
        failure reason;
        if (!m_group->start(reason)) {
            std::cerr << describe(reason) << '\n';
            _exit(1);
        }
        m_follower->start();
    }

    const int m_number;
    FILE *m_commands;
    FILE *m_answers;
    std::atomic<bool> m_busy{false};
    std::atomic<std::uint64_t> m_calls{0};
    usage m_startUsage;
    std::mutex m_lock;
    std::map<revision_number, std::int64_t> m_inForceAt;
    std::unique_ptr<fleet_follower> m_follower;
    std::unique_ptr<membership> m_group;
};

struct entry_handle
{
    pid_t process = 0;
    FILE *commands = nullptr;
    FILE *answers = nullptr;
    std::unique_ptr<fault_proxy> store;

    nlohmann::json sendCommand(const std::string &command) const
    {
        std::fprintf(commands, "%s\n", command.c_str());
        std::fflush(commands);
        std::string answer;
        int byte = 0;
        while ((byte = std::fgetc(answers)) != EOF && byte != '\n') {
            answer.push_back(static_cast<char>(byte));
        }
        return nlohmann::json::parse(answer, nullptr, false);
    }
};

// Must be called before this process starts threads, because fork() copies only the calling one.
entry_handle forkEntry(int number)
{
    int commandPipe[2];
    int answerPipe[2];
    if (pipe(commandPipe) != 0 || pipe(answerPipe) != 0) {
        std::exit(1);
    }
    entry_handle entry;
    entry.process = fork();
    if (entry.process == 0) {
        close(commandPipe[1]);
        close(answerPipe[0]);
        _exit(entry_process(number, fdopen(commandPipe[0], "r"), fdopen(answerPipe[1], "w")).run());
    }
    close(commandPipe[0]);
    close(answerPipe[1]);
    entry.commands = fdopen(commandPipe[1], "w");
    entry.answers = fdopen(answerPipe[0], "r");
    return entry;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

// Runs in the parent process: appends to the fleet log and collects the measurements of the entries.
class bench_run
{
public:
    bench_run(std::vector<entry_handle> &entries, const std::string &examples)
        : m_entries(entries)
        , m_platform({})
    {
        failure reason;
        if (!m_platform.start(reason)) {
            std::exit(1);
        }
        m_client = std::make_shared<http_client>(http_client_options{});
        const endpoint service{"127.0.0.1", m_platform.port()};
        m_log = std::make_unique<fleet_log>(table_service(http_table(m_client, service)), object_store(http_objects(m_client, service)));
        configure(examples);
        for (entry_handle &entry : m_entries) {
            entry.store = std::make_unique<fault_proxy>(endpoint{"127.0.0.1", 0}, service);
            if (!entry.store->start(reason)) {
                std::exit(1);
            }
            entry.sendCommand("start " + std::to_string(entry.store->port()));
        }
        while (!std::all_of(m_entries.begin(), m_entries.end(), [](const entry_handle &entry) {
            return entry.sendCommand("ready").value("ready", false);
        })) {
            std::this_thread::sleep_for(100ms);
        }
        std::this_thread::sleep_for(2s);
    }

    void measureCost(const char *name, std::chrono::seconds length)
    {
        for (const entry_handle &entry : m_entries) {
            entry.sendCommand("begin");
        }
        const timestamp startedAt = steadyNow();
        std::this_thread::sleep_for(length);
        const double seconds = std::chrono::duration<double>(steadyNow() - startedAt).count();
        std::vector<double> processor;
        std::vector<double> payload;
        std::vector<double> wire;
        std::vector<double> resident;
        bool sameSockets = true;
        for (const entry_handle &entry : m_entries) {
            const nlohmann::json used = entry.sendCommand("end");
            const double bytes = used["sent"].get<double>() + used["received"].get<double>();
            processor.push_back(100 * used["cpu"].get<double>() / seconds);
            payload.push_back(bytes / seconds);
            wire.push_back((bytes + headerBytes * used["segments"].get<double>()) / seconds);
            resident.push_back(used["resident_mb"].get<double>());
            sameSockets = sameSockets && used["sockets_begin"] == used["sockets_end"];
        }
        std::printf("%zu entries, %-10s median per entry: %.2f%% of a core, %.0f B/s payload, %.0f B/s with headers (both directions), %.1f MB resident; "
                    "most: %.2f%%, %.0f B/s, %.0f B/s, %.1f MB%s\n",
                    m_entries.size(),
                    name,
                    median(processor),
                    median(payload),
                    median(wire),
                    median(resident),
                    *std::max_element(processor.begin(), processor.end()),
                    *std::max_element(payload.begin(), payload.end()),
                    *std::max_element(wire.begin(), wire.end()),
                    *std::max_element(resident.begin(), resident.end()),
                    sameSockets ? "" : "; connections changed, bytes of closed ones are missing");
        std::fflush(stdout);
    }

    void measureRollout(const char *name, int appends)
    {
        std::map<revision_number, std::int64_t> appended;
        std::mt19937_64 random(7);
        for (int i = 0; i < appends; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(600 + random() % 900));
            const std::int64_t at = steadyNow().count();
            const bool failed = m_state.vms().find(m_vm)->second.state == vm_state::Failed;
            appended[append(failed ? fleet_change(vm_recovered{m_vm}) : fleet_change(vm_failed{m_vm}))] = at;
        }
        std::this_thread::sleep_for(6s);
        std::map<revision_number, double> last;
        std::vector<double> firstEntry;
        std::size_t missing = 0;
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            const nlohmann::json times = m_entries[index].sendCommand("times");
            for (const std::pair<const revision_number, std::int64_t> &change : appended) {
                // A state with a later revision contains the change too, so the first state with this or a later revision counts.
                std::optional<std::int64_t> at;
                for (auto item = times.begin(); item != times.end(); ++item) {
                    if (std::stoull(item.key()) >= change.first) {
                        at = std::min(at.value_or(item->get<std::int64_t>()), item->get<std::int64_t>());
                    }
                }
                missing += at ? 0 : 1;
                const double seconds = at ? static_cast<double>(*at - change.second) / 1e6 : 0;
                last[change.first] = std::max(last[change.first], seconds);
                if (index == 0) {
                    firstEntry.push_back(seconds);
                }
            }
        }
        std::vector<double> atAllEntries;
        atAllEntries.reserve(last.size());
        for (const std::pair<const revision_number, double> &change : last) {
            atAllEntries.push_back(change.second);
        }
        std::printf("%zu entries, %-10s append to in force at every entry: median %.3f s, most %.3f s; at entry 1: median %.3f s, most %.3f s; %d appends, "
                    "%zu not in force 6 s after the last\n",
                    m_entries.size(),
                    name,
                    median(atAllEntries),
                    *std::max_element(atAllEntries.begin(), atAllEntries.end()),
                    median(firstEntry),
                    *std::max_element(firstEntry.begin(), firstEntry.end()),
                    appends,
                    missing);
        std::fflush(stdout);
    }

    void disconnectFirstEntry(bool freeze)
    {
        m_entries[0].store->set({.cut = !freeze, .freeze = freeze});
        std::this_thread::sleep_for(5s);
    }

    void busy()
    {
        for (const entry_handle &entry : m_entries) {
            entry.sendCommand("busy");
        }
        std::this_thread::sleep_for(1s);
    }

private:
    void configure(const std::string &examples)
    {
        configuration_applied change;
        failure reason;
        for (const std::filesystem::directory_entry &file : std::filesystem::directory_iterator(examples)) {
            std::ifstream stream(file.path(), std::ios::binary);
            const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
            change.changed.push_back({file.path().filename().string(), m_log->putFile(text, reason).value_or("")});
        }
        append(change);
        m_vm = m_state.vms().begin()->first;
        append(vm_returned{m_vm, m_state.vms().begin()->second.epoch});
    }

    // Joining entries append to the log too, so each attempt first replays new records, and a conflict leads to a retry.
    revision_number append(const fleet_change &change)
    {
        while (true) {
            failure reason;
            const std::optional<std::vector<log_record>> others = m_log->readAfter(m_state.revision(), 100, reason);
            for (const log_record &record : others.value_or(std::vector<log_record>())) {
                m_state.apply(record, m_log->files(), reason);
            }
            const std::optional<log_head> head = m_log->readHead(reason);
            const log_record record{m_state.revision() + 1, "bench-" + std::to_string(++m_appends), wallNow(), {change}};
            fleet_state after = m_state;
            if (head && head->revision == m_state.revision() && after.apply(record, m_log->files(), reason)
                && m_log->append(record, *head, reason) == commit_outcome::Committed) {
                m_state = std::move(after);
                return record.revision;
            }
        }
    }

    std::vector<entry_handle> &m_entries;
    platform_standin m_platform;
    std::shared_ptr<http_client> m_client;
    std::unique_ptr<fleet_log> m_log;
    fleet_state m_state;
    std::string m_vm;
    int m_appends = 0;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Measures the control overhead of one entry and the time until a change is in force"};
    int count = 8;
    int seconds = 10;
    int appends = 15;
    std::string examples = "examples/brusilica";
    app.add_option("--entries", count, "number of entries")->check(CLI::Range(1, 16));
    app.add_option("--seconds", seconds, "length of each cost measurement")->check(CLI::Range(1, 600));
    app.add_option("--appends", appends, "appends per roll-out measurement")->check(CLI::Range(1, 1'000));
    app.add_option("--configuration", examples, "directory of the configuration")->check(CLI::ExistingDirectory);
    CLI11_PARSE(app, argc, argv);

    std::vector<entry_handle> entries;
    for (int number = 1; number <= count; ++number) {
        entries.push_back(forkEntry(number));
    }
    {
        bench_run run(entries, examples);
        run.measureCost("idle", std::chrono::seconds(seconds));
        run.busy();
        run.measureCost("busy", std::chrono::seconds(seconds));
        run.measureRollout("connected", appends);
        run.disconnectFirstEntry(false);
        run.measureRollout("cut", appends);
        run.disconnectFirstEntry(true);
        run.measureRollout("frozen", appends);
        for (const entry_handle &entry : entries) {
            std::fprintf(entry.commands, "quit\n");
            std::fflush(entry.commands);
        }
        for (const entry_handle &entry : entries) {
            waitpid(entry.process, nullptr, 0);
        }
    }
    return 0;
}
