#pragma once

// The controller's thread. Each step reads the fleet log and gossips with the entries; the step of the lease holder also decides on
// changes, appends them to the log, and carries out commands such as probes and reboots.
//
//     control_loop loop(options, follower, log, table, vms, metrics);
//     loop.start();
//     control_status status = loop.status();
//     loop.stop();                       // waits for the end of the current step
//
// Controllers without the lease gossip too, so that each of them can report the status.

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
    /** Name of this controller in the lease row. */
    std::string controller;
    duration stepInterval = std::chrono::seconds(1);
    /** Time between reads of the platform's VM list by the holder of the lease. */
    duration vmListInterval = std::chrono::seconds(5);
    fleet_controller_options controllerOptions;
};

/** The state that the administration API reports. */
struct control_status
{
    std::shared_ptr<const fleet_state> state;
    controller_input input;
    bool holdsLease = false;
    /** Why no planned change may begin now; empty if one may. */
    std::string planningBlockedBy;
};

/** A wall clock that never goes back: the wall-clock time at construction plus the steady time since then. */
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
    /** To be called when an operator requests the status: for the next 15 s every step gossips with the entries, even without the lease. */
    void onStatusRequested() const;
    void start();
    void stop();

    control_status status() const;
    /** What a draining or stopped VM waits for, as a text for operators. */
    std::string waitsFor(const control_status &status, std::string_view vm) const;

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass
