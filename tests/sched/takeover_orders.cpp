// Delivers the holders' orders and the answers: answers can be lost, orders late, and executors terminated before an order arrives.

#include "takeover_world.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

constexpr time_ms orderTimeoutMs = 400;
constexpr time_ms maxRenewalAgeMs = 1'500;
constexpr double lostAnswerProbability = 0.02;
constexpr time_ms minLateOrderDelayMs = 2'000;

template<typename Answer, typename Order>
Answer answerTo(const Order &order, order_status status)
{
    Answer answer;
    answer.task = order.task;
    answer.run = order.run;
    answer.executor = order.executor;
    answer.status = status;
    answer.sentTo = {order.address, order.startedUnixMs};
    return answer;
}

} // namespace

void takeover_world::send(time_ms timeoutMs, const std::function<order_status()> &execute, const std::function<void(order_status)> &onAnswer)
{
    if (drawWithProbability(m_lateness.probability)) {
        at(m_now + between(minLateOrderDelayMs, m_lateness.maxDelayMs), [execute] {
            execute();
        });
        at(m_now + timeoutMs, [onAnswer] {
            onAnswer(order_status::Unknown);
        });
        return;
    }
    const bool lost = drawWithProbability(lostAnswerProbability);
    at(m_now + between(1, 5), [this, execute, onAnswer, lost, timeoutMs] {
        const order_status status = execute();
        const bool noAnswer = lost || status == order_status::Unknown;
        at(m_now + (noAnswer ? timeoutMs : between(1, 5)), [onAnswer, noAnswer, status] {
            onAnswer(noAnswer ? order_status::Unknown : status);
        });
    });
}

std::variant<leased_executor *, order_status> takeover_world::resolveExecutor(const std::string &id, const std::string &address, std::int64_t term)
{
    const auto unresponsive = m_unresponsiveFromTerm.find(id);
    if (unresponsive != m_unresponsiveFromTerm.end() && term >= unresponsive->second) {
        return order_status::Unknown;
    }
    advanceExecutors();
    const auto found = m_executors.find(id);
    if (found != m_executors.end() && found->second.alive()) {
        return &found->second;
    }
    const bool addressReused = std::any_of(m_executors.begin(), m_executors.end(), [&](const std::pair<const std::string, leased_executor> &other) {
        return other.second.alive() && other.second.entry().address == address;
    });
    return addressReused ? order_status::WrongExecutor : order_status::Unreachable;
}

