// daisypass-fake-deployment: the platform's store, fleet service and executors in one process, for tests.

#include "base/log.h"
#include "standins/deployment_standin.h"

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("stand-in of a deployment on the platform");
    std::string listen = "127.0.0.1:0";
    daisypass::deployment_options options;
    app.add_option("--listen", listen, "address of the store, the fleet service and the admin calls; port 0 for a free one");
    app.add_option("--pools", options.poolCount, "pools, each with a queue /queue-N/ on host jobs.example");
    app.add_option("--workers", options.executorsPerPool, "executors of each pool");
    app.add_option("--spare", options.spareVms, "VMs of the spare pool");
    app.add_option("--wave", options.waveVms, "VMs of a maintenance wave");
    app.add_option("--seed", options.seed, "seed of the store's lost answers");
    CLI11_PARSE(app, argc, argv);
    daisypass::failure reason;
    const std::optional<daisypass::endpoint> address = daisypass::parseEndpoint(listen, reason);
    if (!address) {
        std::cerr << daisypass::describe(reason) << '\n';
        return EXIT_FAILURE;
    }
    options.listen = *address;
    asio::io_context context(1);
    daisypass::deployment_standin deployment(context, options);
    if (!deployment.start(reason)) {
        std::cerr << daisypass::describe(reason) << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening on 127.0.0.1:" << deployment.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) {
        context.stop();
    });
    context.run();
    std::cout << deployment.report() << std::endl;
    std::quick_exit(EXIT_SUCCESS);
}
