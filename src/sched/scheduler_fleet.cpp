// Fleet part of the scheduler: builds the planner's view of the fleet, carries out its decisions, and handles the answers.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// An unanswered move is ordered again after this time.
constexpr time_ms moveRetryMs = 1'000;

std::string kindOf(const vm_entry &vm)
{
    return vm.labels.empty() ? std::string() : vm.labels.front();
}

} // namespace

void scheduler::on(const vms_listed &what, time_ms now)
{
    std::map<std::string, vm_entry> listed;
    for (const vm_entry &vm : what.vms) {
        const auto before = m_vms.find(vm.vm);
        const bool back = vm.state == vm_state::Up && (before == m_vms.end() || before->second.state != vm_state::Up);
        if (back) {
            const bool fromMaintenance = before != m_vms.end() && before->second.state == vm_state::Maintenance;
            m_fleetPlanner.vmIsBack(vm.vm, what.askedAt.value_or(now), fromMaintenance);
        }
        if (before != m_vms.end()) {
            markReplacedDead(before->second, vm, what.askedAt.value_or(now), now);
        }
        if (what.askedAt) {
            reviveIfListed(vm, *what.askedAt, now);
        }
        listed[vm.vm] = vm;
    }
    m_vms = std::move(listed);
    m_vmsAskedAt = what.askedAt;
}

// If a later list names another executor, or shows that the VM was taken down, the previous executor no longer runs, even if its start
// time was never read. An incarnation that was first seen after the list was requested may have started later, so the list doesn't count for it.
void scheduler::markReplacedDead(const vm_entry &before, const vm_entry &after, time_ms askedAt, time_ms now)
{
    const bool takenDown = after.state == vm_state::Moving || after.state == vm_state::Maintenance;
    const bool replaced = !after.executor.empty() && after.executor != before.executor;
    const auto former = m_executors.find(before.executor);
    if (former == m_executors.end() || former->second.dead || former->second.incarnationFirstSeenAt > askedAt) {
        return;
    }
    if (takenDown || replaced) {
        markDead(former->second, now, "vm_lists_new_executor", {{"vm", after.vm}, {"successor", after.executor}});
    }
}

void scheduler::reviveIfListed(const vm_entry &vm, time_ms askedAt, time_ms now)
{
    const auto named = m_executors.find(vm.executor);
    const bool givenUp = named != m_executors.end() && named->second.dead && named->second.deadSince < askedAt;
    if (givenUp && vm.state == vm_state::Up) {
        revive(named->second, now);
    }
}

void scheduler::resendUnansweredMoves(time_ms now)
{
    for (const unanswered_move &move : m_orderLedger.unansweredMoves()) {
        const auto vm = m_vms.find(move.order.vm);
        const bool done = vm == m_vms.end() || vm->second.pool == move.order.pool;
        // A repeated order would end the runs of a different executor, which isn't reserved for the move.
        const bool occupantChanged = !done && !vm->second.executor.empty() && vm->second.executor != move.order.occupant.executor;
        if (done || occupantChanged) {
            m_orderLedger.settle(move.order, now);
            pollAfterFleetOrder(move.order.occupant.executor);
        } else if (now - move.sentAt >= moveRetryMs && vm->second.state == vm_state::Up) {
            addFleetOrder(move.order, now);
        }
    }
}

bool scheduler::hasUnregisteredExecutor() const
{
    return std::any_of(m_vms.begin(), m_vms.end(), [this](const std::pair<const std::string, vm_entry> &vm) {
        const auto executor = m_executors.find(vm.second.executor);
        const bool used = executor != m_executors.end() && executor->second.entryReadAt != 0;
        const bool announced = used || m_unusedEntries.contains(vm.second.executor);
        return vm.second.state == vm_state::Up && !vm.second.executor.empty() && !announced;
    });
}

void scheduler::on(const wave_requested &what, time_ms now)
{
    m_fleetPlanner.addWave(what.wave, now, what.unixMs);
}

