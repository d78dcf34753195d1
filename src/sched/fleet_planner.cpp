#include "sched/fleet_planner.h"

#include "base/saturating_cast.h"
#include "sched/abandoned_runs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// Weight of waiting work relative to running work. Waiting tasks need capacity of their own to meet their objective; if they had to
// wait for running tasks to end, they would be late.
constexpr double waitingWeight = 2.2;
// Empty VMs that a pool keeps in reserve for the first jobs of a burst, until moved VMs arrive.
constexpr int reserveVms = 4;
// A VM must have been empty for this long before it moves to the spare pool, so that a pause between two arrivals causes no move.
constexpr time_ms emptyBeforeSpareMs = 600;
// A VM must have been empty for this long before it moves to another pool that has too few VMs.
constexpr time_ms emptyBeforeDonationMs = 150;
// A VM that has moved stays in its pool for this long, unless another pool has too few VMs.
constexpr time_ms moveCooldownMs = 2'500;
// The answer to a move order, and the next list of VMs, arrive within this time.
constexpr time_ms moveAnswerMs = 2'000;
// Moves that one plan may order whatever the fleet service's rate limit is: a small fleet needs so few that they don't exceed it for long.
constexpr int minMovesPerPlan = 12;
// Plans in a second, and the share of the rate limit that they use for moves; the rest is for maintenance and repeated orders.
constexpr double plansPerSecond = 10;
constexpr double moveShareOfRateLimit = 0.8;
// More VMs than any fleet has, so that a few such numbers can be added.
constexpr double maxVms = 1e6;
// If a list that was requested this long after the maintenance of a VM should have ended shows the VM as up, the maintenance is over or its
// order was never carried out.
constexpr time_ms maintenanceSlackMs = 2'500;
// An order for maintenance that got no answer is sent again after this time. If it was carried out, the repeated one has no effect.
constexpr time_ms maintenanceRetryMs = 1'000;
// Time that the order, and the wait for the list that shows the VM as up, add to the maintenance of each VM.
constexpr time_ms maintenanceOverheadMs = 900;
// A wave is planned to end this long before its due time.
constexpr time_ms waveMarginMs = 7'000;
// The fleet counts as quiet while the waiting work is below this share of its capacity.
constexpr double quietBacklogShare = 0.02;

// A VM without an executor can move only out of a spare pool, where VMs are off.
bool canMove(const fleet_vm &vm, bool spare)
{
    const bool empty = vm.hasExecutor ? vm.runs == 0 && vm.emptySince > 0 : spare;
    return vm.state == vm_state::Up && empty && !vm.executorDraining && !vm.reserved && !vm.hasPendingOrder;
}

void insertNames(const json &wave, const char *field, std::set<std::string> &names)
{
    for (const json &name : wave.value(field, json::array())) {
        if (name.is_string()) {
            names.insert(name.get<std::string>());
        }
    }
}

std::string rowKeyOf(std::int64_t wave)
{
    return std::string(wavesRowKey) + '/' + std::to_string(wave);
}

std::optional<std::int64_t> waveOfRowKey(std::string_view key)
{
    const std::size_t mark = key.rfind('/');
    std::int64_t wave = 0;
    const char *end = key.data() + key.size();
    const std::from_chars_result read = std::from_chars(key.data() + mark + 1, end, wave);
    return mark != std::string_view::npos && read.ec == std::errc() && read.ptr == end ? std::optional<std::int64_t>(wave) : std::nullopt;
}

int vmsFor(double amount, std::int64_t capacityPerVm)
{
    return saturatingCast<int>(std::min(maxVms, std::ceil(amount / static_cast<double>(std::max<std::int64_t>(1, capacityPerVm)))));
}

} // namespace

int fleet_planner::maxMovesPerPlan(double fleetOrdersPerSecond)
{
    return std::max(minMovesPerPlan, saturatingCast<int>(fleetOrdersPerSecond * moveShareOfRateLimit / plansPerSecond));
}

