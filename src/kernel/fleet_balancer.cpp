#include "kernel/fleet_balancer.h"

#include <memory>
#include <optional>

namespace daisypass {
namespace {

struct balancing_memory
{
    measure_weights weights;
    std::optional<pool_balancer> balancer;
};

bool sameWeights(const measure_weights &a, const measure_weights &b)
{
    return a.buffer == b.buffer && a.rollout == b.rollout && a.moves == b.moves && a.waiting == b.waiting;
}

bool leadsTo(const vm_record &vm, std::string_view pool)
{
    const bool underWay = vm.state == vm_state::Draining || vm.state == vm_state::Stopped;
    const bool moving = underWay && vm.cause == drain_cause::Move && vm.detail == pool && vm.pool != pool;
    // A VM that has changed its pool is stopped until its reboot is over.
    const bool arrived = vm.state == vm_state::Stopped && vm.pool == pool;
    return moving || arrived;
}

} // namespace

std::vector<pool_sample> poolSamples(const fleet_state &state, const controller_input &input)
{
    std::vector<pool_sample> samples;
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
                sample.offeredSlots += load->second.running + load->second.queued;
            }
        }
        for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
            sample.arrivingVms += leadsTo(vm.second, pool.first) ? 1 : 0;
        }
        samples.push_back(std::move(sample));
    }
    return samples;
}

fleet_controller::balancer makeFleetBalancer()
{
    const std::shared_ptr<balancing_memory> memory = std::make_shared<balancing_memory>();
    return [memory](const fleet_state &state, const controller_input &input) {
        const measure_weights &weights = state.config().weights;
        if (!memory->balancer || !sameWeights(memory->weights, weights)) {
            memory->weights = weights;
            memory->balancer.emplace(weights);
        }
        std::vector<pool_move> moves;
        for (const move_proposal &proposal : memory->balancer->step(poolSamples(state, input), input.now)) {
            moves.push_back({proposal.from, proposal.to});
        }
        return moves;
    };
}

} // namespace daisypass