fleet_view scheduler::viewOfFleet(time_ms now) const
{
    fleet_view view;
    view.listAskedAt = m_vmsAskedAt;
    view.roomForMoves = m_fleetOrders.roomForMoves();
    std::map<std::string, fleet_pool> pools;
    for (const std::pair<const std::string, pool_config> &pool : m_pools) {
        pools[pool.first].pool = pool.first;
        pools[pool.first].spare = pool.second.spare;
        const auto arrivals = m_arrivals.find(pool.first);
        if (arrivals != m_arrivals.end()) {
            pools[pool.first].arriving = arrivals->second.at(now);
        }
    }
    for (const std::pair<const std::string, vm_entry> &item : m_vms) {
        const vm_entry &entry = item.second;
        fleet_vm vm;
        vm.vm = entry.vm;
        vm.pool = entry.pool;
        vm.state = entry.state;
        vm.kind = kindOf(entry);
        vm.hasPendingOrder = m_fleetOrders.hasPredecessorOrder(entry.vm, now) || m_orderLedger.hasOpenOrder(entry.vm, entry.executor);
        // A VM that is off has no executor, so its reservation is read from the ledger.
        vm.reserved = entry.executor.empty() && m_orderLedger.hasRecord(entry.vm, entry.executor);
        const auto found = m_executors.find(entry.executor);
        if (found != m_executors.end() && !found->second.dead) {
            const executor_record &executor = found->second;
            vm.hasExecutor = true;
            vm.executorDraining = executor.entry.draining;
            vm.reserved = executor.reserved;
            vm.responsive = executor.isResponsive();
            // Ends that aren't stored would be lost with the executor, so the VM counts as in use until they are stored.
            const bool endsStored = executor.unstoredJobs.empty();
            vm.runs = static_cast<int>(executor.runs.size()) + (endsStored ? 0 : 1);
            vm.capacity = executor.entry.capacity;
            vm.emptySince = executor.runs.empty() && endsStored && executor.isResponsive() && executor.untracked.cpu == 0 ? executor.emptySince : 0;
            vm.longRunning = executor.longRunningRuns;
        }
        view.vms.push_back(std::move(vm));
    }
    std::vector<resources> capRoom;
    for (std::size_t tenant = 0; tenant < m_tenants.count(); ++tenant) {
        capRoom.push_back(m_tenants.roomOf(tenant));
    }
    for (const std::string &id : m_activeJobs) {
        const job_record &job = *m_jobs.at(id);
        const auto pool = pools.find(poolOf(job));
        if (pool == pools.end()) {
            continue;
        }
        for (const std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
                const step_record &record = occurrence.second.steps[step];
                const resources demand = job.spec.steps[step].countedDemand();
                const int running = static_cast<int>(record.tasks.size()) - record.waiting - record.done;
                pool->second.runningCpu += running * demand.cpu;
                pool->second.runningMemoryMb += running * demand.memoryMb;
                // Tasks that wait for their tenant's cap need no VMs.
                int admitted = record.waiting;
                if (record.waiting > 0 && job.isStepReady(occurrence.second, static_cast<int>(step))) {
                    admitted = admittedByCap(job, static_cast<int>(step), record.waiting, capRoom);
                    pool->second.waitingCpu += admitted * demand.cpu;
                    pool->second.waitingMemoryMb += admitted * demand.memoryMb;
                }
                const int perExecutor = job.spec.steps[step].maxTasksPerExecutor;
                const int left = running + admitted;
                if (perExecutor > 0 && left > 0) {
                    pool->second.minVms = std::max(pool->second.minVms, (left + perExecutor - 1) / perExecutor);
                }
            }
        }
    }
    for (std::pair<const std::string, fleet_pool> &pool : pools) {
        view.pools.push_back(std::move(pool.second));
    }
    return view;
}

void scheduler::planFleet(time_ms now)
{
    m_counts.vmsPlanned += static_cast<std::int64_t>(m_vms.size());
    m_fleetOrders.expire(now);
    resendUnansweredMoves(now);
    for (const fleet_decision &decision : m_fleetPlanner.plan(viewOfFleet(now), now)) {
        carryOut(decision, now);
    }
    sendFleetOrders(now);
    drainReservedExecutors(now);
}

void scheduler::carryOut(const fleet_decision &decision, time_ms now)
{
    if (const move_decision *move = std::get_if<move_decision>(&decision)) {
        const vm_entry &vm = m_vms.at(move->vm);
        if (!vm.executor.empty()) {
            const executor_record &executor = executorFor(vm.executor, now);
            if (!executor.runs.empty() || executor.reserved) {
                return;
            }
        }
        ++m_counts.moves;
        logEvent("move_ordered", {{"vm", move->vm}, {"from", vm.pool}, {"to", move->pool}, {"executor", vm.executor}});
        addFleetOrder(move_vm{move->vm, move->pool, currentOccupant(vm)}, now);
    } else if (const maintenance_decision *maintenance = std::get_if<maintenance_decision>(&decision)) {
        const vm_entry &vm = m_vms.at(maintenance->vm);
        if (!vm.executor.empty()) {
            executorFor(vm.executor, now);
        }
        ++m_counts.maintenanceOrders;
        logEvent("upkeep_ordered", {{"vm", maintenance->vm}, {"wave", std::to_string(maintenance->wave)}, {"executor", vm.executor}});
        addFleetOrder(maintain_vm{maintenance->vm, maintenance->wave, currentOccupant(vm)}, now);
    } else if (const drain_decision *drain = std::get_if<drain_decision>(&decision)) {
        const vm_entry &vm = m_vms.at(drain->vm);
        if (!vm.executor.empty()) {
            reserveForMaintenance(drain->vm, currentOccupant(vm), now);
            logEvent("vm_draining", {{"vm", drain->vm}, {"wave", std::to_string(drain->wave)}, {"executor", vm.executor}});
        }
    } else if (const wave_decision *wave = std::get_if<wave_decision>(&decision)) {
        logEvent(wave->completed ? "wave_completed" : "wave_running", {{"wave", std::to_string(wave->wave)}});
        m_actions.push_back(publish_wave{wave->wave, wave->completed});
    }
}

