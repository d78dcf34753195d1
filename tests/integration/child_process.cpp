#include "integration/child_process.h"

#include <asio.hpp>

#include <cstdlib>
#include <filesystem>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace daisypass::integration {
namespace {

constexpr std::chrono::milliseconds pollInterval{10};

// Programs of another build can be tested: one that stands in the directory DAISYPASS_PROGRAMS goes before that of this build.
std::string pathOf(const std::string &program)
{
    const char *directory = std::getenv("DAISYPASS_PROGRAMS");
    const std::string other = directory == nullptr ? std::string() : std::string(directory) + '/' + program;
    return !other.empty() && std::filesystem::exists(other) ? other : std::string(DAISYPASS_BIN_DIR) + '/' + program;
}

pid_t spawn(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath)
{
    const std::string path = pathOf(program);
    std::vector<std::string> texts{path};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
    pid_t id = -1;
    const int error = posix_spawn(&id, path.c_str(), &files, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        throw std::runtime_error("cannot start program " + path);
    }
    return id;
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds bound)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments, std::string logPath)
    : m_program(program)
    , m_logPath(std::move(logPath))
    , m_id(spawn(program, arguments, m_logPath))
{
}

child_process::~child_process()
{
    kill();
}

void child_process::freeze()
{
    ::kill(m_id, SIGSTOP);
}

void child_process::resume()
{
    ::kill(m_id, SIGCONT);
}

void child_process::kill()
{
    if (!m_ended) {
        ::kill(m_id, SIGKILL);
        reapChild(true);
    }
}

void child_process::requestStop()
{
    if (!m_ended) {
        ::kill(m_id, SIGTERM);
    }
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds bound)
{
    waitUntil(
        [this] {
            return !running();
        },
        bound);
    return m_status;
}

bool child_process::running()
{
    reapChild(false);
    return !m_ended;
}

void child_process::reapChild(bool block)
{
    int status = 0;
    if (!m_ended && waitpid(m_id, &status, block ? 0 : WNOHANG) == m_id) {
        m_ended = true;
        if (WIFEXITED(status)) {
            m_status = WEXITSTATUS(status);
        }
    }
}

nlohmann::json child_process::waitForLine(const std::string &event, int count, std::chrono::milliseconds bound)
{
    std::vector<nlohmann::json> lines;
    const bool found = waitUntil(
        [&] {
            lines = linesOf(event);
            return static_cast<int>(lines.size()) >= count || !running();
        },
        bound);
    if (!found || static_cast<int>(lines.size()) < count) {
        throw std::runtime_error(m_program + " did not log the event '" + event + "':\n" + log());
    }
    return lines[static_cast<std::size_t>(count - 1)];
}

std::vector<nlohmann::json> child_process::linesOf(const std::string &event) const
{
    std::vector<nlohmann::json> lines;
    std::istringstream input(log());
    std::string text;
    while (std::getline(input, text)) {
        constexpr bool allowExceptions = false;
        nlohmann::json line = nlohmann::json::parse(text, nullptr, allowExceptions);
        if (line.is_object() && line.value("event", "") == event) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

std::string child_process::log() const
{
    std::ifstream input(m_logPath);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

int runProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath)
{
    child_process process(program, arguments, logPath);
    return process.waitForExit().value_or(-1);
}

std::uint16_t freePorts(int count)
{
    // Below the system's ephemeral port range, so that no outgoing connection takes a port before its process starts.
    constexpr int first = 20'000;
    constexpr int last = 32'000;
    static int next = first + static_cast<int>(getpid()) * 64 % (last - first);
    asio::io_context context;
    for (int tries = 0; tries < last - first; ++tries) {
        const int candidate = next + count <= last ? next : first;
        next = candidate + count;
        bool free = true;
        for (int port = candidate; port < candidate + count; ++port) {
            asio::ip::tcp::acceptor acceptor(context);
            asio::error_code error;
            acceptor.open(asio::ip::tcp::v4(), error);
            acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
            free = free && !error;
        }
        if (free) {
            return static_cast<std::uint16_t>(candidate);
        }
    }
    throw std::runtime_error("no consecutive free ports between 20000 and 32000");
}

std::string newDirectory()
{
    std::string name = (std::filesystem::temp_directory_path() / "daisypass-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create the temporary directory " + name);
    }
    return name;
}

} // namespace daisypass::integration
