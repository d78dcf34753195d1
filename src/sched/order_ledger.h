#pragma once

// The orders of this term that may yet end the executor on a VM, each from its decision until nothing of it is left open.
//
//     order_ledger ledger;
//     ledger.plan(vm, occupant);                     // an order will follow: the occupant gets no new runs
//     ledger.add(move_vm{vm, pool, occupant}, now);
//     ledger.answered(move, status, now);
//     ledger.listed(executor, askedAt);              // it lives
//     if (ledger.reserves(executor)) { ... no new runs ... }
//
// The failure it answers: what was drawn from the answer to one order, or for one occupant of the VM, was applied to another.
// There is one record for each VM and occupant, and an answer changes only the one that holds its order.
//
// Orders of an earlier holder are in fleet_orders.h: they have no answer here and an occupant that isn't known, only a time after
// which they can't come any more.

#include "sched/events.h"
#include "sched/fleet_orders.h"
#include "sched/model.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace daisypass::sched {

/** A move whose outcome isn't known. */
struct unanswered_move
{
    move_vm order;
    time_ms sentAt = 0;
};

class order_ledger
{
public:
    /** The VM is to be ordered when its occupant is empty. */
    void plan(const std::string &vm, const executor_life &occupant);
    /** Takes the place of what the record held. */
    void add(const fleet_order &order, time_ms now);
    /** Changes nothing unless the order is the one that the record waits for. */
    void answered(const fleet_order &order, fleet_status status, time_ms now);
    /** A move without an answer is done, or would reach another occupant; its own may be over. */
    void settle(const move_vm &order, time_ms now);
    /** The executor listed its runs when asked at this time, so an order that was settled before didn't end it. */
    void listed(const std::string &executor, time_ms askedAt);
    /** The executor is over. Moves whose outcome isn't known stay. */
    void forget(const std::string &executor);

    /** An order for the executor's VM is next, or may yet end it. */
    bool reserves(const std::string &executor) const;
    /** Something is open for the VM and this occupant, which may be empty. */
    bool hasRecord(const std::string &vm, const std::string &occupant) const;
    /** An order for the VM has no answer, and may yet end this occupant. */
    bool hasOpenOrder(const std::string &vm, const std::string &occupant) const;
    /** To be ordered again, which changes nothing if they were carried out. */
    std::vector<unanswered_move> unansweredMoves() const;

private:
    enum class phase {
        Planned,
        /** Ordered, and the answer is awaited. */
        Open,
        /** The call got no answer: it may have been carried out, or may be later. */
        Unanswered,
        /** Settled in a way that leaves open whether the occupant is over. */
        InDoubt,
    };

    /** Occupant first, so that an executor's records are next to each other. */
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
        time_ms inDoubtSince = 0;
        /** Orders, this one or earlier ones, that had no answer and none that holds for them too. */
        std::vector<fleet_order> unanswered{};

        bool isUnansweredMove() const
        {
            return state == phase::Unanswered && std::holds_alternative<move_vm>(*order);
        }
    };

    using record_map = std::map<record_key, record>;

    static record_key keyOf(const fleet_order &order);
    /** Drops the executor's records for which the predicate holds. */
    template<typename Predicate>
    void eraseOf(const std::string &executor, Predicate ended);
    void putInDoubt(record_map::iterator one, time_ms now);
    /** The latest of the orders without an answer stands for the record again; false if there is none. */
    static bool awaitUnanswered(record &one);

    record_map m_records;
};

} // namespace daisypass::sched
