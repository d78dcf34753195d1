#include "kernel/fleet_balancer.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace daisypass {
namespace {

struct balancer_state
{
    measure_weights weights;
    std::optional<pool_balancer> balancer;
};

bool sameWeights(const measure_weights &a, const measure_weights &b)
{
    return a.buffer == b.buffer && a.rollout == b.rollout && a.moves == b.moves && a.waiting == b.waiting;
}

// The pool that the VM will serve next, or empty. A VM that was moved to its new pool stays stopped until its reboot is complete.
std::string_view destinationOf(const vm_record &vm)
{
    const bool drainingOrStopped = vm.state == vm_state::Draining || vm.state == vm_state::Stopped;
    if (drainingOrStopped && vm.cause == drain_cause::Move && !vm.detail.empty()) {
        return vm.detail;
    }
    return vm.state == vm_state::Stopped ? std::string_view(vm.pool) : std::string_view();
}

// Counts for all pools in a single pass over the VMs, because this runs at every step of the controller.
std::map<std::string_view, int> countArriving(const fleet_state &state)
{
    std::map<std::string_view, int> arriving;
    for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
        const std::string_view pool = destinationOf(vm.second);
        if (!pool.empty()) {
            ++arriving[pool];
        }
    }
    return arriving;
}

} // namespace

std::vector<pool_sample> poolSamples(const fleet_state &state, const controller_input &input)
{
    std::vector<pool_sample> samples;
    const std::map<std::string_view, int> arriving = countArriving(state);
    for (const std::pair<const std::string, pool_config> &pool : state.config().pools) {
        pool_sample sample;
        sample.pool = pool.first;
        sample.servingVms = state.serving(pool.first);
        sample.slotsPerVm = pool.second.slotsPerTarget;
        sample.minAvailable = pool.second.minAvailable;
        sample.largestDomain = state.largestLoss(pool.first);
        sample.balancing = pool.second.balancing;
        for (const std::pair<const std::string, entry_observation> &entry : input.entries) {
            const auto load = entry.second.loads.find(pool.first);
            if (load != entry.second.loads.end()) {
                sample.offeredLoad += load->second.running + load->second.queued;
            }
        }
        const auto found = arriving.find(pool.first);
        sample.arrivingVms = found == arriving.end() ? 0 : found->second;
        samples.push_back(std::move(sample));
    }
    return samples;
}

fleet_controller::balancer makeFleetBalancer()
{
    const std::shared_ptr<balancer_state> balancerState = std::make_shared<balancer_state>();
    return [balancerState](const fleet_state &state, const controller_input &input) {
        const measure_weights &weights = state.config().weights;
        if (!balancerState->balancer || !sameWeights(balancerState->weights, weights)) {
            balancerState->weights = weights;
            balancerState->balancer.emplace(weights);
        }
        std::vector<pool_move> moves;
        for (const move_proposal &proposal : balancerState->balancer->step(poolSamples(state, input), input.now)) {
            moves.push_back({proposal.from, proposal.to});
        }
        return moves;
    };
}

} // namespace daisypass
