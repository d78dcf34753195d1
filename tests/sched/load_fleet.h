#pragma once

// The VMs of a modelled day and the fleet service that moves them between pools.

#include "load_executors.h"

#include <map>
#include <string>

namespace daisypass::sched {

/** The pool of the VMs that serve no queue. */
constexpr const char *sparePool = "spare";

class load_fleet
{
public:
    /** Counts moves and the time of VMs in pools in `outcome`; all references must outlive the fleet. */
    load_fleet(const load_settings &settings, load_executors &executors, load_timeline &timeline, load_outcome &outcome, event_sink feed);

    /** Brings up the VMs of all pools and the spare ones. */
    void begin();
    /** Sends the list of VMs to the scheduler. */
    void list();
    /** Adds the time of `elapsedMs` to the VMs that are in the queues' pools. */
    void measurePools(time_ms elapsedMs);

    void carryOut(const move_vm &order);

private:
    void bringUp(const std::string &vm, const std::string &pool);

    load_settings m_settings;
    load_executors &m_executors;
    load_timeline &m_timeline;
    load_outcome &m_outcome;
    event_sink m_feed;
    std::map<std::string, vm_entry> m_vms;
};

} // namespace daisypass::sched
