#include "sched/fleet_planner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// Waiting work counts more than running work: it has to start before its objective passes, not in the order in which room frees.
constexpr double waitingWeight = 2.2;
// Empty VMs that a pool keeps for the first jobs of a turn, while moves are on their way.
constexpr int reserveVms = 4;
// An empty VM goes to the spare pool after this time, so that a pause between two arrivals moves nothing.
constexpr time_ms emptyBeforeSpareMs = 600;
// An empty VM helps another pool after this time.
constexpr time_ms emptyBeforeHelpMs = 150;
// A VM that has moved stays for this long unless another pool has a backlog.
constexpr time_ms stayAfterMoveMs = 2'500;
// The answer to a move's order, and the next list, arrive within this time.
constexpr time_ms moveAnswerMs = 2'000;
// Most moves ordered in one plan, well below the fleet service's rate.
constexpr int mostMovesPerPlan = 12;
// A VM that is listed as up this long after its upkeep should have ended has had it, or the order was never carried out.
constexpr time_ms upkeepSlackMs = 2'500;
// The order, and the list that shows the VM again, add this to each upkeep.
constexpr time_ms upkeepOverheadMs = 900;
// A wave is planned to end this long before it is due.
constexpr time_ms waveMarginMs = 7'000;
// With less waiting work than this share of the capacity the moment counts as quiet.
constexpr double quietShare = 0.02;

// A VM of a spare pool is off and has no executor.
bool canMove(const fleet_vm &vm, bool spare)
{
    const bool empty = vm.hasExecutor ? vm.runs == 0 && vm.emptySince > 0 : spare;
    return vm.state == vm_state::Up && empty && !vm.leaving && !vm.reserved && !vm.hasPendingOrder;
}

void insertNames(const json &wave, const char *field, std::set<std::string> &names)
{
    for (const json &name : wave.value(field, json::array())) {
        if (name.is_string()) {
            names.insert(name.get<std::string>());
        }
    }
}

int vmsFor(double amount, std::int64_t ofVm)
{
    return static_cast<int>(std::ceil(amount / static_cast<double>(std::max<std::int64_t>(1, ofVm))));
}

} // namespace

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
    if (stored != m_stored.end()) {
        found->second.done = stored->second.done;
        found->second.draining = stored->second.draining;
        found->second.down = stored->second.down;
        if (stored->second.dueUnixMs != 0) {
            found->second.dueUnixMs = stored->second.dueUnixMs;
        }
    }
    found->second.dueAt = now + (found->second.dueUnixMs - unixMs);
}

void fleet_planner::upkeepBegun(std::int64_t wave, const std::string &vm, time_ms now)
{
    const auto found = m_waves.find(wave);
    if (found != m_waves.end()) {
        found->second.done.insert(vm);
        found->second.draining.erase(vm);
        found->second.down[vm] = now;
    }
}

void fleet_planner::predecessorUpkeep(std::int64_t wave, const std::string &vm, time_ms now)
{
    m_stored[wave].down[vm] = now;
}

void fleet_planner::upkeepRefused(std::int64_t wave, const std::string &vm, bool forGood)
{
    const auto found = m_waves.find(wave);
    if (found == m_waves.end()) {
        return;
    }
    found->second.down.erase(vm);
    if (forGood) {
        found->second.done.insert(vm);
        found->second.draining.erase(vm);
    }
}

void fleet_planner::vmIsBack(const std::string &vm, time_ms now)
{
    for (std::pair<const std::int64_t, wave_state> &wave : m_waves) {
        const auto down = wave.second.down.find(vm);
        // A list that was read before the upkeep began still shows the VM as up.
        if (down != wave.second.down.end() && now - down->second >= m_bounds.upkeepMs) {
            wave.second.down.erase(down);
        }
    }
}

bool fleet_planner::wave_state::awaits(const std::string &vm) const
{
    return !completed && vms.contains(vm) && !done.contains(vm);
}

bool fleet_planner::awaitsUpkeep(const std::string &vm) const
{
    return upkeepDueAt(vm).has_value();
}

bool fleet_planner::wasDraining(const std::string &vm) const
{
    return std::any_of(m_stored.begin(), m_stored.end(), [&](const std::pair<const std::int64_t, stored_wave> &stored) {
        const auto wave = m_waves.find(stored.first);
        const bool pending = wave == m_waves.end() ? !stored.second.done.contains(vm) : wave->second.awaits(vm);
        return pending && stored.second.draining.contains(vm);
    });
}

