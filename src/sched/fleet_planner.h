#pragma once

// Decides which pool each VM belongs to and when each VM of a wave gets its maintenance.
//
//     fleet_planner planner(bounds);
//     std::vector<fleet_decision> decisions = planner.plan(view, now);
//
// Demand comes in bursts, one queue after another: for some seconds a queue needs several times the capacity of its pool, while the
// other pools are nearly idle. VMs are moved to the pool that has the burst; VMs that no pool needs are moved to the spare pool,
// where they cost nothing. A move or maintenance ends everything on a VM, so only VMs without runs move, and maintenance takes empty
// VMs first. VMs with long-running tasks are drained within the availability budget of each step.

#include "sched/model.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace daisypass::sched {

/** The key of a wave's row is this with a slash and the wave's number. Former versions had one row of this key for all waves. */
inline constexpr const char *wavesRowKey = "~waves";

/** State of a VM, as input of the planner. */
struct fleet_vm
{
    std::string vm;
    std::string pool;
    vm_state state = vm_state::Up;
    /** All VMs of a pool are of the same kind. */
    std::string kind;
    bool hasExecutor = false;
    /** The registry entry of the VM's executor says that the executor is draining. */
    bool executorDraining = false;
    /**
     * The VM gets no other order: an order of an earlier lease holder may still be carried out on it, or an order of this term awaits its
     * answer, or a move got none. Maintenance that got no answer isn't included, because it is ordered again.
     */
    bool hasPendingOrder = false;
    /** The executor gets no new runs, because maintenance or a move of the VM is next. */
    bool reserved = false;
    /** The VM's executor answers polls. */
    bool responsive = false;
    int runs = 0;
    /** Runs of long-running tasks, which a drain has to stop because they don't end by themselves. */
    int longRunning = 0;
    /** Since when nothing runs on the VM; 0 while something does. */
    time_ms emptySince = 0;
    resources capacity;
};

/** Demand on a pool, as input of the planner. */
struct fleet_pool
{
    std::string pool;
    bool spare = false;
    /** Thousandths of a core that running tasks take. */
    std::int64_t runningCpu = 0;
    /** Thousandths of a core that the waiting tasks of ready steps would take. */
    std::int64_t waitingCpu = 0;
    std::int64_t waitingMemoryMb = 0;
    std::int64_t runningMemoryMb = 0;
    /** Capacity that keeps up with the arriving work. */
    resources arriving;
    /** Least number of VMs for steps that limit their tasks on one executor. */
    int minVms = 0;
};

struct fleet_view
{
    std::vector<fleet_vm> vms;
    std::vector<fleet_pool> pools;
    /** When the list of VMs was requested; empty if that isn't known. */
    std::optional<time_ms> listAskedAt{};
    /** Number of moves that may be ordered until earlier orders have expired. */
    std::size_t roomForMoves = std::numeric_limits<std::size_t>::max();
};

struct move_decision
{
    std::string vm;
    std::string pool;
};

struct maintenance_decision
{
    std::string vm;
    std::int64_t wave = 0;
};

/** Place no new runs on the VM, and stop its long-running tasks as the availability budgets allow. */
struct drain_decision
{
    std::string vm;
    std::int64_t wave = 0;
};

/** Report to the operator that a wave has started, or is completed. */
struct wave_decision
{
    std::int64_t wave = 0;
    bool completed = false;
};

using fleet_decision = std::variant<move_decision, maintenance_decision, drain_decision, wave_decision>;

class fleet_planner
{
public:
    explicit fleet_planner(bounds limits);

    /** Most moves that one plan orders while the fleet service accepts this many orders in a second. */
    static int maxMovesPerPlan(double fleetOrdersPerSecond);

    /** Adds a wave; a wave that was added before isn't changed. */
    void addWave(const wave_request &wave, time_ms now, std::int64_t unixMs);
    /** The order for the maintenance, which waited for its row to be stored, is sent. */
    void maintenanceSent(std::int64_t wave, const std::string &vm, time_ms now);
    void maintenanceStarted(std::int64_t wave, const std::string &vm, time_ms now);
    /** An earlier lease holder may have started the maintenance: it counts against the wave's cap until the VM is listed as up again. */
    void predecessorMaintenance(std::int64_t wave, const std::string &vm);
    /** The fleet service refused the maintenance; if `permanent`, the wave leaves the VM out. */
    void maintenanceRefused(std::int64_t wave, const std::string &vm, bool permanent);
    /**
     * A list that was requested at `askedAt` shows the VM as up, which the one before it didn't; `fromMaintenance` if that one showed it in
     * maintenance. Ignored for maintenance that can't be over yet.
     */
    void vmIsBack(const std::string &vm, time_ms askedAt, bool fromMaintenance = false);

