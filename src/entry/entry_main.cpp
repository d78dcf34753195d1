// daisypass-entry: accepts callers' requests, schedules them and sends them to targets.

#include "base/log.h"
#include "entry/entry_process.h"
#include "entry/request_id.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <csignal>
#include <iostream>
#include <random>

namespace daisypass {
namespace {

constexpr int exitSettings = 2;
constexpr int exitListen = 3;
constexpr int exitUnclean = 4;

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr int wordBits = 32;
    return (static_cast<std::uint64_t>(device()) << wordBits) | device();
}

// Blocks SIGTERM and SIGINT. All threads inherit the mask, so only the thread that calls sigwait() receives these signals.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const entry_settings &settings)
{
    const sigset_t signals = blockStopSignals();
    startLog("daisypass-entry", settings.entry);
    entry_process entry(settings, randomSeed());
    entry.setRemovedHandler([] {
        logEvent("removed_from_fleet", {});
        kill(getpid(), SIGTERM);
    });
    failure reason;
    if (!entry.start(reason)) {
        std::cerr << describe(reason) << '\n';
        return exitListen;
    }
    logEvent("ready_to_accept",
             {{"callers_port", entry.callersPort()},
              {"peers_port", entry.peersEndpoint().port},
              {"incarnation", formatIncarnation(entry.incarnation())},
              {"version", DAISYPASS_VERSION}});
    int signal = 0;
    sigwait(&signals, &signal);
    return entry.stop() ? 0 : exitUnclean;
}

} // namespace
} // namespace daisypass

int main(int argc, char **argv)
{
    CLI::App app("Accepts callers' requests, schedules them and sends them to targets");
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "settings file (JSON with comments)")->required();
    app.add_flag("--check", checkOnly, "check the settings file and exit");
    app.set_version_flag("--version", std::string("daisypass-entry ") + DAISYPASS_VERSION);
    CLI11_PARSE(app, argc, argv);

    std::vector<daisypass::failure> failures;
    const std::optional<daisypass::entry_settings> settings = daisypass::loadEntrySettings(path, failures);
    for (const daisypass::failure &invalid : failures) {
        std::cerr << daisypass::describe(invalid) << '\n';
    }
    if (!settings) {
        return daisypass::exitSettings;
    }
    return checkOnly ? 0 : daisypass::run(*settings);
}
