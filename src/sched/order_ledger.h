#pragma once

// Tracks the fleet orders of this term that may still end the executor on a VM, from the decision until the outcome is known.
//
//     order_ledger ledger;
//     ledger.plan(vm, occupant);                     // an order will follow: the occupant gets no new runs
//     ledger.add(move_vm{vm, pool, occupant}, now);  // the order is sent
//     ledger.answered(move, status, now);
//     ledger.listed(executor, askedAt);              // the executor has listed its runs, so it is alive
//     if (ledger.reserves(executor)) { ... no new runs ... }
//
// The occupant of a VM is the executor that runs on it. There is one record for each pair of VM and occupant, and an answer changes
// only the record of its own order. So the answer to one order, or for one occupant, is never applied to another.
//
// Orders of earlier lease holders are in fleet_orders.h. Their answers and occupants are unknown, so they only expire.

#include "sched/events.h"
#include "sched/fleet_orders.h"
#include "sched/model.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace daisypass::sched {

/** A move order that got no answer, so that its outcome is unknown. */
struct unanswered_move
{
    move_vm order;
    /** When it was last sent. */
    time_ms sentAt = 0;
};

class order_ledger
{
public:
    /** Reserves the occupant: the VM gets an order when the occupant has no runs. */
    void plan(const std::string &vm, const executor_incarnation &occupant);
    /** Records an order that is sent; it replaces the record's former order. */
    void add(const fleet_order &order, time_ms now);
    /** Records the answer to an order; ignored unless the record awaits the answer to this order. */
    void answered(const fleet_order &order, fleet_status status, time_ms now);
    /** Ends the wait for the answer to a move that was carried out or would now reach another occupant. Its occupant may have ended. */
    void settle(const move_vm &order, time_ms now);
    /** The executor has answered a list request that was sent at `askedAt`, so orders that were settled before didn't end it. */
    void listed(const std::string &executor, time_ms askedAt);
    /** Removes the records of an executor that has ended, except moves whose outcome is unknown. */
    void forget(const std::string &executor);

    /** True if an order for the executor's VM is planned, or may still end the executor. */
    bool reserves(const std::string &executor) const;
    /** True if there is a record for the VM and this occupant; the occupant is empty for a VM without an executor. */
    bool hasRecord(const std::string &vm, const std::string &occupant) const;
    /** True if an order for the VM awaits its answer, or a move got none, and may still end this occupant. */
    bool hasOpenOrder(const std::string &vm, const std::string &occupant) const;
    /** The moves without an answer. They are sent again, which has no effect if they were carried out. */
    std::vector<unanswered_move> unansweredMoves() const;

private:
    enum class phase {
        Planned,
        /** Sent; the answer is awaited. */
        Open,
        /** The call got no answer: the order may have been carried out, or may be carried out later. */
        Unanswered,
        /** Settled, but the occupant may have ended; it is reserved until it lists its runs or is known to have ended. */
        AwaitingList,
    };

    /** Ordered by occupant first, so that the records of an executor are adjacent. */
    struct record_key
    {
        std::string occupant;
        std::string vm;

        bool operator<(const record_key &other) const
        {
            return std::tie(occupant, vm) < std::tie(other.occupant, other.vm);
        }
    };

    struct record
    {
        /** Empty while the order is planned. */
        std::optional<fleet_order> order{};
        phase state = phase::Planned;
        time_ms sentAt = 0;
        time_ms settledAt = 0;
        /** Orders of this record that got no answer, and whose outcome no later answer has decided. */
        std::vector<fleet_order> unanswered{};

        bool isUnansweredMove() const
        {
            return state == phase::Unanswered && std::holds_alternative<move_vm>(*order);
        }
    };

    using record_map = std::map<record_key, record>;

    static record_key keyOf(const fleet_order &order);
    /** Erases the executor's records for which the predicate is true. */
    template<typename Predicate>
    void eraseRecordsOf(const std::string &executor, Predicate isOver);
    /** Keeps the occupant reserved until it lists its runs; erases the record if the VM has no occupant. */
    void awaitList(record_map::iterator one, time_ms now);
    /** Makes the latest unanswered order the record's order again; false if there is none. */
    static bool restoreUnanswered(record &one);

    record_map m_records;
};

} // namespace daisypass::sched
