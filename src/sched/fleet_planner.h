#pragma once

// Decides which VM stands in which pool and when each VM of a wave gets its upkeep.
//
//     fleet_planner planner(bounds);
//     std::vector<fleet_decision> decisions = planner.plan(view, now);
//
// The load it answers: the queues' demand comes in turns, each for some seconds at several times what its pool holds, while
// the other pools stand nearly idle. VMs follow the turns; VMs that no pool needs stand in the spare pool, which costs nothing.
// Everything on a VM ends when it moves or goes down, so only VMs without runs move, and upkeep takes VMs that are empty
// first. VMs with long-running tasks are emptied through the availability budget of each step.

#include "sched/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass::sched {

/** A VM as the planner sees it. */
struct fleet_vm
{
    std::string vm;
    std::string pool;
    vm_state state = vm_state::Up;
    /** VMs of different kinds don't share pools. */
    std::string kind;
    bool hasExecutor = false;
    /** Its executor is about to leave. */
    bool leaving = false;
    /** An earlier holder's order may still be carried out on it: it gets no other. */
    bool hasPendingOrder = false;
    /** It takes no new runs, because its upkeep or a move is next. */
    bool reserved = false;
    bool answers = false;
    int runs = 0;
    /** Runs that the planner may ask to stop because they last. */
    int longRunning = 0;
    /** Since when nothing runs on it; 0 while something does. */
    time_ms emptySince = 0;
    resources capacity;
};

/** What a pool has to do. */
struct fleet_pool
{
    std::string pool;
    bool spare = false;
    /** Thousandths of a core that runs take now. */
    std::int64_t runningCpu = 0;
    /** What the waiting tasks that could start now would take. */
    std::int64_t waitingCpu = 0;
    std::int64_t waitingMemoryMb = 0;
    std::int64_t runningMemoryMb = 0;
    /** What keeps up with the work that arrives. */
    resources arriving;
    /** Executors that must be there for tasks that spread. */
    int minVms = 0;
};

struct fleet_view
{
    std::vector<fleet_vm> vms;
    std::vector<fleet_pool> pools;
};

struct move_decision
{
    std::string vm;
    std::string pool;
};

struct upkeep_decision
{
    std::string vm;
    std::int64_t wave = 0;
};

/** Take no new runs and end the long-running ones as the budgets allow. */
struct drain_decision
{
    std::string vm;
    std::int64_t wave = 0;
};

struct wave_decision
{
    std::int64_t wave = 0;
    bool completed = false;
};

using fleet_decision = std::variant<move_decision, upkeep_decision, drain_decision, wave_decision>;

class fleet_planner
{
public:
    explicit fleet_planner(bounds limits);

    /** Waves already known are left as they are. */
    void addWave(const wave_request &wave, time_ms now, std::int64_t unixMs);
    void upkeepBegun(std::int64_t wave, const std::string &vm, time_ms now);
    /** An earlier holder may have begun the upkeep: it counts against the cap until the list shows the VM up again. */
    void predecessorUpkeep(std::int64_t wave, const std::string &vm, time_ms now);
    void upkeepRefused(std::int64_t wave, const std::string &vm, bool forGood);
    /** The fleet's list has the VM up again after its upkeep began. */
    void vmIsBack(const std::string &vm, time_ms now);

    std::vector<fleet_decision> plan(const fleet_view &view, time_ms now);

    /** The VM has its upkeep before it in a wave. */
    bool awaitsUpkeep(const std::string &vm) const;
    /** An earlier holder was emptying the VM for an upkeep that it still has before it. */
    bool wasDraining(const std::string &vm) const;
    /** When the first wave in which the VM has its upkeep before it is due; nothing if there is none. */
    std::optional<time_ms> upkeepDueAt(const std::string &vm) const;

    /** Progress of the waves, to be stored. */
    std::string writeRow() const;
    void readRow(std::string_view row);

private:
    struct wave_state
    {
        wave_request request;
        /** The request's VMs, for look-ups. */
        std::set<std::string> vms;
        std::int64_t dueUnixMs = 0;
        time_ms dueAt = 0;
        std::set<std::string> done;
        /** VMs that are emptied for their upkeep. */
        std::set<std::string> draining;
        std::map<std::string, time_ms> down;
        bool announced = false;
        bool completed = false;

        /** The VM has its upkeep in this wave before it. */
        bool awaits(const std::string &vm) const;
    };

    void planWaves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    void planWave(wave_state &wave, const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    int vmsAtOnce(const wave_state &wave, int left, const fleet_view &view, time_ms now) const;
    void planMoves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    int wantedVms(const fleet_pool &pool, std::int64_t cpuOfVm, std::int64_t memoryOfVm) const;

    bounds m_bounds;
    std::map<std::int64_t, wave_state> m_waves;
    /** Waves' progress read from the row before the wave itself was seen. */
    struct stored_wave
    {
        std::set<std::string> done;
        std::set<std::string> draining;
        std::map<std::string, time_ms> down;
        std::int64_t dueUnixMs = 0;
    };

    std::map<std::int64_t, stored_wave> m_stored;
    /** VMs that the current plan has given something to do. */
    std::set<std::string> m_taken;
    std::map<std::string, time_ms> m_lastMove;
};

} // namespace daisypass::sched