    std::vector<fleet_decision> plan(const fleet_view &view, time_ms now);

    /** True if the VM is in a wave that has not started its maintenance yet. */
    bool awaitsMaintenance(const std::string &vm) const;
    /** True if an earlier lease holder was draining the VM for maintenance that has not started yet. */
    bool wasDraining(const std::string &vm) const;
    /** Earliest due time of the waves that have not started the VM's maintenance yet; nothing if there is none. */
    std::optional<time_ms> maintenanceDueAt(const std::string &vm) const;

    bool hasChangedWaves() const
    {
        return !m_changedWaves.empty();
    }
    /** Key and row of a wave whose progress has changed since its row was taken last; empty if there is none. */
    std::optional<std::pair<std::string, std::string>> takeChangedRow();
    /** Restores the progress of a wave from its row; a row that can't be parsed is ignored. */
    void readRow(std::string_view key, std::string_view row);

private:
    /** A VM that counts against the cap of its wave: its maintenance was decided, and isn't known to be over. */
    struct down_vm
    {
        /** When the latest order was sent, or its answer came; empty while the order waits for its row to be stored. */
        std::optional<time_ms> orderedAt{};
        /** The fleet service has confirmed that the maintenance has started. */
        bool confirmed = false;

        /** The latest time at which the maintenance can start; empty while that isn't known. */
        std::optional<time_ms> startsBy() const;
        /** Whether the order, which has had no answer, may be sent again. */
        bool mayRepeat(time_ms now) const;
    };

    struct wave_state
    {
        wave_request request;
        /** The request's VMs as a set. */
        std::set<std::string> vms;
        std::int64_t dueUnixMs = 0;
        time_ms dueAt = 0;
        /** VMs whose maintenance has started, or was refused permanently. */
        std::set<std::string> done;
        /** VMs that are drained for their maintenance. */
        std::set<std::string> draining;
        std::map<std::string, down_vm> down;
        bool announced = false;
        bool completed = false;

        /** True if the VM's maintenance in this wave has not started yet. */
        bool awaits(const std::string &vm) const;
    };

    void planWaves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    void planWave(wave_state &wave, const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    int maxConcurrentDown(const wave_state &wave, int pendingVms, const fleet_view &view, time_ms now) const;
    void planMoves(const fleet_view &view, time_ms now, std::vector<fleet_decision> &decisions);
    int desiredVms(const fleet_pool &pool, std::int64_t cpuPerVm, std::int64_t memoryPerVm) const;

    bounds m_bounds;
    std::map<std::int64_t, wave_state> m_waves;
    /** Progress of a wave that was restored from the row before the wave was added. */
    struct stored_wave
    {
        std::set<std::string> done;
        std::set<std::string> draining;
        /** VMs for which an earlier lease holder decided maintenance whose start wasn't confirmed. */
        std::set<std::string> ordered;
        std::int64_t dueUnixMs = 0;
        bool completed = false;
    };

    /** A VM of the wave counts no more; marks the wave's row as changed if that shows in it. */
    void markReleased(const wave_state &wave, const std::string &vm);
    /** Ends the count of VMs whose maintenance is over by the latest list of VMs. */
    void releaseMaintained(wave_state &wave, const std::map<std::string, const fleet_vm *> &listedVms, time_ms listAskedAt);
    static std::string writeRow(const wave_state &wave);
    /** Restores all waves from the only row that former versions wrote for them. */
    void readFormerRow(std::string_view row);

    std::map<std::int64_t, stored_wave> m_stored;
    /** The waves whose rows must be stored. */
    std::set<std::int64_t> m_changedWaves;
    /** VMs for which the current call of plan has made a decision. */
    std::set<std::string> m_plannedVms;
    std::map<std::string, time_ms> m_lastMove;
};

} // namespace daisypass::sched
