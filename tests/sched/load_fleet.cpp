#include "load_fleet.h"

#include <set>
#include <utility>

namespace daisypass::sched {
namespace {

constexpr time_ms moveMs = 1'500;

} // namespace

load_fleet::load_fleet(const load_settings &settings, load_executors &executors, load_timeline &timeline, load_outcome &outcome, event_sink sink)
    : m_settings(settings)
    , m_executors(executors)
    , m_timeline(timeline)
    , m_outcome(outcome)
    , m_sink(std::move(sink))
{
    m_executors.setRestart([this](const std::string &vm, const std::string &executor) {
        m_timeline.at(m_timeline.now() + m_settings.restartMs, [this, vm, executor] {
            const vm_entry &entry = m_vms.at(vm);
            if (entry.executor == executor) {
                startVm(vm, entry.pool);
            }
        });
    });
}

void load_fleet::startVms()
{
    int vm = 0;
    std::set<std::string> pools;
    for (const load_queue &queue : m_settings.queues) {
        const bool shared = !pools.insert(queue.pool).second;
        for (int i = 0; !shared && i < m_settings.vmsPerPool; ++i) {
            startVm("vm" + std::to_string(vm++), queue.pool);
        }
    }
    for (int i = 0; i < m_settings.spareVms; ++i) {
        const std::string name = "vm" + std::to_string(vm++);
        m_vms[name] = {name, sparePool, vm_state::Up, "zone", {"a"}, ""};
    }
}

void load_fleet::startVm(const std::string &vm, const std::string &pool)
{
    m_vms[vm] = {vm, pool, vm_state::Up, "zone", {"a"}, m_executors.startExecutor(vm, pool)};
}

void load_fleet::sendVmList()
{
    vms_listed list;
    for (const std::pair<const std::string, vm_entry> &vm : m_vms) {
        list.vms.push_back(vm.second);
    }
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, list = std::move(list)] {
        m_sink(list);
    });
}

void load_fleet::accumulatePoolTime(time_ms elapsedMs)
{
    for (const std::pair<const std::string, vm_entry> &vm : m_vms) {
        if (vm.second.pool != sparePool) {
            m_outcome.vmSecondsInPools += static_cast<double>(elapsedMs) / 1'000.0;
        }
    }
}

void load_fleet::carryOut(const move_vm &order)
{
    m_timeline.at(m_timeline.now() + loadNetworkMs, [this, order] {
        vm_entry &vm = m_vms.at(order.vm);
        ++m_outcome.moves;
        m_executors.terminateExecutor(vm.executor);
        vm.state = vm_state::Moving;
        vm.pool = order.pool;
        vm.executor.clear();
        m_sink(move_answered{order.vm, order.pool, fleet_status::Ok, order.occupant});
        m_timeline.at(m_timeline.now() + moveMs, [this, order] {
            m_vms.at(order.vm).state = vm_state::Up;
            if (order.pool != sparePool) {
                startVm(order.vm, order.pool);
            }
        });
    });
}

} // namespace daisypass::sched
