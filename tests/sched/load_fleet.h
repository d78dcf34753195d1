#pragma once

// The VMs of a simulated day, and the fleet service that moves them between pools.
//
//     load_fleet fleet(settings, executors, timeline, outcome, sink);
//     fleet.startVms();
//     fleet.carryOut(move_vm{"vm1", sparePool});

#include "load_executors.h"

#include <map>
#include <string>

namespace daisypass::sched {

/** Pool of the VMs that serve no queue. */
constexpr const char *sparePool = "spare";

class load_fleet
{
public:
    /** Counts moves and the VM time in the queues' pools in `outcome`; all references must outlive the fleet. */
    load_fleet(const load_settings &settings, load_executors &executors, load_timeline &timeline, load_outcome &outcome, event_sink sink);

    /** Starts the VMs of the queues' pools with an executor each, and adds the spare VMs without one. */
    void startVms();
    /** Sends the list of VMs to the scheduler, which gets it after the network's delay. */
    void sendVmList();
    /** Adds `elapsedMs` to the outcome's VM time for each VM that is in a queue's pool. */
    void accumulatePoolTime(time_ms elapsedMs);

    void carryOut(const move_vm &order);

private:
    void startVm(const std::string &vm, const std::string &pool);

    load_settings m_settings;
    load_executors &m_executors;
    load_timeline &m_timeline;
    load_outcome &m_outcome;
    event_sink m_sink;
    std::map<std::string, vm_entry> m_vms;
};

} // namespace daisypass::sched
