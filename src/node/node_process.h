#pragma once

// The daisypass process on one machine: serves callers, follows the store, takes part in the leader election, and runs the
// dispatcher while it holds the lease.
//
//     node_process node(settings, path);
//     failure reason;
//     if (!node.start(reason)) { ... }
//     node.run();                                 // until SIGTERM or SIGINT

#include "base/failure.h"
#include "platform/node_settings.h"

#include <memory>
#include <string>

namespace daisypass {

class node_process
{
public:
    /** On SIGHUP the file at `settingsPath` is read and checked again, and the result is logged; the settings in use stay. */
    node_process(node_settings settings, std::string settingsPath);
    ~node_process();

    /** Fails with ListenFailed. */
    bool start(failure &reason);
    void run();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