void takeover_world::carryOut(const holder_ptr &owner, const start_run &order)
{
    const std::function<order_status()> execute = [this, order, owner] {
        const std::variant<leased_executor *, order_status> target = resolveExecutor(order.executor, order.address, owner->term);
        if (const order_status *failed = std::get_if<order_status>(&target)) {
            return *failed;
        }
        const resources demand = m_jobs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)].demand;
        const order_status status = std::get<leased_executor *>(target)->start(
            order, fencingToken(owner->term * fencingTokensPerTerm, order.restarts), m_taskMs.at(order.task.text()), demand, m_now);
        trace("start of " + order.task.text() + " run " + std::to_string(order.run) + " on " + order.executor + ": " + std::string(nameOf(status)));
        return status;
    };
    send(orderTimeoutMs, execute, [this, owner, order](order_status status) {
        feed(owner, answerTo<start_answered>(order, status));
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const stop_run &order)
{
    const std::function<order_status()> execute = [this, order, owner] {
        const std::variant<leased_executor *, order_status> target = resolveExecutor(order.executor, order.address, owner->term);
        if (const order_status *failed = std::get_if<order_status>(&target)) {
            return *failed;
        }
        return std::get<leased_executor *>(target)->stop(order, fencingToken(owner->term * fencingTokensPerTerm, order.restarts), m_now);
    };
    send(orderTimeoutMs, execute, [this, owner, order](order_status status) {
        feed(owner, answerTo<stop_answered>(order, status));
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const poll_executor &order)
{
    const time_ms sentAt = m_now;
    at(m_now + between(1, 5), [this, owner, order, sentAt] {
        const std::variant<leased_executor *, order_status> target = resolveExecutor(order.executor, order.address, owner->term);
        if (leased_executor *const *executor = std::get_if<leased_executor *>(&target)) {
            if (!(*executor)->poll(order, fencingToken(owner->term * fencingTokensPerTerm, order.restarts), m_now)) {
                poll_answered answer;
                answer.executor = order.executor;
                answer.sentAt = sentAt;
                answer.sentTo = {order.address, order.startedUnixMs};
                answer.status = order_status::Fenced;
                feed(owner, answer);
                return;
            }
            if (order.acknowledged > 0) {
                trace(order.executor + " deletes ends up to " + std::to_string(order.acknowledged));
            }
        }
        answerPoll(owner, order, sentAt, m_now + order.waitMs);
    });
}

// Checks for ends until `waitUntil`, as a long poll does, and then answers.
void takeover_world::answerPoll(const holder_ptr &owner, const poll_executor &order, time_ms sentAt, time_ms waitUntil)
{
    constexpr time_ms pollEveryMs = 10;
    poll_answered answer;
    answer.executor = order.executor;
    answer.sentAt = sentAt;
    answer.sentTo = {order.address, order.startedUnixMs};
    answer.status = order_status::Ok;
    const std::variant<leased_executor *, order_status> target = resolveExecutor(order.executor, order.address, owner->term);
    if (const order_status *failed = std::get_if<order_status>(&target)) {
        answer.status = *failed;
    } else if (!std::get<leased_executor *>(target)->hasEnds() && m_now < waitUntil) {
        at(m_now + pollEveryMs, [this, owner, order, sentAt, waitUntil] {
            answerPoll(owner, order, sentAt, waitUntil);
        });
        return;
    }
    if (drawWithProbability(lostAnswerProbability)) {
        answer.status = order_status::Unknown;
    }
    if (answer.status == order_status::Ok) {
        const leased_executor &executor = *std::get<leased_executor *>(target);
        executor_list list = executor.list(m_now);
        answer.startedUnixMs = executor.entry().startedUnixMs;
        answer.clockMs = list.clockMs;
        answer.runs = std::move(list.runs);
        answer.ends = std::move(list.ends);
    }
    const time_ms after = answer.status == order_status::Unknown ? orderTimeoutMs : between(1, 5);
    at(m_now + after, [this, owner, answer] {
        feed(owner, answer);
    });
}

void takeover_world::sendToFleet(const holder_ptr &owner, const std::function<fleet_status()> &execute, const std::function<void(fleet_status)> &onAnswer)
{
    if (m_now - owner->renewedAt > maxRenewalAgeMs) {
        at(m_now + 1, [onAnswer] {
            onAnswer(fleet_status::Refused);
        });
        return;
    }
    const bool lost = drawWithProbability(lostAnswerProbability * 5);
    at(m_now + between(1, 10), [this, execute, onAnswer, lost] {
        const fleet_status status = execute();
        at(m_now + (lost ? orderTimeoutMs : between(1, 10)), [onAnswer, status, lost] {
            onAnswer(lost ? fleet_status::Unknown : status);
        });
    });
}

// Moves the VM to the pool; an empty pool means maintenance for the wave.
fleet_status takeover_world::orderVm(const holder_ptr &owner, const std::string &vm, const std::string &pool, std::int64_t wave)
{
    simulated_vm &simulatedVm = m_vms.at(vm);
    if (owner->term < simulatedVm.highestFencingToken) {
        return fleet_status::Fenced;
    }
    simulatedVm.highestFencingToken = owner->term;
    if (pool.empty() ? simulatedVm.maintainedWaves.contains(wave) : simulatedVm.listed.pool == pool) {
        return fleet_status::Ok;
    }
    if (simulatedVm.listed.state != vm_state::Up) {
        return fleet_status::Busy;
    }
    advanceExecutors();
    terminateExecutor(vm);
    simulatedVm.listed.state = pool.empty() ? vm_state::Maintenance : vm_state::Moving;
    if (pool.empty()) {
        simulatedVm.maintainedWaves.insert(wave);
        ++m_outcome.maintenanceOrders;
    } else {
        simulatedVm.listed.pool = pool;
        ++m_outcome.moves;
    }
    at(m_now + (pool.empty() ? m_bounds.maintenanceMs : m_bounds.moveMs), [this, vm] {
        simulated_vm &returnedVm = m_vms.at(vm);
        returnedVm.listed.state = vm_state::Up;
        if (returnedVm.listed.pool != "spare") {
            startExecutor(vm, randomExecutorId());
        }
    });
    return fleet_status::Ok;
}

void takeover_world::carryOut(const holder_ptr &owner, const move_vm &order)
{
    const std::function<fleet_status()> execute = [this, owner, order] {
        return orderVm(owner, order.vm, order.pool, 0);
    };
    sendToFleet(owner, execute, [this, owner, order](fleet_status status) {
        move_answered answer;
        answer.vm = order.vm;
        answer.pool = order.pool;
        answer.status = status;
        answer.occupant = order.occupant;
        feed(owner, answer);
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const maintain_vm &order)
{
    const std::function<fleet_status()> execute = [this, owner, order] {
        return orderVm(owner, order.vm, "", order.wave);
    };
    sendToFleet(owner, execute, [this, owner, order](fleet_status status) {
        maintenance_answered answer;
        answer.vm = order.vm;
        answer.wave = order.wave;
        answer.status = status;
        answer.occupant = order.occupant;
        feed(owner, answer);
    });
}

} // namespace daisypass::sched
