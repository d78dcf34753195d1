#include "sched/fleet_orders.h"

#include "base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// The longest entry, as long as none is known: names of 20 characters each for VM and pool, quotes, brackets, commas and the remaining time.
constexpr std::size_t usualEntryBytes = 54;
// The row's own brackets, and entries of maintenance, for which no room is asked.
constexpr std::size_t reservedRowBytes = 2'048;

// Appends a move as the name of its pool and maintenance as the number of its wave.
struct order_appender
{
    std::string &row;

    void operator()(const move_vm &move) const
    {
        appendJsonString(row, move.pool);
    }

    void operator()(const maintain_vm &maintenance) const
    {
        row += std::to_string(maintenance.wave);
    }
};

struct stored_order
{
    fleet_order order;
    time_ms remainingMs = 0;
};

std::optional<fleet_order> readOrder(const std::string &vm, const json &value)
{
    if (value.is_string()) {
        return move_vm{vm, value.get<std::string>()};
    }
    if (value.is_number_integer()) {
        return maintain_vm{vm, value.get<std::int64_t>()};
    }
    return std::nullopt;
}

// Earlier versions wrote orders without their remaining time; these count with the whole time to live.
std::optional<stored_order> readStored(const std::string &vm, const json &value, time_ms ttlMs)
{
    const bool timed = value.is_array() && value.size() == 2 && value[1].is_number_integer();
    const std::optional<fleet_order> order = readOrder(vm, timed ? value[0] : value);
    if (!order) {
        return std::nullopt;
    }
    return stored_order{*order, timed ? std::min(ttlMs, value[1].get<time_ms>()) : ttlMs};
}

} // namespace

const std::string &vmOf(const fleet_order &order)
{
    return std::visit(
        [](const auto &one) -> const std::string & {
            return one.vm;
        },
        order);
}

const executor_incarnation &occupantOf(const fleet_order &order)
{
    return std::visit(
        [](const auto &one) -> const executor_incarnation & {
            return one.occupant;
        },
        order);
}

fleet_orders::fleet_orders(time_ms ttlMs, std::size_t maxRowBytes)
    : m_ttlMs(ttlMs)
    , m_maxRowBytes(maxRowBytes)
    , m_entryBytes(usualEntryBytes)
{
}

time_ms fleet_orders::remainingMs(const recent_order &order) const
{
    return std::max<time_ms>(0, order.at + m_ttlMs - m_now);
}

void fleet_orders::add(fleet_order order, time_ms now)
{
    m_now = now;
    recent_order &recent = m_recent[vmOf(order)];
    recent = {order, now};
    m_entryBytes = std::max(m_entryBytes, entryOf(recent).size());
    const bool waitsForRow = std::holds_alternative<maintain_vm>(order);
    (waitsForRow ? m_unstored : m_due).push_back(std::move(order));
    m_dirty = true;
}

std::size_t fleet_orders::roomForMoves() const
{
    const std::size_t maxOrders = (m_maxRowBytes - std::min(m_maxRowBytes, reservedRowBytes)) / m_entryBytes;
    return maxOrders - std::min(maxOrders, m_recent.size());
}

void fleet_orders::expire(time_ms now)
{
    m_now = now;
    const std::size_t expired = std::erase_if(m_recent, [&](const std::pair<const std::string, recent_order> &order) {
        return order.second.at + m_ttlMs < now;
    });
    m_dirty = m_dirty || expired > 0;
}

std::string fleet_orders::writeRow()
{
    m_dirty = false;
    restartTtl(m_unstored);
    std::move(m_unstored.begin(), m_unstored.end(), std::back_inserter(m_storing));
    m_unstored.clear();
    std::string row = "{";
    for (const std::pair<const std::string, recent_order> &order : m_recent) {
        appendSeparator(row);
        row += entryOf(order.second);
    }
    row += '}';
    return row;
}

std::string fleet_orders::entryOf(const recent_order &order) const
{
    std::string entry;
    appendJsonString(entry, vmOf(order.order));
    entry += ":[";
    std::visit(order_appender{entry}, order.order);
    return entry + ',' + std::to_string(remainingMs(order)) + ']';
}

// Maintenance is sent only when its row is stored, so its time to live doesn't count from the decision.
void fleet_orders::restartTtl(std::span<const fleet_order> orders)
{
    for (const fleet_order &order : orders) {
        m_recent[vmOf(order)] = {order, m_now};
    }
}

void fleet_orders::rowStored()
{
    restartTtl(m_storing);
    std::move(m_storing.begin(), m_storing.end(), std::back_inserter(m_due));
    m_storing.clear();
}

std::vector<fleet_order> fleet_orders::takeDue()
{
    std::vector<fleet_order> due;
    due.swap(m_due);
    return due;
}

// The age of the row is unknown, because the clocks of two machines may differ by any amount. So the remaining times in it count
// from now.
bool fleet_orders::readPredecessorRow(std::string_view row, time_ms now)
{
    const json value = json::parse(row, nullptr, false);
    if (!value.is_object()) {
        return false;
    }
    m_now = now;
    for (auto item = value.begin(); item != value.end(); ++item) {
        const std::optional<stored_order> stored = readStored(item.key(), item.value(), m_ttlMs);
        if (!stored) {
            return false;
        }
        m_predecessor[item.key()] = {stored->order, now - (m_ttlMs - stored->remainingMs)};
    }
    // The next lease holder has to know them too.
    m_recent.insert(m_predecessor.begin(), m_predecessor.end());
    for (const std::pair<const std::string, recent_order> &order : m_predecessor) {
        m_entryBytes = std::max(m_entryBytes, entryOf(order.second).size());
    }
    return true;
}

bool fleet_orders::hasPredecessorOrder(const std::string &vm, time_ms now) const
{
    const auto order = m_predecessor.find(vm);
    return order != m_predecessor.end() && now - order->second.at < m_ttlMs;
}

// A move to the pool that the VM is already in has been carried out, or has no effect.
bool fleet_orders::mayEndExecutor(const std::string &vm, const std::string &pool, time_ms now) const
{
    if (!hasPredecessorOrder(vm, now)) {
        return false;
    }
    const move_vm *move = std::get_if<move_vm>(&m_predecessor.at(vm).order);
    return move == nullptr || move->pool != pool;
}

std::vector<maintain_vm> fleet_orders::predecessorMaintenance() const
{
    std::vector<maintain_vm> maintenance;
    for (const std::pair<const std::string, recent_order> &order : m_predecessor) {
        if (const maintain_vm *one = std::get_if<maintain_vm>(&order.second.order)) {
            maintenance.push_back(*one);
        }
    }
    return maintenance;
}

} // namespace daisypass::sched