fleet_planner::fleet_planner(bounds limits)
    : m_bounds(limits)
{
}

void fleet_planner::addWave(const wave_request &wave, time_ms now, std::int64_t unixMs)
{
    if (m_waves.contains(wave.wave)) {
        return;
    }
    const auto found = m_waves.try_emplace(wave.wave).first;
    found->second.request = wave;
    found->second.vms.insert(wave.vms.begin(), wave.vms.end());
    found->second.dueUnixMs = unixMs + wave.durationMs;
    const auto stored = m_stored.find(wave.wave);
    const bool rowIsStored = stored != m_stored.end() && (stored->second.completed || stored->second.dueUnixMs != 0);
    if (!rowIsStored) {
        m_changedWaves.insert(wave.wave);
    }
    if (stored != m_stored.end()) {
        found->second.done = stored->second.done;
        found->second.draining = stored->second.draining;
        for (const std::string &vm : stored->second.ordered) {
            // The order may have been sent until now.
            found->second.down[vm] = {now, found->second.done.contains(vm)};
        }
        if (stored->second.dueUnixMs != 0) {
            found->second.dueUnixMs = stored->second.dueUnixMs;
        }
        if (stored->second.completed) {
            // The status that the operator reads may not have been written.
            found->second.done = found->second.vms;
        }
    }
    found->second.dueAt = now + (found->second.dueUnixMs - unixMs);
}

std::optional<time_ms> fleet_planner::down_vm::startsBy() const
{
    if (!orderedAt) {
        return std::nullopt;
    }
    return confirmed ? *orderedAt : *orderedAt + maxOrderDelayMs;
}

bool fleet_planner::down_vm::mayRepeat(time_ms now) const
{
    return !confirmed && orderedAt && now - *orderedAt >= maintenanceRetryMs;
}

void fleet_planner::maintenanceSent(std::int64_t wave, const std::string &vm, time_ms now)
{
    const auto found = m_waves.find(wave);
    if (found == m_waves.end()) {
        return;
    }
    const auto down = found->second.down.find(vm);
    if (down != found->second.down.end()) {
        down->second.orderedAt = now;
    }
}

void fleet_planner::maintenanceStarted(std::int64_t wave, const std::string &vm, time_ms now)
{
    const auto found = m_waves.find(wave);
    if (found != m_waves.end()) {
        found->second.done.insert(vm);
        found->second.draining.erase(vm);
        found->second.down[vm] = {now, true};
        m_changedWaves.insert(wave);
    }
}

void fleet_planner::predecessorMaintenance(std::int64_t wave, const std::string &vm)
{
    m_stored[wave].ordered.insert(vm);
}

void fleet_planner::maintenanceRefused(std::int64_t wave, const std::string &vm, bool permanent)
{
    const auto found = m_waves.find(wave);
    if (found == m_waves.end()) {
        return;
    }
    found->second.down.erase(vm);
    m_changedWaves.insert(wave);
    if (permanent) {
        found->second.done.insert(vm);
        found->second.draining.erase(vm);
    }
}

void fleet_planner::vmIsBack(const std::string &vm, time_ms askedAt, bool fromMaintenance)
{
    for (std::pair<const std::int64_t, wave_state> &wave : m_waves) {
        const auto down = wave.second.down.find(vm);
        if (down == wave.second.down.end() || !down->second.orderedAt) {
            continue;
        }
        const bool hasStarted = down->second.confirmed || fromMaintenance;
        // A list that was read before the maintenance started still shows the VM as up.
        if (hasStarted && askedAt - *down->second.orderedAt >= m_bounds.maintenanceMs) {
            wave.second.down.erase(down);
            markReleased(wave.second, vm);
        }
    }
}

// The row names a VM whose maintenance has started as done, whether it still counts against the cap or not.
void fleet_planner::markReleased(const wave_state &wave, const std::string &vm)
{
    if (!wave.done.contains(vm)) {
        m_changedWaves.insert(wave.request.wave);
    }
}