std::optional<time_ms> fleet_planner::upkeepDueAt(const std::string &vm) const
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
    m_taken.clear();
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
    std::map<std::string, const fleet_vm *> known;
    for (const fleet_vm &vm : view.vms) {
        known[vm.vm] = &vm;
    }
    for (auto down = wave.down.begin(); down != wave.down.end();) {
        const auto vm = known.find(down->first);
        const bool up = vm != known.end() && vm->second->state == vm_state::Up;
        down = up && down->second + m_bounds.upkeepMs + upkeepSlackMs < now ? wave.down.erase(down) : std::next(down);
    }
    std::vector<const fleet_vm *> left;
    bool allBegun = true;
    for (const std::string &name : wave.request.vms) {
        const auto vm = known.find(name);
        // A VM that is gone needs no upkeep; an empty list says nothing about that.
        if (wave.done.contains(name) || (vm == known.end() && !known.empty())) {
            continue;
        }
        allBegun = false;
        if (vm != known.end()) {
            left.push_back(vm->second);
        }
    }
    if (allBegun && !known.empty()) {
        wave.completed = true;
        decisions.push_back(wave_decision{wave.request.wave, true});
        return;
    }
    // Spare VMs first, then empty ones, then those with the least to end.
    std::map<std::string, bool> spare;
    std::map<std::string, bool> pressed;
    for (const fleet_pool &pool : view.pools) {
        spare[pool.pool] = pool.spare;
        pressed[pool.pool] = pool.waitingCpu > 0;
    }
    std::stable_sort(left.begin(), left.end(), [&](const fleet_vm *a, const fleet_vm *b) {
        return std::make_tuple(a->runs > 0, pressed[a->pool], a->runs, !spare[a->pool], a->longRunning)
            < std::make_tuple(b->runs > 0, pressed[b->pool], b->runs, !spare[b->pool], b->longRunning);
    });
    // VMs that an earlier holder of the lease has taken down count too.
    std::set<std::string> down;
    for (const std::string &name : wave.request.vms) {
        const auto vm = known.find(name);
        const bool listedDown = vm != known.end() && vm->second->state == vm_state::Upkeep;
        if (listedDown || wave.down.contains(name)) {
            down.insert(name);
        }
    }
    const int atOnce = vmsAtOnce(wave, static_cast<int>(left.size() + down.size()), view, now);
    const int room = atOnce - static_cast<int>(down.size());
    int begun = 0;
    int draining = static_cast<int>(std::count_if(left.begin(), left.end(), [](const fleet_vm *vm) {
        return vm->reserved && vm->runs > 0;
    }));
    for (const fleet_vm *vm : left) {
        if (vm->state != vm_state::Up || vm->leaving || vm->hasPendingOrder || m_taken.contains(vm->vm) || wave.down.contains(vm->vm)) {
            continue;
        }
        if (vm->runs == 0) {
            if (begun < room) {
                ++begun;
                m_taken.insert(vm->vm);
                wave.down[vm->vm] = now;
                decisions.push_back(upkeep_decision{vm->vm, wave.request.wave});
            }
        } else if (begun + draining < std::max(1, atOnce) && !vm->reserved) {
            // The next ones are emptied while others are down.
            ++draining;
            m_taken.insert(vm->vm);
            wave.draining.insert(vm->vm);
            decisions.push_back(drain_decision{vm->vm, wave.request.wave});
        }
    }
}

// While work waits, only as many VMs are down as the wave needs to be in time; in quiet moments as many as it may.
int fleet_planner::vmsAtOnce(const wave_state &wave, int left, const fleet_view &view, time_ms now) const
{
    std::int64_t waitingCpu = 0;
    std::int64_t capacity = 0;
    for (const fleet_pool &pool : view.pools) {
        waitingCpu += pool.waitingCpu;
    }
    for (const fleet_vm &vm : view.vms) {
        capacity += vm.capacity.cpu;
    }
    if (static_cast<double>(waitingCpu) < quietShare * static_cast<double>(capacity)) {
        return wave.request.cap;
    }
    const double perVm = static_cast<double>(m_bounds.upkeepMs + upkeepOverheadMs);
    const double remaining = std::max(perVm, static_cast<double>(wave.dueAt - now - waveMarginMs));
    const int needed = static_cast<int>(std::ceil(left * perVm / remaining)) + 1;
    return std::min(wave.request.cap, needed);
}

// The running and waiting work, or what keeps up with the work that arrives, whichever is more: at the start of a turn the
// arrivals show the need before a backlog does, and in its middle they keep VMs that are empty for a moment.
int fleet_planner::wantedVms(const fleet_pool &pool, std::int64_t cpuOfVm, std::int64_t memoryOfVm) const
{
    const double cpu = static_cast<double>(pool.runningCpu) + waitingWeight * static_cast<double>(pool.waitingCpu);
    const double memory = static_cast<double>(pool.runningMemoryMb) + waitingWeight * static_cast<double>(pool.waitingMemoryMb);
    const int forCpu = vmsFor(std::max(cpu, static_cast<double>(pool.arriving.cpu)), cpuOfVm);
    const int forMemory = vmsFor(std::max(memory, static_cast<double>(pool.arriving.memoryMb)), memoryOfVm);
    return std::max({forCpu, forMemory, pool.minVms});
}

