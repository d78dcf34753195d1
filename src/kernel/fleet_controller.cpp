#include "kernel/fleet_controller.h"

#include "kernel/maintenance_wave.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_map>

namespace daisypass {
namespace {

using days = std::chrono::duration<std::int64_t, std::ratio<86'400>>;

bool isReachable(const entry_record &entry, const controller_input &input, duration maxAge)
{
    const auto observation = input.entries.find(entry.id);
    return observation != input.entries.end() && observation->second.incarnation == entry.incarnation && observation->second.answeredAt
        && input.now - *observation->second.answeredAt <= maxAge;
}

const target_observation &observationOf(const controller_input &input, std::string_view vm)
{
    static const target_observation nothing;
    const auto found = input.targets.find(vm);
    return found == input.targets.end() ? nothing : found->second;
}

std::vector<drain_confirmation> missingConfirmations(const fleet_state &state, const controller_input &input, const vm_record &vm)
{
    std::vector<drain_confirmation> missing = state.requiredConfirmations(vm.id);
    const auto found = input.confirmations.find(vm.id);
    if (found != input.confirmations.end()) {
        for (const confirmation_observation &item : found->second) {
            if (item.epoch == vm.epoch) {
                missing.erase(std::remove(missing.begin(), missing.end(), item.by), missing.end());
            }
        }
    }
    return missing;
}

// When the last confirmation of this drain arrived, or when the drain began if there is none.
timestamp lastConfirmationAt(const controller_input &input, const vm_record &vm)
{
    timestamp last = vm.changedAt;
    const auto found = input.confirmations.find(vm.id);
    if (found != input.confirmations.end()) {
        for (const confirmation_observation &item : found->second) {
            last = item.epoch == vm.epoch ? std::max(last, item.at) : last;
        }
    }
    return last;
}

// What a stopped VM waits for before it can return, or an empty string.
std::string returnBlockedBy(const fleet_controller_options &options, const controller_input &input, const vm_record &vm)
{
    timestamp since = vm.changedAt;
    if (vm.detail != joinDetail && vm.cause != drain_cause::Removal) {
        const auto accepted = input.rebootsAccepted.find(rebootOperation(vm));
        if (accepted == input.rebootsAccepted.end()) {
            return "the platform's acceptance of the reboot";
        }
        since = accepted->second;
        const target_observation &target = observationOf(input, vm.id);
        const bool outageObserved = target.failedAt && *target.failedAt > since;
        if (!outageObserved && input.now - since < options.rebootGrace) {
            return "the outage of the reboot, or the end of its grace time";
        }
        since = outageObserved ? *target.failedAt : since + options.rebootGrace;
    }
    const target_observation &target = observationOf(input, vm.id);
    if (!target.answeredAt || *target.answeredAt < since || target.failingSince) {
        return "an answer of the target to a probe";
    }
    return "";
}

class decision_maker
{
public:
    decision_maker(const fleet_controller_options &options, const fleet_state &state, const controller_input &input)
        : m_options(options)
        , m_state(state)
        , m_input(input)
    {
        // Most VMs are live, so a look-up among the few others costs less than one in the whole list.
        if (input.platformVms) {
            for (const std::pair<const std::string, platform_vm_state> &vm : *input.platformVms) {
                if (vm.second != platform_vm_state::Live) {
                    (vm.second == platform_vm_state::Gone ? m_goneVms : m_leavingVms).insert(vm.first);
                }
            }
        }
    }

    void removeEntries();
    void detectFailures();
    void advanceVms();
    void cancelDrains();
    void plan(const fleet_controller::balancer &policy);

    controller_decision take()
    {
        return std::move(m_decision);
    }

private:
    bool recordFull() const
    {
        return m_decision.changes.size() >= m_options.maxChangesPerRecord;
    }

    // Each VM changes at most once per record, and a pool whose counts changed in this record gets no planned change in it.
    template<typename T>
    void propose(const vm_record &vm, T change)
    {
        if (recordFull() || !m_changedVms.insert(vm.id).second) {
            return;
        }
        m_changedPools.insert(vm.pool);
        m_decision.changes.emplace_back(std::move(change));
    }

    bool reportedUnreachable(const vm_record &vm) const;
    void advanceDraining(const vm_record &vm);
    void advanceStopped(const vm_record &vm);
    void advanceFailed(const vm_record &vm);
    void cancelDrainsInPool(std::string_view pool, const std::vector<const vm_record *> &draining);
    bool begin(const vm_record &vm, drain_cause cause, std::string_view detail);
    void beginMove(const std::vector<const vm_record *> &members, std::string_view to);
    void planMaintenance(const wave_config &wave, const std::string &pool, const std::vector<const vm_record *> &members);