void fleet_planner::releaseMaintained(wave_state &wave, const std::map<std::string, const fleet_vm *> &listedVms, time_ms listAskedAt)
{
    std::erase_if(wave.down, [&](const std::pair<const std::string, down_vm> &down) {
        const auto vm = listedVms.find(down.first);
        const bool up = vm != listedVms.end() && vm->second->state == vm_state::Up;
        const std::optional<time_ms> startsBy = down.second.startsBy();
        const bool released = up && startsBy && *startsBy + m_bounds.maintenanceMs + maintenanceSlackMs < listAskedAt;
        if (released) {
            markReleased(wave, down.first);
        }
        return released;
    });
}

bool fleet_planner::wave_state::awaits(const std::string &vm) const
{
    return !completed && vms.contains(vm) && !done.contains(vm);
}

bool fleet_planner::awaitsMaintenance(const std::string &vm) const
{
    return maintenanceDueAt(vm).has_value();
}

bool fleet_planner::wasDraining(const std::string &vm) const
{
    return std::any_of(m_stored.begin(), m_stored.end(), [&](const std::pair<const std::int64_t, stored_wave> &stored) {
        const auto wave = m_waves.find(stored.first);
        const bool pending = wave == m_waves.end() ? !stored.second.done.contains(vm) : wave->second.awaits(vm);
        return pending && stored.second.draining.contains(vm);
    });
}

std::optional<time_ms> fleet_planner::maintenanceDueAt(const std::string &vm) const
{
    std::optional<time_ms> dueAt;
    for (const std::pair<const std::int64_t, wave_state> &wave : m_waves) {
        if (wave.second.awaits(vm)) {
            dueAt = std::min(dueAt.value_or(wave.second.dueAt), wave.second.dueAt);
        }
    }
    return dueAt;
}

std::vector<fleet_decision> fleet_planner::plan(const fleet_view &view, time_ms now)
{
    std::vector<fleet_decision> decisions;
    m_plannedVms.clear();
    planWaves(view, now, decisions);
    planMoves(view, now, decisions);
    return decisions;
}

void fleet_planner::planWaves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions)
{
    for (std::pair<const std::int64_t, wave_state> &item : m_waves) {
        if (!item.second.completed) {
            planWave(item.second, view, now, decisions);
        }
    }
}

