#pragma once

// The controller's thread: follows the log, observes entries and targets, decides, appends, and carries out commands.
//
//     control_loop loop(options, follower, log, table, vms, metrics);
//     loop.start();
//     control_status status = loop.status();
//     loop.stop();                       // ends the current step; begins nothing new
//
// Every controller gossips with the entries, so that each can report status; only the holder of the lease decides.

#include "base/metrics.h"
#include "base/time.h"
#include "control/observation_board.h"
#include "entry/fleet_follower.h"
#include "http/http_client.h"
#include "kernel/fleet_controller.h"
#include "net/peer_client.h"
#include "services/fleet_log.h"
#include "services/vm_list.h"

#include <memory>
#include <string>

namespace daisypass {

struct control_loop_options
{
    std::string controller;
    duration stepInterval = std::chrono::seconds(1);
    /** Time between reads of the platform's VM list by the holder of the lease. */
    duration vmListInterval = std::chrono::seconds(5);
    fleet_controller_options decisions;
};

/** What the administration API reports. */
struct control_status
{
    std::shared_ptr<const fleet_state> state;
    controller_input input;
    bool holdsLease = false;
    std::string planningBlockedBy;
};

/** Wall-clock time that never goes back: the time at the start of the process and the steady clock since then. */
class steady_wall_clock
{
public:
    steady_wall_clock();

    timestamp now() const;

private:
    timestamp m_wallAtStart;
    timestamp m_steadyAtStart;
};

class control_loop
{
public:
    /** The follower and the metrics must outlive the loop. */
    control_loop(control_loop_options options, fleet_follower &follower, fleet_log log, table_service table, vm_list vms, metrics_registry &metrics);
    ~control_loop();

    void setBalancer(fleet_controller::balancer policy);
    /** An operator looks at the status: the entries are asked at every step for the next 15 s, also without the lease. */
    void keepObserving() const;
    void start();
    void stop();

    control_status status() const;
    std::string waitsFor(const control_status &status, std::string_view vm) const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
