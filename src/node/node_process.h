#pragma once

// One process of daisypass on the platform: the callers' front, the followers of the store, and the dispatcher while this
// process holds the lease.
//
//     node_process node(settings);
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
    /** `settingsPath` is read again on SIGHUP. */
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
