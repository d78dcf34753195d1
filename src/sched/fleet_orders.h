#pragma once

// Persists the recent move and maintenance orders to the fleet service, so that the next lease holder knows which VMs its predecessors
// may still be moving or taking down.
//
//     fleet_orders orders(ttlMs);
//     orders.add(move_vm{...}, now);
//     std::string row = orders.writeRow();               // write it to the store, then
//     orders.rowStored();
//     for (const fleet_order &one : orders.takeDue()) { ... send it ... }
//
//     orders.readPredecessorRow(row, now);                   // after a takeover
//     if (orders.hasPredecessorOrder(vm, now)) { ... give the VM no order ... }
//
// The fleet service may carry out an order after its sender has stopped, and even after the first order of the sender's successor.
// Only VMs named in a predecessor's orders have to wait until those have expired; all others can be ordered at once after a takeover.
// Maintenance is sent only after it is stored, because the wave's cap must hold across lease holders. A move is sent at once, because
// capacity for a burst of demand must not wait for the store.

#include "sched/events.h"
#include "sched/model.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass::sched {

using fleet_order = std::variant<move_vm, maintain_vm>;

const std::string &vmOf(const fleet_order &order);
/** The executor that ran on the VM when the order was made. */
const executor_incarnation &occupantOf(const fleet_order &order);

class fleet_orders
{
public:
    /** An order may still be carried out for `ttlMs` after it was sent. The row has `maxRowBytes` at most. */
    explicit fleet_orders(time_ms ttlMs, std::size_t maxRowBytes = bounds{}.rowBytes);

    void add(fleet_order order, time_ms now);
    /** True if the orders have changed since the last writeRow. */
    bool isDirty() const
    {
        return m_dirty;
    }
    /** Number of moves that may be added before earlier orders expire; the row of all unexpired orders has a limited size. */
    std::size_t roomForMoves() const;
    /** Removes expired orders, which makes the row dirty. */
    void expire(time_ms now);
    /** The unexpired orders as a row, each with its remaining time. Only one row may be on its way to the store at a time. */
    std::string writeRow();
    /** The row of the last writeRow is stored, so the maintenance in it may be sent. */
    void rowStored();
    /** Returns the orders to send now, each once. */
    std::vector<fleet_order> takeDue();

    /** Adds the orders of earlier lease holders from their row; false if the row can't be parsed. */
    bool readPredecessorRow(std::string_view row, time_ms now);
    /** True if the order of an earlier lease holder may still be carried out on the VM. */
    bool hasPredecessorOrder(const std::string &vm, time_ms now) const;
    /** True if the order of an earlier lease holder may still end the executor on the VM, which is in this pool. */
    bool mayEndExecutor(const std::string &vm, const std::string &pool, time_ms now) const;
    /** Maintenance that earlier lease holders may have started, with its VM and wave. */
    std::vector<maintain_vm> predecessorMaintenance() const;

private:
    struct recent_order
    {
        fleet_order order;
        time_ms at = 0;
    };

    /** The order as a member of the row's object. */
    std::string entryOf(const recent_order &order) const;
    /** Time until the order expires; 0 if it has. */
    time_ms remainingMs(const recent_order &order) const;
    /** Restarts the time to live of the orders. */
    void restartTtl(std::span<const fleet_order> orders);

    time_ms m_ttlMs;
    std::size_t m_maxRowBytes;
    /** Length of the longest entry that has been added, in the row. */
    std::size_t m_entryBytes;
    /** Time of the latest call that passed one. */
    time_ms m_now = 0;
    bool m_dirty = false;
    std::vector<fleet_order> m_due;
    /** Maintenance that goes into the next row. */
    std::vector<fleet_order> m_unstored;
    /** Maintenance in the row that is on its way to the store. */
    std::vector<fleet_order> m_storing;
    /** Latest order of each VM, by this and earlier lease holders. */
    std::map<std::string, recent_order> m_recent;
    /** Orders of earlier lease holders, by VM. */
    std::map<std::string, recent_order> m_predecessor;
};

} // namespace daisypass::sched
