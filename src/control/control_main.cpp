#include "base/log.h"
#include "control/admin_service.h"
#include "control/control_settings.h"
#include "kernel/fleet_balancer.h"

#include <CLI/CLI.hpp>

#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <random>

namespace daisypass {
namespace {

constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

int run(const control_settings &settings)
{
    // Signals are blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    startLog("daisypass-control", settings.controller);
    metrics_registry metrics;
    const std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});
    const table_service table{http_table{client, settings.platform}};
    const object_store objects{http_objects{client, settings.platform}};
    const vm_list vms{http_vms{client, settings.platform}};
    fleet_follower_options followerOptions;
    followerOptions.seed = std::random_device{}();
    fleet_follower follower(table, objects, followerOptions);
    control_loop_options loopOptions;
    loopOptions.controller = settings.controller;
    loopOptions.stepInterval = settings.stepInterval;
    loopOptions.vmListInterval = settings.vmListInterval;
    loopOptions.controllerOptions.rebootGrace = settings.rebootGrace;
    control_loop loop(loopOptions, follower, fleet_log(table, objects), table, vms, metrics);
    loop.setBalancer(makeFleetBalancer());
    configuration_service configurations(follower, fleet_log(table, objects));
    admin_service admin({settings.adminListen, settings.adminToken}, loop, configurations, metrics);
    failure reason;
    if (!admin.start(reason)) {
        std::cerr << describe(reason) << '\n';
        return exitFailed;
    }
    follower.start();
    loop.start();
    logEvent("started", {{"admin", settings.adminListen.address + ':' + std::to_string(admin.port())}});
    int received = 0;
    sigwait(&signals, &received);
    logEvent("stopping", {{"signal", received}});
    admin.stop();
    loop.stop();
    follower.stop();
    logEvent("stopped", {});
    return 0;
}

} // namespace
} // namespace daisypass

int main(int argc, char **argv)
{
    CLI::App app{"daisypass-control: plans and runs the maintenance of a fleet, and serves the administration API"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "settings file, JSON with comments")->required();
    app.add_flag("--check", check, "check the settings and exit");
    app.set_version_flag("--version", "daisypass-control " DAISYPASS_VERSION);
    app.footer("Exit status: 0 graceful stop or valid settings, 1 could not start, 2 wrong settings or arguments.\n"
               "SIGTERM stops gracefully: the current step ends, and another controller continues from the fleet log.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : daisypass::exitBadSettings;
    }
    std::vector<daisypass::failure> failures;
    const std::optional<daisypass::control_settings> settings = daisypass::loadControlSettings(path, failures);
    for (const daisypass::failure &reason : failures) {
        std::cerr << daisypass::describe(reason) << '\n';
    }
    if (!settings) {
        return daisypass::exitBadSettings;
    }
    return check ? 0 : daisypass::run(*settings);
}