    const fleet_controller_options &m_options;
    const fleet_state &m_state;
    const controller_input &m_input;
    controller_decision m_decision;
    std::set<std::string_view> m_goneVms;
    std::set<std::string_view> m_leavingVms;
    std::set<std::string, std::less<>> m_changedVms;
    std::set<std::string, std::less<>> m_changedPools;
};

void decision_maker::removeEntries()
{
    for (const std::pair<const std::string, entry_record> &entry : m_state.entries()) {
        // The platform's list may be outdated: an entry that answers is a new process with the same name.
        if (m_goneVms.contains(entry.first) && !isReachable(entry.second, m_input, m_options.maxObservationAge) && !recordFull()) {
            m_decision.changes.emplace_back(entry_removed{entry.first, entry.second.incarnation});
        }
    }
}

bool decision_maker::reportedUnreachable(const vm_record &vm) const
{
    int live = 0;
    int reports = 0;
    for (const std::pair<const std::string, entry_record> &entry : m_state.entries()) {
        if (isReachable(entry.second, m_input, m_options.maxObservationAge)) {
            ++live;
            reports += m_input.entries.find(entry.first)->second.unreachableVms.contains(vm.id) ? 1 : 0;
        }
    }
    return 2 * reports > live;
}

void decision_maker::detectFailures()
{
    // Reports are counted only for VMs that at least one entry reports, so that a healthy fleet needs no counting.
    std::set<std::string, std::less<>> reported;
    for (const std::pair<const std::string, entry_observation> &entry : m_input.entries) {
        reported.insert(entry.second.unreachableVms.begin(), entry.second.unreachableVms.end());
    }
    for (const std::pair<const std::string, vm_record> &item : m_state.vms()) {
        const vm_record &vm = item.second;
        if (vm.state == vm_state::Failed) {
            continue;
        }
        if (m_goneVms.contains(vm.id)) {
            propose(vm, vm_failed{vm.id});
            continue;
        }
        const bool inUse = vm.state == vm_state::Serving || vm.state == vm_state::Draining;
        if (inUse && reported.contains(vm.id) && reportedUnreachable(vm)) {
            m_decision.commands.emplace_back(probe_target{vm.id, vm.address});
            const target_observation &target = observationOf(m_input, vm.id);
            if (target.failingSince && target.failedAt && m_input.now - *target.failedAt <= m_options.maxObservationAge) {
                propose(vm, vm_failed{vm.id});
            }
        }
    }
}

void decision_maker::advanceVms()
{
    for (const std::pair<const std::string, vm_record> &item : m_state.vms()) {
        if (item.second.state == vm_state::Draining) {
            advanceDraining(item.second);
        } else if (item.second.state == vm_state::Stopped) {
            advanceStopped(item.second);
        } else if (item.second.state == vm_state::Failed) {
            advanceFailed(item.second);
        }
    }
}

void decision_maker::advanceDraining(const vm_record &vm)
{
    if (!missingConfirmations(m_state, m_input, vm).empty()) {
        m_decision.commands.emplace_back(request_confirmations{vm.id, vm.epoch});
        return;
    }
    // A request of an entry that died can still run on the target, so the target itself is probed after the last confirmation.
    m_decision.commands.emplace_back(probe_target{vm.id, vm.address});
    const timestamp confirmed = lastConfirmationAt(m_input, vm);
    const target_observation &target = observationOf(m_input, vm.id);
    if (target.failingSince) {
        if (m_input.now - std::max(*target.failingSince, confirmed) >= m_options.probeFailureTimeout) {
            propose(vm, vm_failed{vm.id});
        }
        return;
    }
    if (target.answeredAt && *target.answeredAt >= confirmed && target.inFlight == 0) {
        propose(vm, vm_stopped{vm.id, vm.epoch, m_state.requiredConfirmations(vm.id)});
    }
}

void decision_maker::advanceStopped(const vm_record &vm)
{
    if (vm.cause == drain_cause::Move && !vm.detail.empty() && vm.detail != joinDetail) {
        if (m_state.config().pools.contains(vm.detail)) {
            propose(vm, vm_moved{vm.id, vm.epoch, vm.detail});
            m_changedPools.insert(vm.detail);
            return;
        }
    }
    const bool leaving = m_leavingVms.contains(vm.id);
    if (vm.detail != joinDetail && vm.cause != drain_cause::Removal && !m_input.rebootsAccepted.contains(rebootOperation(vm)) && !leaving) {
        m_decision.commands.emplace_back(reboot_vm{vm.id, rebootOperation(vm)});
    }
    m_decision.commands.emplace_back(probe_target{vm.id, vm.address});
    if (leaving) {
        return;
    }
    if (returnBlockedBy(m_options, m_input, vm).empty()) {
        propose(vm, vm_returned{vm.id, vm.epoch});
    } else if (m_input.now - vm.changedAt >= m_options.returnTimeout) {
        propose(vm, vm_failed{vm.id});
    }
}

void decision_maker::advanceFailed(const vm_record &vm)
{
    if (m_goneVms.contains(vm.id)) {
        return;
    }
    m_decision.commands.emplace_back(probe_target{vm.id, vm.address});
    // A failed VM is never rebooted: a paused controller could send the reboot late and interrupt requests on a VM that has recovered
    // in the meantime. The reboot of a stopped VM is safe, because the VM returns only after the platform has accepted that operation.
    if (m_input.now - vm.changedAt < m_options.recoveryInterval) {
        return;
    }
    const target_observation &target = observationOf(m_input, vm.id);
    if (target.answeredAt && !target.failingSince && m_input.now - *target.answeredAt <= m_options.maxObservationAge && !reportedUnreachable(vm)) {
        propose(vm, vm_recovered{vm.id});
    }
}

void decision_maker::cancelDrains()
{
    std::map<std::string_view, std::vector<const vm_record *>> draining;
    for (const std::pair<const std::string, vm_record> &item : m_state.vms()) {
        if (item.second.state == vm_state::Draining && !m_changedVms.contains(item.first)) {
            draining[item.second.pool].push_back(&item.second);
        }
    }
    for (const std::pair<const std::string_view, std::vector<const vm_record *>> &pool : draining) {
        cancelDrainsInPool(pool.first, pool.second);
    }
}

void decision_maker::cancelDrainsInPool(std::string_view pool, const std::vector<const vm_record *> &draining)
{
    const int shortfall = m_state.minAvailable(pool) + m_state.largestLoss(pool) - m_state.serving(pool);
    std::vector<const vm_record *> newestFirst = draining;
    std::sort(newestFirst.begin(), newestFirst.end(), [](const vm_record *left, const vm_record *right) {
        return left->drainRevision > right->drainRevision;
    });
    for (int index = 0; index < shortfall && index < static_cast<int>(newestFirst.size()); ++index) {
        const vm_record &vm = *newestFirst[static_cast<std::size_t>(index)];
        propose(vm, drain_cancelled{vm.id, vm.epoch});
    }
}

bool decision_maker::begin(const vm_record &vm, drain_cause cause, std::string_view detail)
{
    failure ignored;
    if (recordFull() || m_changedPools.contains(vm.pool) || !m_state.mayDrain(vm.id, ignored)) {
        return false;
    }
    propose(vm, drain_begun{vm.id, vm.epoch + 1, cause, std::string(detail)});
    return true;
}

void decision_maker::plan(const fleet_controller::balancer &policy)
{
    std::unordered_map<std::string_view, std::vector<const vm_record *>> pools;
    // Both maps are sorted by id, so a single pass over both replaces a look-up for each VM.
    auto configured = m_state.config().vms.begin();
    for (const std::pair<const std::string, vm_record> &item : m_state.vms()) {
        const vm_record &vm = item.second;
        pools[vm.pool].push_back(&vm);
        while (configured != m_state.config().vms.end() && configured->first < vm.id) {
            ++configured;
        }
        if (vm.state != vm_state::Serving) {
            continue;
        }
        if (configured == m_state.config().vms.end() || configured->first != vm.id) {
            begin(vm, drain_cause::Removal, "configuration");
        } else if (m_leavingVms.contains(vm.id)) {
            begin(vm, drain_cause::Removal, "platform");
        } else if (vm.desiredPool != vm.pool) {
            begin(vm, drain_cause::Move, vm.desiredPool);
        }
    }
    for (const std::pair<const std::string, wave_config> &wave : m_state.config().waves) {
        if (windowOpen(wave.second, m_input.now)) {
            for (const std::string &pool : wave.second.pools) {
                planMaintenance(wave.second, pool, pools[pool]);
            }
        }
    }
    if (!policy) {
        return;
    }
    for (const pool_move &move : policy(m_state, m_input)) {
        if (m_state.config().pools.contains(move.to) && move.from != move.to) {
            beginMove(pools[move.from], move.to);
        }
    }
}

// Moves the VM whose maintenance is oldest, because a move includes a reboot, which counts as maintenance.
void decision_maker::beginMove(const std::vector<const vm_record *> &members, std::string_view to)
{
    std::vector<const vm_record *> serving;
    std::copy_if(members.begin(), members.end(), std::back_inserter(serving), [](const vm_record *vm) {
        return vm->state == vm_state::Serving;
    });
    std::sort(serving.begin(), serving.end(), [](const vm_record *left, const vm_record *right) {
        return std::tie(left->maintainedAt, left->id) < std::tie(right->maintainedAt, right->id);
    });
    for (const vm_record *vm : serving) {
        if (begin(*vm, drain_cause::Move, to)) {
            return;
        }
    }
}

void decision_maker::planMaintenance(const wave_config &wave, const std::string &pool, const std::vector<const vm_record *> &members)
{
    int inProgress = 0;
    std::set<std::string_view> racks;
    std::vector<const vm_record *> due;
    const duration lead = leadTime(wave, static_cast<int>(members.size()));
    for (const vm_record *vm : members) {
        const bool stopping = vm->state == vm_state::Draining || (vm->state == vm_state::Stopped && vm->detail != joinDetail);
        if (stopping && vm->cause == drain_cause::Maintenance) {
            ++inProgress;
            racks.insert(vm->rack);
        } else if (vm->state == vm_state::Serving && m_input.now >= vm->maintainedAt + days(wave.periodDays) - lead) {
            due.push_back(vm);
        }
    }
    if (inProgress >= wave.parallel) {
        return;
    }
    // VMs in racks that are already under maintenance come first, so that maintenance affects one failure domain at a time.
    std::sort(due.begin(), due.end(), [&racks](const vm_record *left, const vm_record *right) {
        const bool leftInOtherRack = !racks.contains(left->rack);
        const bool rightInOtherRack = !racks.contains(right->rack);
        return std::tie(leftInOtherRack, left->maintainedAt, left->id) < std::tie(rightInOtherRack, right->maintainedAt, right->id);
    });
    for (const vm_record *vm : due) {
        if (begin(*vm, drain_cause::Maintenance, wave.name) || m_changedPools.contains(pool)) {
            return;
        }
    }
}

} // namespace

fleet_controller::fleet_controller(fleet_controller_options options)
    : m_options(options)
{
}

void fleet_controller::setBalancer(balancer policy)
{
    m_balancer = std::move(policy);
}

controller_decision fleet_controller::decide(const fleet_state &state, const controller_input &input) const
{
    // Without the store no change can be appended. The commands that belong to a stop are repeated once it answers.
    if (!input.storeReachable) {
        return {};
    }
    decision_maker maker(m_options, state, input);
    maker.removeEntries();
    maker.detectFailures();
    maker.advanceVms();
    maker.cancelDrains();
    if (planningBlockedBy(state, input).empty()) {
        maker.plan(m_balancer);
    }
    return maker.take();
}

std::string fleet_controller::planningBlockedBy(const fleet_state &state, const controller_input &input) const
{
    if (!input.storeReachable) {
        return "the table service does not answer";
    }
    if (!input.platformVms) {
        return "the platform's VM list could not be read";
    }
    for (const std::pair<const std::string, entry_record> &entry : state.entries()) {
        if (!isReachable(entry.second, input, m_options.maxObservationAge)) {
            return "entry " + entry.first + " has not answered";
        }
        if (input.entries.find(entry.first)->second.revision < state.revision()) {
            return "entry " + entry.first + " has not replayed revision " + std::to_string(state.revision());
        }
    }
    return "";
}

std::string fleet_controller::waitsFor(const fleet_state &state, const controller_input &input, std::string_view id) const
{
    const auto found = state.vms().find(id);
    if (found == state.vms().end()) {
        return "";
    }
    const vm_record &vm = found->second;
    if (vm.state == vm_state::Stopped) {
        return returnBlockedBy(m_options, input, vm);
    }
    if (vm.state != vm_state::Draining) {
        return "";
    }
    std::string waiting;
    for (const drain_confirmation &missing : missingConfirmations(state, input, vm)) {
        waiting += (waiting.empty() ? "confirmation of " : ", ") + missing.entry;
    }
    if (!waiting.empty()) {
        return waiting;
    }
    const target_observation &target = observationOf(input, id);
    if (target.failingSince) {
        return "an answer of the target to a probe";
    }
    return target.inFlight > 0 ? std::to_string(target.inFlight) + " requests in flight on the target" : "the next step";
}

std::string rebootOperation(const vm_record &vm)
{
    return vm.id + '-' + std::to_string(vm.epoch);
}

} // namespace daisypass
