#pragma once

// Real processes for the integration tests: start, wait on conditions with a bound, freeze, kill by id, clean up.
//
//     child_process entry("daisypass-entry", {"--settings", path}, directory + "/entry-1.log");
//     nlohmann::json line = entry.waitForLine("ready_to_accept");

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace daisypass::integration {

/** Bound of every wait unless a stricter one is stated; generous, because it only ends a test that has failed already. */
constexpr std::chrono::seconds waitBound{20};

/** Polls until the condition holds or the bound has passed, and returns whether it held. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds bound = waitBound);

class child_process
{
public:
    /** Runs a program of the build with its standard error in the file. Throws std::runtime_error if it cannot start. */
    child_process(const std::string &program, const std::vector<std::string> &arguments, std::string logPath);
    /** Kills the process if it still runs. */
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /** SIGSTOP and SIGCONT. */
    void freeze();
    void resume();
    /** SIGKILL, and waits for the end. */
    void kill();
    /** SIGTERM without a wait. */
    void askToStop();
    /** Exit status, or nothing if the process was killed by a signal or did not end within the bound. */
    std::optional<int> waitForExit(std::chrono::milliseconds bound = waitBound);
    bool running();

    /** The `count`th log line with this event. Throws std::runtime_error if it does not come within the bound. */
    nlohmann::json waitForLine(const std::string &event, int count = 1, std::chrono::milliseconds bound = waitBound);
    std::string log() const;

private:
    std::vector<nlohmann::json> linesOf(const std::string &event) const;
    void collect(bool block);

    std::string m_program;
    std::string m_logPath;
    pid_t m_id = -1;
    bool m_ended = false;
    std::optional<int> m_status;
};

/** A port of 127.0.0.1 that is free now, for a process whose address others must know before it starts. */
std::uint16_t freePort();

/** The first of some ports in a row that are free now, from a range that outgoing connections don't use. */
std::uint16_t freePorts(int count);

/** A new empty directory for a test's files. Throws std::runtime_error if none can be made. */
std::string newDirectory();

/** Runs a program of the build to its end and returns its exit status; output goes to the file. */
int runProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath);

} // namespace daisypass::integration
