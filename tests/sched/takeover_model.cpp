// Sets up the simulated day: VMs and their executors, the registry, the jobs, and the faults that are injected.

#include "takeover_world.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

constexpr time_ms trafficMs = 25'000;
constexpr time_ms dayMs = 120'000;
constexpr time_ms entryExpiryMs = 4'500;
constexpr double longTaskProbability = 0.15;
const resources vmCapacity{8'000, 65'536, 0};

} // namespace

std::string takeover_world::randomExecutorId()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string id = "i-";
    for (int i = 0; i < 8; ++i) {
        id += digits[static_cast<std::size_t>(between(0, 15))];
    }
    return id;
}

void takeover_world::build()
{
    m_configuration.version = 1;
    for (const char *pool : {"booking", "grinder"}) {
        queue_config queue;
        queue.key = {"host", std::string("/") + pool + "/"};
        queue.pool = pool;
        queue.maxAttempts = 3;
        queue.stretch = 1.6;
        queue.targetDurationMs = 600;
        m_configuration.queues.push_back(queue);
        m_configuration.pools.push_back({pool, "/health", false, false});
    }
    m_configuration.pools.push_back({"spare", "/health", false, true});
    m_wave.wave = 1;
    m_wave.durationMs = 26'000;
    m_wave.cap = 2;
    for (int i = 0; i < vmCount; ++i) {
        const std::string name = "vm-" + std::to_string(i);
        const std::string pool = i < 4 ? "booking" : i < 8 ? "grinder" : "spare";
        m_vms[name].listed = {name, pool, vm_state::Up, "zone", {"a"}, ""};
        m_vms[name].address = "10.0.0." + std::to_string(i) + ":80";
        if (pool != "spare") {
            startExecutor(name, randomExecutorId());
        }
        if (i % 2 == 0) {
            m_wave.vms.push_back(name);
        }
    }
    submitJobs();
    scheduleFaults();
}