void fleet_planner::planMoves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions)
{
    struct pool_need
    {
        const fleet_pool *pool = nullptr;
        int present = 0;
        int wanted = 0;
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::set<std::string> kinds{};
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
    std::int64_t anyCpu = 1;
    std::int64_t anyMemory = 1;
    for (const fleet_vm &vm : view.vms) {
        const auto found = needs.find(vm.pool);
        if (found == needs.end()) {
            continue;
        }
        pool_need &need = found->second;
        need.cpu = std::max(need.cpu, vm.capacity.cpu);
        need.memory = std::max(need.memory, vm.capacity.memoryMb);
        anyCpu = std::max(anyCpu, vm.capacity.cpu);
        anyMemory = std::max(anyMemory, vm.capacity.memoryMb);
        const bool counts = vm.state == vm_state::Moving || (vm.state == vm_state::Up && !vm.leaving && !vm.reserved && (vm.answers || !vm.hasExecutor));
        if (counts) {
            ++need.present;
        }
        const auto moved = m_lastMove.find(vm.vm);
        const bool ordered = !vm.hasExecutor && moved != m_lastMove.end() && now - moved->second < moveAnswerMs;
        if (canMove(vm, need.pool->spare) && !ordered && !m_taken.contains(vm.vm)) {
            need.movable.push_back(&vm);
        }
    }
    for (std::pair<const std::string, pool_need> &item : needs) {
        pool_need &need = item.second;
        need.wanted = need.pool->spare ? 0 : wantedVms(*need.pool, need.cpu > 0 ? need.cpu : anyCpu, need.memory > 0 ? need.memory : anyMemory);
        // The longest empty last in the list, so that it is taken first.
        std::stable_sort(need.movable.begin(), need.movable.end(), [](const fleet_vm *a, const fleet_vm *b) {
            return a->emptySince > b->emptySince;
        });
    }
    int moves = 0;
    const auto order = [&](const fleet_vm &vm, pool_need &from, pool_need &to) {
        m_taken.insert(vm.vm);
        m_lastMove[vm.vm] = now;
        --from.present;
        ++to.present;
        ++moves;
        decisions.push_back(move_decision{vm.vm, to.pool->pool});
    };
    // Pools with a backlog first, the largest shortage first.
    std::vector<pool_need *> backlogged;
    for (std::pair<const std::string, pool_need> &item : needs) {
        if (!item.second.pool->spare && item.second.wanted > item.second.present) {
            backlogged.push_back(&item.second);
        }
    }
    std::sort(backlogged.begin(), backlogged.end(), [](const pool_need *a, const pool_need *b) {
        return a->wanted - a->present > b->wanted - b->present;
    });
    const auto fill = [&](pool_need &need, int upTo) {
        for (bool fromSpare : {true, false}) {
            for (std::pair<const std::string, pool_need> &donor : needs) {
                if (donor.second.pool->spare != fromSpare || &donor.second == &need) {
                    continue;
                }
                const int keep = fromSpare ? 0 : donor.second.wanted;
                std::vector<const fleet_vm *> &movable = donor.second.movable;
                while (need.present < upTo && donor.second.present > keep && !movable.empty() && moves < mostMovesPerPlan) {
                    const fleet_vm *vm = movable.back();
                    if (vm->hasExecutor && now - vm->emptySince < emptyBeforeHelpMs) {
                        break;
                    }
                    movable.pop_back();
                    order(*vm, donor.second, need);
                }
            }
        }
    };
    // In a pool without any VM nothing goes on at all, however little waits there.
    for (pool_need *need : backlogged) {
        fill(*need, 1);
    }
    for (pool_need *need : backlogged) {
        fill(*need, need->wanted);
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
        while (need.present > need.wanted + reserveVms && !need.movable.empty() && moves < mostMovesPerPlan) {
            const fleet_vm *vm = need.movable.back();
            need.movable.pop_back();
            const auto moved = m_lastMove.find(vm->vm);
            const bool settled = moved == m_lastMove.end() || moved->second + stayAfterMoveMs < now;
            if (now - vm->emptySince >= emptyBeforeSpareMs && settled) {
                order(*vm, need, spare);
            }
        }
    }
}

std::string fleet_planner::writeRow() const
{
    json waves = json::object();
    for (const std::pair<const std::int64_t, wave_state> &wave : m_waves) {
        waves[std::to_string(wave.first)] = json{{"done", wave.second.done}, {"draining", wave.second.draining}, {"due_unix_ms", wave.second.dueUnixMs}};
    }
    return json{{"waves", waves}}.dump();
}

void fleet_planner::readRow(std::string_view row)
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
