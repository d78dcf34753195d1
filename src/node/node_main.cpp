// daisypass-node: the daisypass process of one machine of the platform.

#include "base/log.h"
#include "node/node_process.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitNotStarted = 3;

std::string defaultSettingsPath()
{
    const char *path = std::getenv("DAISYPASS_SETTINGS");
    return path == nullptr ? "/etc/daisypass/boot.conf" : path;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("daisypass on one machine of the platform");
    std::string path = defaultSettingsPath();
    bool checkOnly = false;
    app.add_option("--settings", path, "settings file of the platform (default: the path in DAISYPASS_SETTINGS, else /etc/daisypass/boot.conf)");
    app.add_flag("--check", checkOnly, "read and check the settings, then exit");
    app.set_version_flag("--version", DAISYPASS_VERSION);
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    daisypass::failure reason;
    const std::optional<daisypass::node_settings> settings = daisypass::loadNodeSettings(path, reason);
    if (!settings) {
        std::cerr << daisypass::describe(reason) << '\n';
        return exitBadSettings;
    }
    if (checkOnly) {
        return EXIT_SUCCESS;
    }
    daisypass::startLog("daisypass-node", settings->node);
    daisypass::node_process node(*settings, path);
    if (!node.start(reason)) {
        std::cerr << daisypass::describe(reason) << '\n';
        return exitNotStarted;
    }
    node.run();
    std::quick_exit(EXIT_SUCCESS);
}