void takeover_world::submitJobs()
{
    for (time_ms when = 500; when < trafficMs; when += between(60, 500)) {
        const bool booking = when / 4'000 % 2 == 0;
        job_spec job;
        job.id = "j" + std::to_string(m_outcome.jobs++);
        job.pool = booking ? "booking" : "grinder";
        job.queue = {"host", '/' + job.pool + '/'};
        job.acceptedUnixMs = when;
        const int steps = static_cast<int>(between(1, 2));
        for (int number = 0; number < steps; ++number) {
            step_spec step;
            step.taskCount = static_cast<int>(between(1, 4));
            step.demand = {between(500, 3'000), 1'000, 0};
            // Some runs outlast a lease.
            step.estimateMs = drawWithProbability(longTaskProbability) ? between(5'000, 20'000) : between(100, 1'500);
            if (number > 0) {
                step.after = {number - 1};
            }
            for (int index = 0; index < step.taskCount; ++index) {
                m_taskMs[task_id{job.id, 0, number, index}.text()] = step.estimateMs * between(80, 130) / 100;
            }
            job.steps.push_back(step);
        }
        at(when, [this, job] {
            m_jobs[job.id] = job;
            feed(m_holder, job_submitted{job});
        });
    }
}

void takeover_world::scheduleFaults()
{
    takeOver();
    for (time_ms when = between(1'000, 4'000); when < trafficMs; when += between(1'500, 12'000)) {
        at(when, [this] {
            takeOver();
        });
    }
    for (time_ms when = between(500, 4'000); when < trafficMs; when += between(2'000, 6'000)) {
        at(when, [this] {
            m_storeSlow = true;
        });
        at(when + between(500, 3'000), [this] {
            m_storeSlow = false;
        });
    }
    for (time_ms when = between(1'000, 8'000); when < trafficMs; when += between(2'000, 8'000)) {
        const std::string vm = "vm-" + std::to_string(between(0, vmCount - 1));
        const bool unresponsive = drawWithProbability(0.5);
        at(when, [this, vm, unresponsive] {
            unresponsive ? becomeUnresponsive(vm, 0) : crash(vm);
        });
    }
}

void takeover_world::publishEntry(const std::string &id)
{
    m_changes.push_back({id, m_executors.at(id).entry(), static_cast<std::int64_t>(m_changes.size()) + 1});
    m_registry[id] = m_changes.back();
}

void takeover_world::removeEntry(const std::string &id, std::int64_t startedUnixMs)
{
    const auto entry = m_registry.find(id);
    if (entry == m_registry.end() || entry->second.entry->startedUnixMs != startedUnixMs) {
        return;
    }
    m_registry.erase(entry);
    m_changes.push_back({id, std::nullopt, static_cast<std::int64_t>(m_changes.size()) + 1});
}

void takeover_world::startExecutor(const std::string &vm, const std::string &id)
{
    simulated_vm &simulatedVm = m_vms.at(vm);
    simulatedVm.listed.state = vm_state::Up;
    simulatedVm.listed.executor = id;
    executor_entry entry;
    entry.id = id;
    entry.pool = simulatedVm.listed.pool;
    entry.address = simulatedVm.address;
    entry.capacity = vmCapacity;
    entry.vm = vm;
    entry.startedUnixMs = 1'000'000 + m_now;
    const double clockRate = drawWithProbability(0.3) ? 0.98 : 1.0;
    trace("life of " + id + " on " + vm + " begins");
    m_executors.erase(id);
    m_executors.emplace(id, leased_executor(entry, m_now, clockRate, m_ledger));
    at(m_now + between(1, 300), [this, id, startedUnixMs = entry.startedUnixMs] {
        const leased_executor &executor = m_executors.at(id);
        if (executor.alive() && executor.entry().startedUnixMs == startedUnixMs) {
            publishEntry(id);
        }
    });
}

void takeover_world::terminateExecutor(const std::string &vm)
{
    const std::string id = std::exchange(m_vms.at(vm).listed.executor, "");
    if (id.empty()) {
        return;
    }
    trace("life of " + id + " on " + vm + " ends");
    leased_executor &executor = m_executors.at(id);
    m_overloadedExecutors += executor.exceededCapacity() ? 1 : 0;
    executor.terminate(m_now);
    at(m_now + entryExpiryMs, [this, id, startedUnixMs = executor.entry().startedUnixMs] {
        removeEntry(id, startedUnixMs);
    });
}

void takeover_world::crash(const std::string &vm)
{
    const std::string id = m_vms.at(vm).listed.executor;
    if (m_vms.at(vm).listed.state != vm_state::Up || id.empty()) {
        return;
    }
    advanceExecutors();
    terminateExecutor(vm);
    m_vms.at(vm).listed.state = vm_state::Down;
    const std::string next = drawWithProbability(0.4) ? id : randomExecutorId();
    at(m_now + between(300, 3'000), [this, vm, next] {
        startExecutor(vm, next);
    });
}

// The executor stops answering holders from the term `firstTerm` on; holders of lower terms still reach it.
void takeover_world::becomeUnresponsive(const std::string &vm, std::int64_t firstTerm)
{
    const std::string id = m_vms.at(vm).listed.executor;
    if (id.empty()) {
        return;
    }
    trace(id + " is unreachable for terms from " + std::to_string(firstTerm));
    m_unresponsiveFromTerm[id] = firstTerm;
    at(m_now + between(300, 15'000), [this, id] {
        trace(id + " can be reached again");
        m_unresponsiveFromTerm.erase(id);
    });
}

void takeover_world::advanceExecutors()
{
    for (std::pair<const std::string, leased_executor> &item : m_executors) {
        if (item.second.alive()) {
            item.second.advance(m_now);
        }
    }
}

takeover_outcome takeover_world::run()
{
    build();
    while (!m_events.empty() && m_events.top().at <= dayMs) {
        const timed_call next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.call();
    }
    for (const std::pair<const std::string, job_spec> &job : m_jobs) {
        const auto row = m_rows.find(job.first);
        m_outcome.unfinished += row == m_rows.end() || phaseIn(row->second) != "completed" ? 1 : 0;
    }
    for (const std::pair<const std::string, leased_executor> &executor : m_executors) {
        m_overloadedExecutors += executor.second.alive() && executor.second.exceededCapacity() ? 1 : 0;
    }
    m_outcome.overloadedExecutors = m_overloadedExecutors;
    m_outcome.duplicateStarts = m_ledger.duplicateStarts();
    m_outcome.starts = m_ledger.starts();
    return std::move(m_outcome);
}

takeover_outcome simulateTakeovers(std::uint64_t seed, const late_orders &lateness)
{
    return takeover_world(seed, lateness).run();
}

} // namespace daisypass::sched
