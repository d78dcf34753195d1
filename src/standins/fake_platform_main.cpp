// daisypass-fake-platform: stand-in for the platform's table service, object store and VM list.

#include "base/log.h"
#include "standins/platform_standin.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

using namespace daisypass;

int main(int argc, char **argv)
{
    std::string listen = "127.0.0.1:0";
    std::string vmFile;
    platform_options options;
    std::int64_t lagMs = options.listLag.count();

    CLI::App app("Stand-in for the platform: table service, object store and lagging VM list, all in memory.");
    app.set_version_flag("--version", std::string("daisypass-fake-platform ") + DAISYPASS_VERSION);
    app.add_option("--listen", listen, "IP number and port; port 0 lets the system choose")->capture_default_str();
    app.add_option("--vms", vmFile, "JSON file with the initial VM list")->check(CLI::ExistingFile);
    app.add_option("--list-lag-ms", lagMs, "time in ms until a change of the VM list is visible")->capture_default_str();
    app.add_option("--writes-per-second", options.writesPerSecond, "limit of rows written per second")->capture_default_str();
    app.add_option("--reads-per-second", options.readsPerSecond, "limit of reads per second")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    failure reason;
    const std::optional<endpoint> address = parseEndpoint(listen, reason);
    if (!address) {
        std::cerr << describe(reason) << '\n';
        return 2;
    }
    blockStopSignals();
    startLog("daisypass-fake-platform", listen);
    options.listen = *address;
    options.listLag = std::chrono::milliseconds(lagMs);
    platform_standin platform(options);
    if (!vmFile.empty()) {
        std::ifstream input(vmFile);
        constexpr bool allowExceptions = false;
        nlohmann::json vms = nlohmann::json::parse(input, nullptr, allowExceptions);
        if (!vms.is_array()) {
            std::cerr << vmFile << ": array of VMs expected\n";
            return 2;
        }
        platform.setVms(std::move(vms));
    }
    if (!platform.start(reason)) {
        std::cerr << describe(reason) << '\n';
        return 1;
    }
    logEvent("listening", {{"address", options.listen.address}, {"port", platform.port()}});
    waitForStop();
    return 0;
}