void scheduler::addFleetOrder(const fleet_order &order, time_ms now)
{
    m_orderLedger.add(order, now);
    m_fleetOrders.add(order, now);
    updateReservation(occupantOf(order).executor, now);
}

void scheduler::sendFleetOrders(time_ms now)
{
    for (const fleet_order &order : m_fleetOrders.takeDue()) {
        if (const maintain_vm *maintenance = std::get_if<maintain_vm>(&order)) {
            m_fleetPlanner.maintenanceSent(maintenance->wave, maintenance->vm, now);
        }
        std::visit(
            [this](const auto &one) {
                m_actions.push_back(one);
            },
            order);
    }
}

void scheduler::reserveForMaintenance(const std::string &vm, const executor_incarnation &occupant, time_ms now)
{
    executorFor(occupant.executor, now);
    m_orderLedger.plan(vm, occupant);
    updateReservation(occupant.executor, now);
}

// Sets the executor's `reserved` flag, which placement reads, from the ledger.
void scheduler::updateReservation(const std::string &executor, time_ms now)
{
    const auto found = m_executors.find(executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_record &record = found->second;
    const bool reserved = m_orderLedger.reserves(executor);
    if (record.reserved && !reserved) {
        record.emptySince = record.runs.empty() ? now : 0;
        m_placementPending = true;
    }
    record.reserved = reserved;
}

executor_incarnation scheduler::currentOccupant(const vm_entry &vm) const
{
    const auto executor = m_executors.find(vm.executor);
    return {vm.executor, executor == m_executors.end() ? 0 : executor->second.entry.startedUnixMs};
}

void scheduler::pollAfterFleetOrder(const std::string &executor)
{
    const auto found = m_executors.find(executor);
    if (found == m_executors.end()) {
        m_orderLedger.forget(executor);
        return;
    }
    requestPoll(found->second);
}

// An executor belongs to one pool, so the incarnation that was on the VM when the move was ordered no longer runs once the VM is in the
// other pool. The answer proves nothing about an incarnation whose start time was not known then, or about a later one.
void scheduler::on(const move_answered &what, time_ms now)
{
    m_orderLedger.answered(move_vm{what.vm, what.pool, what.occupant}, what.status, now);
    updateReservation(what.occupant.executor, now);
    if (what.status != fleet_status::Ok) {
        logEvent("move_refused", {{"vm", what.vm}, {"to", what.pool}, {"reason", std::string(nameOf(what.status))}});
        return;
    }
    const auto vm = m_vms.find(what.vm);
    if (vm != m_vms.end() && vm->second.executor == what.occupant.executor) {
        vm->second.state = vm_state::Moving;
        vm->second.pool = what.pool;
    }
    const auto executor = m_executors.find(what.occupant.executor);
    if (executor != m_executors.end() && what.occupant.startedUnixMs != 0 && executor->second.entry.startedUnixMs == what.occupant.startedUnixMs) {
        markDead(executor->second, now, "vm_moved", {{"vm", what.vm}, {"to", what.pool}});
    }
    pollAfterFleetOrder(what.occupant.executor);
}

// The fleet service also answers Ok if the maintenance was done before the current executor started. Therefore the executor, which has no
// runs, is not marked dead here but polled.
void scheduler::on(const maintenance_answered &what, time_ms now)
{
    m_orderLedger.answered(maintain_vm{what.vm, what.wave, what.occupant}, what.status, now);
    updateReservation(what.occupant.executor, now);
    if (what.status == fleet_status::Ok) {
        m_fleetPlanner.maintenanceStarted(what.wave, what.vm, now);
        const auto vm = m_vms.find(what.vm);
        if (vm != m_vms.end() && vm->second.executor == what.occupant.executor) {
            vm->second.state = vm_state::Maintenance;
        }
        pollAfterFleetOrder(what.occupant.executor);
        return;
    }
    logEvent("upkeep_refused", {{"vm", what.vm}, {"wave", std::to_string(what.wave)}, {"reason", std::string(nameOf(what.status))}});
    const bool permanentlyRefused = what.status == fleet_status::NotInWave || what.status == fleet_status::Rejected;
    const bool mayStillBeCarriedOut = !permanentlyRefused && m_orderLedger.hasRecord(what.vm, what.occupant.executor);
    if (what.status == fleet_status::Unknown || mayStillBeCarriedOut) {
        // The VM counts against the wave's cap until the VM list shows its state; then the maintenance is ordered again.
        return;
    }
    m_fleetPlanner.maintenanceRefused(what.wave, what.vm, permanentlyRefused);
}

} // namespace daisypass::sched
