// daisypass-fake-target: stand-in targets, many in one process on consecutive ports.

#include "base/log.h"
#include "standins/target_standin.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace daisypass;

int main(int argc, char **argv)
{
    std::string listen = "127.0.0.1:0";
    std::string recordPath;
    int count = 1;
    target_options options;
    std::int64_t defaultRunMs = options.defaultRun.count();
    std::int64_t rebootMs = options.rebootTime.count();

    CLI::App app("Stand-in targets that record every run.");
    app.set_version_flag("--version", std::string("daisypass-fake-target ") + DAISYPASS_VERSION);
    app.add_option("--listen", listen, "IP number and first port; port 0 lets the system choose each")->capture_default_str();
    app.add_option("--count", count, "targets on consecutive ports")->check(CLI::Range(1, 1'000))->capture_default_str();
    app.add_option("--record", recordPath, "file to which each run is appended");
    app.add_option("--slots", options.slots, "requests that each target runs at once")->check(CLI::Range(1, 1'024))->capture_default_str();
    app.add_option("--connections", options.connections, "open connections")->check(CLI::Range(1, 10'000))->capture_default_str();
    app.add_option("--run-ms", defaultRunMs, "run time in ms of a request without the header X-Run-Ms")->capture_default_str();
    app.add_option("--reboot-ms", rebootMs, "duration of a reboot in ms")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    failure reason;
    const std::optional<endpoint> address = parseEndpoint(listen, reason);
    if (!address) {
        std::cerr << describe(reason) << '\n';
        return 2;
    }
    blockStopSignals();
    startLog("daisypass-fake-target", listen);
    options.defaultRun = std::chrono::milliseconds(defaultRunMs);
    options.rebootTime = std::chrono::milliseconds(rebootMs);
    const std::shared_ptr<execution_file> recordFile = recordPath.empty() ? nullptr : std::make_shared<execution_file>(recordPath);
    std::vector<std::unique_ptr<target_standin>> targets;
    std::shared_ptr<timer_thread> timers = std::make_shared<timer_thread>();
    for (int i = 0; i < count; ++i) {
        options.listen = *address;
        options.listen.port = address->port == 0 ? 0 : static_cast<std::uint16_t>(address->port + i);
        targets.push_back(std::make_unique<target_standin>(options, timers, recordFile));
        if (!targets.back()->start(reason)) {
            std::cerr << describe(reason) << '\n';
            return 1;
        }
        logEvent("listening", {{"index", i}, {"address", address->address}, {"port", targets.back()->port()}});
    }
    waitForStop();
    // Stops the targets in parallel, because each stop waits for its own grace period.
    std::vector<std::thread> stops;
    stops.reserve(targets.size());
    for (const std::unique_ptr<target_standin> &target : targets) {
        stops.emplace_back([&target] {
            target->stop();
        });
    }
    for (std::thread &stop : stops) {
        stop.join();
    }
    timers.reset();
    targets.clear();
    return 0;
}