void fleet_planner::planWave(wave_state &wave, const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions)
{
    if (!wave.announced) {
        wave.announced = true;
        decisions.push_back(wave_decision{wave.request.wave, false});
    }
    std::map<std::string, const fleet_vm *> listedVms;
    for (const fleet_vm &vm : view.vms) {
        listedVms[vm.vm] = &vm;
    }
    releaseMaintained(wave, listedVms, view.listAskedAt.value_or(now));
    std::vector<const fleet_vm *> pendingVms;
    bool allStarted = true;
    for (const std::string &name : wave.request.vms) {
        const auto vm = listedVms.find(name);
        // A VM that is no longer listed needs no maintenance, unless the whole list is empty.
        if (wave.done.contains(name) || (vm == listedVms.end() && !listedVms.empty())) {
            continue;
        }
        allStarted = false;
        if (vm != listedVms.end()) {
            pendingVms.push_back(vm->second);
        }
    }
    if (allStarted && !listedVms.empty()) {
        wave.completed = true;
        m_changedWaves.insert(wave.request.wave);
        decisions.push_back(wave_decision{wave.request.wave, true});
        return;
    }
    // Empty VMs come first, then those in pools without waiting work. Ties are broken by the number of runs, the spare pool first, and
    // the number of long-running tasks.
    std::map<std::string, bool> spare;
    std::map<std::string, bool> hasBacklog;
    for (const fleet_pool &pool : view.pools) {
        spare[pool.pool] = pool.spare;
        hasBacklog[pool.pool] = pool.waitingCpu > 0;
    }
    std::stable_sort(pendingVms.begin(), pendingVms.end(), [&](const fleet_vm *a, const fleet_vm *b) {
        return std::make_tuple(a->runs > 0, hasBacklog[a->pool], a->runs, !spare[a->pool], a->longRunning)
            < std::make_tuple(b->runs > 0, hasBacklog[b->pool], b->runs, !spare[b->pool], b->longRunning);
    });
    // VMs that an earlier lease holder has taken down count against the cap too.
    std::set<std::string> down;
    for (const std::string &name : wave.request.vms) {
        const auto vm = listedVms.find(name);
        const bool listedDown = vm != listedVms.end() && vm->second->state == vm_state::Maintenance;
        if (listedDown || wave.down.contains(name)) {
            down.insert(name);
        }
    }
    const int maxDown = maxConcurrentDown(wave, static_cast<int>(pendingVms.size() + down.size()), view, now);
    const int freeSlots = maxDown - static_cast<int>(down.size());
    int started = 0;
    int draining = static_cast<int>(std::count_if(pendingVms.begin(), pendingVms.end(), [](const fleet_vm *vm) {
        return vm->reserved && vm->runs > 0;
    }));
    for (const fleet_vm *vm : pendingVms) {
        const auto ordered = wave.down.find(vm->vm);
        const bool repeats = ordered != wave.down.end();
        if (vm->state != vm_state::Up || vm->executorDraining || vm->hasPendingOrder || m_plannedVms.contains(vm->vm)
            || (repeats && !ordered->second.mayRepeat(now))) {
            continue;
        }
        if (vm->runs == 0) {
            // A VM whose order got no answer has its place under the cap.
            if (repeats || started < freeSlots) {
                started += repeats ? 0 : 1;
                m_plannedVms.insert(vm->vm);
                wave.down[vm->vm] = {};
                m_changedWaves.insert(wave.request.wave);
                decisions.push_back(maintenance_decision{vm->vm, wave.request.wave});
            }
        } else if (started + draining < std::max(1, maxDown) && !vm->reserved) {
            // Drain the next VMs while others are down.
            ++draining;
            m_plannedVms.insert(vm->vm);
            wave.draining.insert(vm->vm);
            m_changedWaves.insert(wave.request.wave);
            decisions.push_back(drain_decision{vm->vm, wave.request.wave});
        }
    }
}

// While work waits, takes down only as many VMs at once as the wave needs to end in time; while the fleet is quiet, as many as the
// cap allows.
int fleet_planner::maxConcurrentDown(const wave_state &wave, int pendingVms, const fleet_view &view, time_ms now) const
{
    std::int64_t waitingCpu = 0;
    std::int64_t capacity = 0;
    for (const fleet_pool &pool : view.pools) {
        waitingCpu += pool.waitingCpu;
    }
    for (const fleet_vm &vm : view.vms) {
        capacity += vm.capacity.cpu;
    }
    if (static_cast<double>(waitingCpu) < quietBacklogShare * static_cast<double>(capacity)) {
        return wave.request.cap;
    }
    const double msPerVm = static_cast<double>(m_bounds.maintenanceMs + maintenanceOverheadMs);
    const double remaining = std::max(msPerVm, static_cast<double>(wave.dueAt - now - waveMarginMs));
    const int needed = saturatingCast<int>(std::ceil(pendingVms * msPerVm / remaining) + 1);
    return std::min(wave.request.cap, needed);
}

// VMs for the running and waiting work, or for the arriving work, whichever needs more. At the start of a burst the arrivals show the
// demand before a backlog builds up, and during the burst they keep VMs in the pool that are briefly empty.
int fleet_planner::desiredVms(const fleet_pool &pool, std::int64_t cpuPerVm, std::int64_t memoryPerVm) const
{
    const double cpu = static_cast<double>(pool.runningCpu) + waitingWeight * static_cast<double>(pool.waitingCpu);
    const double memory = static_cast<double>(pool.runningMemoryMb) + waitingWeight * static_cast<double>(pool.waitingMemoryMb);
    const int forCpu = vmsFor(std::max(cpu, static_cast<double>(pool.arriving.cpu)), cpuPerVm);
    const int forMemory = vmsFor(std::max(memory, static_cast<double>(pool.arriving.memoryMb)), memoryPerVm);
    return std::max({forCpu, forMemory, pool.minVms});
}

