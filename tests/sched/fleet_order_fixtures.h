#pragma once

// Fixtures with a scheduler that has ordered a move or maintenance, for tests of how it handles the answers.

#include "scheduler_fixture.h"

#include <algorithm>
#include <string>
#include <vector>

namespace daisypass::sched {

inline wave_request waveOf(std::int64_t number, const std::string &vm)
{
    wave_request wave;
    wave.wave = number;
    wave.vms = {vm};
    wave.durationMs = 20'000;
    wave.cap = 1;
    return wave;
}

/** A pool with more empty VMs than its reserve, so that some are moved to the spare pool. */
class idle_fixture : public scheduler_fixture
{
public:
    idle_fixture()
    {
        for (const char *name : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
            addExecutor(name);
            m_list.vms.push_back({std::string("vm-") + name, "booking", vm_state::Up, "zone", {"a"}, name});
        }
        taskScheduler.handle(m_list, now);
    }

    move_vm takeMove()
    {
        advance(2'000);
        const std::vector<move_vm> moves = take<move_vm>();
        REQUIRE_FALSE(moves.empty());
        return moves[0];
    }

    std::size_t movesOf(const std::string &vm)
    {
        const std::vector<move_vm> moves = take<move_vm>();
        return static_cast<std::size_t>(std::count_if(moves.begin(), moves.end(), [&vm](const move_vm &move) {
            return move.vm == vm;
        }));
    }

    void answer(const move_vm &move, fleet_status status)
    {
        taskScheduler.handle(move_answered{move.vm, move.pool, status, move.occupant}, now);
    }

    void list(const std::string &vm, vm_state state, const std::string &executor)
    {
        for (vm_entry &entry : m_list.vms) {
            if (entry.vm == vm) {
                entry.state = state;
                entry.executor = executor;
            }
        }
        taskScheduler.handle(m_list, now);
    }

private:
    vms_listed m_list;
};

/** One VM, whose maintenance in wave 1 has been ordered. Without an executor it is off, in the spare pool. */
class maintenance_fixture : public scheduler_fixture
{
public:
    explicit maintenance_fixture(const std::string &executor)
    {
        if (!executor.empty()) {
            addExecutor(executor);
        }
        m_list.vms.push_back({vm, executor.empty() ? "spare" : "booking", vm_state::Up, "zone", {"a"}, executor});
        list();
        requestWave(1);
        first = takeMaintenance();
    }

    void list()
    {
        taskScheduler.handle(m_list, now);
    }

    void requestWave(std::int64_t number)
    {
        taskScheduler.handle(wave_requested{waveOf(number, vm), 0}, now);
        advance(200);
    }

    /** The only maintenance order since the last call. */
    maintain_vm takeMaintenance()
    {
        const std::vector<maintain_vm> orders = take<maintain_vm>();
        REQUIRE(orders.size() == 1);
        return orders[0];
    }

    void answer(const maintain_vm &order, fleet_status status)
    {
        taskScheduler.handle(maintenance_answered{order.vm, order.wave, status, order.occupant}, now);
    }

    const std::string vm = "vm-e1";
    maintain_vm first;

private:
    vms_listed m_list;
};

} // namespace daisypass::sched
