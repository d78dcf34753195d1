#pragma once

// Orders to the fleet, kept in a row that tells the lease's next holder which VMs an earlier one may still be moving or taking
// down.
//
//     fleet_orders orders(keepMs);
//     orders.add(move_vm{...}, now);
//     std::string row = orders.writeRow();               // to be stored
//     orders.rowStored();
//     for (const fleet_order &one : orders.takeDue()) { ... send it ... }
//
//     orders.readPredecessorRow(row, now);                   // after a takeover
//     if (orders.hasPredecessorOrder(vm, now)) { ... leave the VM alone ... }
//
// The failure it answers: an order may be carried out after its sender has stopped, and after its successor's first one.
// Only the VMs that it named have to wait for that; all others follow the load at once. Upkeep is sent only when it is stored,
// because its wave's cap must hold across holders; a move is sent at once, since turns don't wait for the store.

#include "sched/events.h"
#include "sched/model.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass::sched {

using fleet_order = std::variant<move_vm, upkeep_vm>;

const std::string &vmOf(const fleet_order &order);
const executor_life &occupantOf(const fleet_order &order);

class fleet_orders
{
public:
    /** An order matters to a successor for this long. */
    explicit fleet_orders(time_ms keepMs);

    void add(fleet_order order, time_ms now);
    /** The row isn't stored as it should be. */
    bool isDirty() const
    {
        return m_dirty;
    }
    /** Forgets what no longer matters; the row becomes dirty by that. */
    void expire(time_ms now);
    /** The orders that matter, each with the time that is left of it. Only one row may be on its way to the store. */
    std::string writeRow();
    void rowStored();
    /** Orders to send now. */
    std::vector<fleet_order> takeDue();

    /** The row of an earlier holder; false if it can't be read. */
    bool readPredecessorRow(std::string_view row, time_ms now);
    /** An earlier holder's order may still be carried out on the VM. */
    bool hasPredecessorOrder(const std::string &vm, time_ms now) const;
    /** An order of the earlier holder may yet end the executor that is on the VM in this pool. */
    bool mayEndExecutor(const std::string &vm, const std::string &pool, time_ms now) const;
    /** Upkeep that an earlier holder may have begun: VM and wave. */
    std::vector<upkeep_vm> predecessorUpkeep() const;

private:
    struct recent_order
    {
        fleet_order order;
        time_ms at = 0;
    };

    /** How long the order still matters. */
    time_ms remainingMs(const recent_order &order) const;
    /** The orders matter for the whole time from now on. */
    void countFromNow(std::span<const fleet_order> orders);

    time_ms m_keepMs;
    /** The latest time that was told. */
    time_ms m_now = 0;
    bool m_dirty = false;
    std::vector<fleet_order> m_due;
    /** Upkeep that waits for the next row, and for the one on its way. */
    std::vector<fleet_order> m_unstored;
    std::vector<fleet_order> m_inRow;
    std::map<std::string, recent_order> m_recent;
    std::map<std::string, recent_order> m_earlier;
};

} // namespace daisypass::sched