void fleet_planner::planMoves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions)
{
    struct pool_need
    {
        const fleet_pool *pool = nullptr;
        int present = 0;
        int desired = 0;
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::vector<const fleet_vm *> movable{};
    };
    std::map<std::string, pool_need> needs;
    std::string sparePool;
    for (const fleet_pool &pool : view.pools) {
        needs[pool.pool].pool = &pool;
        if (pool.spare) {
            sparePool = pool.pool;
        }
    }
    std::int64_t largestCpu = 1;
    std::int64_t largestMemory = 1;
    for (const fleet_vm &vm : view.vms) {
        const auto found = needs.find(vm.pool);
        if (found == needs.end()) {
            continue;
        }
        pool_need &need = found->second;
        need.cpu = std::max(need.cpu, vm.capacity.cpu);
        need.memory = std::max(need.memory, vm.capacity.memoryMb);
        largestCpu = std::max(largestCpu, vm.capacity.cpu);
        largestMemory = std::max(largestMemory, vm.capacity.memoryMb);
        const bool counts
            = vm.state == vm_state::Moving || (vm.state == vm_state::Up && !vm.executorDraining && !vm.reserved && (vm.responsive || !vm.hasExecutor));
        if (counts) {
            ++need.present;
        }
        const auto moved = m_lastMove.find(vm.vm);
        const bool ordered = !vm.hasExecutor && moved != m_lastMove.end() && now - moved->second < moveAnswerMs;
        if (canMove(vm, need.pool->spare) && !ordered && !m_plannedVms.contains(vm.vm)) {
            need.movable.push_back(&vm);
        }
    }
    for (std::pair<const std::string, pool_need> &item : needs) {
        pool_need &need = item.second;
        need.desired = need.pool->spare ? 0 : desiredVms(*need.pool, need.cpu > 0 ? need.cpu : largestCpu, need.memory > 0 ? need.memory : largestMemory);
        // The VM that has been empty longest comes last, because VMs are taken from the back.
        std::stable_sort(need.movable.begin(), need.movable.end(), [](const fleet_vm *a, const fleet_vm *b) {
            return a->emptySince > b->emptySince;
        });
    }
    int moves = 0;
    const int maxMoves = static_cast<int>(std::min<std::size_t>(view.roomForMoves, static_cast<std::size_t>(maxMovesPerPlan(m_bounds.fleetOrdersPerSecond))));
    const auto order = [&](const fleet_vm &vm, pool_need &from, pool_need &to) {
        m_plannedVms.insert(vm.vm);
        m_lastMove[vm.vm] = now;
        --from.present;
        ++to.present;
        ++moves;
        decisions.push_back(move_decision{vm.vm, to.pool->pool});
    };
    // Pools with too few VMs, the largest shortage first.
    std::vector<pool_need *> backlogged;
    for (std::pair<const std::string, pool_need> &item : needs) {
        if (!item.second.pool->spare && item.second.desired > item.second.present) {
            backlogged.push_back(&item.second);
        }
    }
    std::sort(backlogged.begin(), backlogged.end(), [](const pool_need *a, const pool_need *b) {
        return a->desired - a->present > b->desired - b->present;
    });
    const auto fill = [&](pool_need &need, int upTo) {
        for (bool fromSpare : {true, false}) {
            for (std::pair<const std::string, pool_need> &donor : needs) {
                if (donor.second.pool->spare != fromSpare || &donor.second == &need) {
                    continue;
                }
                const int keep = fromSpare ? 0 : donor.second.desired;
                std::vector<const fleet_vm *> &movable = donor.second.movable;
                while (need.present < upTo && donor.second.present > keep && !movable.empty() && moves < maxMoves) {
                    const fleet_vm *vm = movable.back();
                    if (vm->hasExecutor && now - vm->emptySince < emptyBeforeDonationMs) {
                        break;
                    }
                    movable.pop_back();
                    order(*vm, donor.second, need);
                }
            }
        }
    };
    // Every pool gets its first VM before any gets more: without a VM even a small backlog makes no progress.
    for (pool_need *need : backlogged) {
        fill(*need, 1);
    }
    for (pool_need *need : backlogged) {
        fill(*need, need->desired);
    }
    if (sparePool.empty()) {
        return;
    }
    pool_need &spare = needs[sparePool];
    for (std::pair<const std::string, pool_need> &item : needs) {
        pool_need &need = item.second;
        if (need.pool->spare) {
            continue;
        }
        while (need.present > need.desired + reserveVms && !need.movable.empty() && moves < maxMoves) {
            const fleet_vm *vm = need.movable.back();
            need.movable.pop_back();
            const auto moved = m_lastMove.find(vm->vm);
            const bool cooledDown = moved == m_lastMove.end() || moved->second + moveCooldownMs < now;
            if (now - vm->emptySince >= emptyBeforeSpareMs && cooledDown) {
                order(*vm, need, spare);
            }
        }
    }
}

