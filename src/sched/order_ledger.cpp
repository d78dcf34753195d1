#include "sched/order_ledger.h"

namespace daisypass::sched {
namespace {

/** Compares the visited order with another one for the same VM and occupant: true if both request the same. */
struct order_comparison
{
    const fleet_order &other;

    bool operator()(const move_vm &move) const
    {
        const move_vm *same = std::get_if<move_vm>(&other);
        return same != nullptr && same->pool == move.pool;
    }

    bool operator()(const maintain_vm &maintenance) const
    {
        const maintain_vm *same = std::get_if<maintain_vm>(&other);
        return same != nullptr && same->wave == maintenance.wave;
    }
};

bool isSame(const fleet_order &one, const fleet_order &other)
{
    return occupantOf(one).startedUnixMs == occupantOf(other).startedUnixMs && std::visit(order_comparison{other}, one);
}

} // namespace

order_ledger::record_key order_ledger::keyOf(const fleet_order &order)
{
    return {occupantOf(order).executor, vmOf(order)};
}

// A list of runs that ends the reservation by an earlier, settled order must not end the new one, so the record is reset.
void order_ledger::plan(const std::string &vm, const executor_incarnation &occupant)
{
    record &one = m_records[{occupant.executor, vm}];
    if (one.state == phase::AwaitingList) {
        one = {};
    }
}

void order_ledger::add(const fleet_order &order, time_ms now)
{
    record &one = m_records[keyOf(order)];
    std::vector<fleet_order> unanswered = std::move(one.unanswered);
    one = {};
    one.unanswered = std::move(unanswered);
    one.order = order;
    one.state = phase::Open;
    one.sentAt = now;
}

// A temporary refusal doesn't decide the outcome of an earlier order that got no answer. A final answer also decides earlier orders
// that request the same.
void order_ledger::answered(const fleet_order &order, fleet_status status, time_ms now)
{
    const auto one = m_records.find(keyOf(order));
    if (one == m_records.end() || one->second.state != phase::Open || !isSame(order, *one->second.order)) {
        return;
    }
    std::vector<fleet_order> &unanswered = one->second.unanswered;
    const bool final = status != fleet_status::Unknown && status != fleet_status::Busy && status != fleet_status::Refused;
    if (final) {
        std::erase_if(unanswered, [&order](const fleet_order &earlier) {
            return isSame(order, earlier);
        });
    } else if (status == fleet_status::Unknown) {
        unanswered.push_back(order);
    }
    if (restoreUnanswered(one->second)) {
        return;
    }
    if (status == fleet_status::Ok) {
        awaitList(one, now);
    } else {
        m_records.erase(one);
    }
}

bool order_ledger::restoreUnanswered(record &one)
{
    if (one.unanswered.empty()) {
        return false;
    }
    one.order = one.unanswered.back();
    one.state = phase::Unanswered;
    return true;
}

void order_ledger::settle(const move_vm &order, time_ms now)
{
    const auto one = m_records.find(keyOf(order));
    if (one != m_records.end() && one->second.isUnansweredMove()) {
        awaitList(one, now);
    }
}

void order_ledger::awaitList(record_map::iterator one, time_ms now)
{
    if (one->first.occupant.empty()) {
        m_records.erase(one);
        return;
    }
    one->second.unanswered.clear();
    one->second.state = phase::AwaitingList;
    one->second.settledAt = now;
}

template<typename Predicate>
void order_ledger::eraseRecordsOf(const std::string &executor, Predicate isOver)
{
    auto one = m_records.lower_bound({executor, ""});
    while (one != m_records.end() && one->first.occupant == executor) {
        one = isOver(one->second) ? m_records.erase(one) : std::next(one);
    }
}

void order_ledger::listed(const std::string &executor, time_ms askedAt)
{
    eraseRecordsOf(executor, [askedAt](const record &one) {
        return one.state == phase::AwaitingList && one.settledAt < askedAt;
    });
}

// An empty name stands for all VMs without an executor, whose records are independent.
void order_ledger::forget(const std::string &executor)
{
    if (executor.empty()) {
        return;
    }
    eraseRecordsOf(executor, [](const record &one) {
        const bool openMove = one.state == phase::Open && std::holds_alternative<move_vm>(*one.order);
        return !openMove && !one.isUnansweredMove();
    });
}

bool order_ledger::reserves(const std::string &executor) const
{
    const auto first = m_records.lower_bound({executor, ""});
    return first != m_records.end() && first->first.occupant == executor;
}

bool order_ledger::hasRecord(const std::string &vm, const std::string &occupant) const
{
    return m_records.contains({occupant, vm});
}

// Maintenance that got no answer is ordered again by its wave, so it must not count as open.
bool order_ledger::hasOpenOrder(const std::string &vm, const std::string &occupant) const
{
    const auto one = m_records.find({occupant, vm});
    return one != m_records.end() && (one->second.state == phase::Open || one->second.isUnansweredMove());
}

std::vector<unanswered_move> order_ledger::unansweredMoves() const
{
    std::vector<unanswered_move> moves;
    for (const std::pair<const record_key, record> &one : m_records) {
        if (one.second.isUnansweredMove()) {
            moves.push_back({std::get<move_vm>(*one.second.order), one.second.sentAt});
        }
    }
    return moves;
}

} // namespace daisypass::sched
