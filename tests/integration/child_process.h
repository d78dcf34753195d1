#pragma once

// Runs the project's programs as child processes of an integration test: starts, freezes, stops and kills them, and reads their logs.
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

/** Default timeout of every wait. It is long because only a failing test reaches it. */
constexpr std::chrono::seconds waitBound{20};

/** Polls the condition until it is true or the timeout has passed. Returns whether it became true. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds bound = waitBound);

class child_process
{
public:
    /** Starts a program of the build; its standard output and error are appended to the log file. Throws std::runtime_error if it cannot start. */
    child_process(const std::string &program, const std::vector<std::string> &arguments, std::string logPath);
    /** Kills the process if it still runs. */
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /** Sends SIGSTOP; resume() sends SIGCONT. */
    void freeze();
    void resume();
    /** Sends SIGKILL and waits until the process has ended. */
    void kill();
    /** Sends SIGTERM and returns at once. */
    void requestStop();
    /** Returns the exit status, or nothing if a signal killed the process or it did not end within the timeout. */
    std::optional<int> waitForExit(std::chrono::milliseconds bound = waitBound);
    bool running();
    pid_t id() const
    {
        return m_id;
    }

    /** Returns the `count`th log line with this event. Throws std::runtime_error if the process ends or the timeout passes before it is written. */
    nlohmann::json waitForLine(const std::string &event, int count = 1, std::chrono::milliseconds bound = waitBound);
    std::string log() const;

private:
    std::vector<nlohmann::json> linesOf(const std::string &event) const;
    void reapChild(bool block);

    std::string m_program;
    std::string m_logPath;
    pid_t m_id = -1;
    bool m_ended = false;
    std::optional<int> m_status;
};

/** Returns the first of `count` consecutive free ports, from a range that outgoing connections don't use. Throws std::runtime_error if there are none. */
std::uint16_t freePorts(int count);

/** Creates an empty temporary directory and returns its path. Throws std::runtime_error on failure. */
std::string newDirectory();

/** Runs a program of the build to its end, with its output in the log file. Returns its exit status, or -1 if it did not end by itself within `waitBound`. */
int runProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath);

} // namespace daisypass::integration