std::optional<std::pair<std::string, std::string>> fleet_planner::takeChangedRow()
{
    if (m_changedWaves.empty()) {
        return std::nullopt;
    }
    const std::int64_t wave = *m_changedWaves.begin();
    m_changedWaves.erase(m_changedWaves.begin());
    return std::make_pair(rowKeyOf(wave), writeRow(m_waves.at(wave)));
}

// No longer than the operator's own row, which names each VM of the wave once.
std::string fleet_planner::writeRow(const wave_state &wave)
{
    if (wave.completed) {
        return json{{"completed", true}}.dump();
    }
    std::set<std::string> ordered;
    std::set<std::string> draining = wave.draining;
    for (const std::pair<const std::string, down_vm> &down : wave.down) {
        if (!wave.done.contains(down.first)) {
            ordered.insert(down.first);
            draining.erase(down.first);
        }
    }
    return json{{"done", wave.done}, {"drain", draining}, {"ordered", ordered}, {"due", wave.dueUnixMs}}.dump();
}

void fleet_planner::readRow(std::string_view key, std::string_view row)
{
    if (key == wavesRowKey) {
        readFormerRow(row);
        return;
    }
    const std::optional<std::int64_t> wave = waveOfRowKey(key);
    const json value = json::parse(row, nullptr, false);
    if (!wave || !value.is_object()) {
        return;
    }
    stored_wave &stored = m_stored[*wave];
    stored.done.clear();
    stored.draining.clear();
    stored.completed = value.value("completed", false);
    stored.dueUnixMs = value.value("due", std::int64_t{0});
    insertNames(value, "done", stored.done);
    insertNames(value, "drain", stored.draining);
    // No runs are placed on a VM whose maintenance may be on its way.
    insertNames(value, "ordered", stored.draining);
    insertNames(value, "ordered", stored.ordered);
}

void fleet_planner::readFormerRow(std::string_view row)
{
    const json value = json::parse(row, nullptr, false);
    if (!value.is_object() || !value.contains("waves") || !value["waves"].is_object()) {
        return;
    }
    const json &waves = value["waves"];
    for (auto item = waves.begin(); item != waves.end(); ++item) {
        stored_wave &stored = m_stored[std::atoll(item.key().c_str())];
        stored.dueUnixMs = item.value().value("due_unix_ms", std::int64_t{0});
        insertNames(item.value(), "done", stored.done);
        insertNames(item.value(), "draining", stored.draining);
    }
}

} // namespace daisypass::sched
