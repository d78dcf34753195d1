// Orders on their way: lost, late, or to an executor that is gone.

#include "takeover_world.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

constexpr time_ms orderTimeoutMs = 400;
constexpr time_ms renewalFreshMs = 1'500;
constexpr double lostAnswerShare = 0.02;
constexpr double lateShare = 0.01;

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

void takeover_world::send(time_ms timeoutMs, const std::function<order_status()> &act, const std::function<void(order_status)> &done)
{
    if (chance(lateShare)) {
        at(m_now + between(2'000, 6'000), [act] {
            act();
        });
        at(m_now + timeoutMs, [done] {
            done(order_status::Unknown);
        });
        return;
    }
    const bool lost = chance(lostAnswerShare);
    at(m_now + between(1, 5), [this, act, done, lost, timeoutMs] {
        const order_status status = act();
        const bool silent = lost || status == order_status::Unknown;
        at(m_now + (silent ? timeoutMs : between(1, 5)), [done, silent, status] {
            done(silent ? order_status::Unknown : status);
        });
    });
}

std::variant<leased_executor *, order_status> takeover_world::reach(const std::string &id, const std::string &address, std::int64_t term)
{
    const auto silent = m_silentSince.find(id);
    if (silent != m_silentSince.end() && term >= silent->second) {
        return order_status::Unknown;
    }
    advanceExecutors();
    const auto found = m_executors.find(id);
    if (found != m_executors.end() && found->second.alive()) {
        return &found->second;
    }
    const bool reused = std::any_of(m_executors.begin(), m_executors.end(), [&](const std::pair<const std::string, leased_executor> &other) {
        return other.second.alive() && other.second.entry().address == address;
    });
    return reused ? order_status::WrongExecutor : order_status::Unreachable;
}

void takeover_world::carryOut(const holder_ptr &owner, const start_run &order)
{
    const std::function<order_status()> act = [this, order, owner] {
        const std::variant<leased_executor *, order_status> target = reach(order.executor, order.address, owner->term);
        if (const order_status *failed = std::get_if<order_status>(&target)) {
            return *failed;
        }
        const resources demand = m_jobs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)].demand;
        const order_status status = std::get<leased_executor *>(target)->start(order, owner->term, m_taskMs.at(order.task.text()), demand, m_now);
        trace("start of " + order.task.text() + " run " + std::to_string(order.run) + " on " + order.executor + ": " + std::string(nameOf(status)));
        return status;
    };
    send(orderTimeoutMs, act, [this, owner, order](order_status status) {
        feed(owner, answerTo<start_answered>(order, status));
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const stop_run &order)
{
    const std::function<order_status()> act = [this, order, owner] {
        const std::variant<leased_executor *, order_status> target = reach(order.executor, order.address, owner->term);
        if (const order_status *failed = std::get_if<order_status>(&target)) {
            return *failed;
        }
        return std::get<leased_executor *>(target)->stop(order, owner->term, m_now);
    };
    send(orderTimeoutMs, act, [this, owner, order](order_status status) {
        feed(owner, answerTo<stop_answered>(order, status));
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const poll_executor &order)
{
    const time_ms sentAt = m_now;
    at(m_now + between(1, 5), [this, owner, order, sentAt] {
        const std::variant<leased_executor *, order_status> target = reach(order.executor, order.address, owner->term);
        if (leased_executor *const *executor = std::get_if<leased_executor *>(&target)) {
            if (!(*executor)->hold(order, owner->term, m_now)) {
                poll_answered answer;
                answer.executor = order.executor;
                answer.sentAt = sentAt;
                answer.status = order_status::Fenced;
                feed(owner, answer);
                return;
            }
            if (order.acknowledged > 0) {
                trace(order.executor + " forgets ends up to " + std::to_string(order.acknowledged));
            }
        }
        answerHold(owner, order, sentAt, m_now + order.waitMs);
    });
}

// Looks for an end until the wait is over, as a long poll does.
void takeover_world::answerHold(const holder_ptr &owner, const poll_executor &order, time_ms sentAt, time_ms waitUntil)
{
    constexpr time_ms lookEveryMs = 10;
    poll_answered answer;
    answer.executor = order.executor;
    answer.sentAt = sentAt;
    answer.sentTo = {order.address, order.startedUnixMs};
    answer.status = order_status::Ok;
    const std::variant<leased_executor *, order_status> target = reach(order.executor, order.address, owner->term);
    if (const order_status *failed = std::get_if<order_status>(&target)) {
        answer.status = *failed;
    } else if (!std::get<leased_executor *>(target)->hasEnds() && m_now < waitUntil) {
        at(m_now + lookEveryMs, [this, owner, order, sentAt, waitUntil] {
            answerHold(owner, order, sentAt, waitUntil);
        });
        return;
    }
    if (chance(lostAnswerShare)) {
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

void takeover_world::sendToFleet(const holder_ptr &owner, const std::function<fleet_status()> &act, const std::function<void(fleet_status)> &done)
{
    if (m_now - owner->renewedAt > renewalFreshMs) {
        at(m_now + 1, [done] {
            done(fleet_status::Refused);
        });
        return;
    }
    const bool lost = chance(lostAnswerShare * 5);
    at(m_now + between(1, 10), [this, act, done, lost] {
        const fleet_status status = act();
        at(m_now + (lost ? orderTimeoutMs : between(1, 10)), [done, status, lost] {
            done(lost ? fleet_status::Unknown : status);
        });
    });
}

// Moves the VM to the pool, or without one does its upkeep.
fleet_status takeover_world::orderVm(const holder_ptr &owner, const std::string &vm, const std::string &pool, std::int64_t wave)
{
    modelled_vm &place = m_vms.at(vm);
    if (owner->term < place.fence) {
        return fleet_status::Fenced;
    }
    place.fence = owner->term;
    if (pool.empty() ? place.maintained.contains(wave) : place.listed.pool == pool) {
        return fleet_status::Ok;
    }
    if (place.listed.state != vm_state::Up) {
        return fleet_status::Busy;
    }
    advanceExecutors();
    endLife(vm);
    place.listed.state = pool.empty() ? vm_state::Maintenance : vm_state::Moving;
    if (pool.empty()) {
        place.maintained.insert(wave);
        ++m_outcome.upkeeps;
    } else {
        place.listed.pool = pool;
        ++m_outcome.moves;
    }
    at(m_now + (pool.empty() ? m_bounds.maintenanceMs : m_bounds.moveMs), [this, vm] {
        modelled_vm &back = m_vms.at(vm);
        back.listed.state = vm_state::Up;
        if (back.listed.pool != "spare") {
            beginLife(vm, freshId());
        }
    });
    return fleet_status::Ok;
}

void takeover_world::carryOut(const holder_ptr &owner, const move_vm &order)
{
    const std::function<fleet_status()> act = [this, owner, order] {
        return orderVm(owner, order.vm, order.pool, 0);
    };
    sendToFleet(owner, act, [this, owner, order](fleet_status status) {
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
    const std::function<fleet_status()> act = [this, owner, order] {
        return orderVm(owner, order.vm, "", order.wave);
    };
    sendToFleet(owner, act, [this, owner, order](fleet_status status) {
        maintenance_answered answer;
        answer.vm = order.vm;
        answer.wave = order.wave;
        answer.status = status;
        answer.occupant = order.occupant;
        feed(owner, answer);
    });
}

} // namespace daisypass::sched
