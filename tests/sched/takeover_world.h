#pragma once

// The simulation behind takeover_model.h: VMs, executors, registry, store and lease holders on virtual time.
//
//     takeover_outcome outcome = takeover_world(seed).run();
//
// takeover_model.cpp sets up the day and injects its faults, takeover_holders.cpp runs the lease holders, and takeover_orders.cpp
// delivers their orders and the answers.

#include "leased_executor.h"
#include "sched/scheduler.h"
#include "takeover_model.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace daisypass::sched {

/** A VM with what the fleet service knows of it. */
struct simulated_vm
{
    vm_entry listed;
    std::string address;
    std::int64_t highestFencingToken = 0;
    std::set<std::int64_t> maintainedWaves;
};

/** A holder of the leadership lease, present or former, with its scheduler. */
struct holder
{
    holder(bounds limits, const term_times &times, std::int64_t heldTerm)
        : taskScheduler(limits, times)
        , term(heldTerm)
        , renewedAt(times.acquiredAt)
    {
    }

    scheduler taskScheduler;
    std::int64_t term;
    bool recovered = false;
    bool stopped = false;
    bool committing = false;
    /** The holder's calls to the store get no answer any more. */
    bool storeUnreachable = false;
    time_ms renewedAt;
    /** Index of the first registry change that the holder hasn't read. */
    std::size_t nextChange = 0;
    bool followsRegistry = false;
};

class takeover_world
{
public:
    explicit takeover_world(std::uint64_t seed, const late_orders &lateness = {})
        : m_random(seed)
        , m_lateness(lateness)
    {
    }

    takeover_outcome run();

private:
    using holder_ptr = std::shared_ptr<holder>;

    static constexpr int vmCount = 10;
    static constexpr time_ms fastStoreMs = 4;
    static constexpr time_ms slowStoreMs = 200;

    struct timed_call
    {
        time_ms at;
        std::uint64_t order;
        std::function<void()> call;

        bool operator>(const timed_call &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(time_ms when, std::function<void()> call)
    {
        m_events.push({when, ++m_order, std::move(call)});
    }
    time_ms between(time_ms lowest, time_ms highest)
    {
        return std::uniform_int_distribution<time_ms>(lowest, highest)(m_random);
    }
    bool drawWithProbability(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    time_ms storeMs()
    {
        return between(1, m_storeSlow ? slowStoreMs : fastStoreMs);
    }

    void trace(const std::string &line)
    {
        m_outcome.trace.push_back(std::to_string(m_now) + ' ' + line);
    }

    void build();
    void scheduleFaults();
    void submitJobs();
    std::string randomExecutorId();
    void startExecutor(const std::string &vm, const std::string &id);
    void terminateExecutor(const std::string &vm);
    void crash(const std::string &vm);
    void becomeUnresponsive(const std::string &vm, std::int64_t firstTerm);
    void publishEntry(const std::string &id);
    void removeEntry(const std::string &id, std::int64_t startedUnixMs);

    void takeOver();
    void recover(const holder_ptr &owner);
    void followRegistry(const holder_ptr &owner);
    void listVms(const holder_ptr &owner);
    void tickHolder(const holder_ptr &owner);
    void planAndCommit(const holder_ptr &owner);
    void commit(const holder_ptr &owner, commit_batch batch);
    void feed(const holder_ptr &owner, const event &what);

    void carryOut(const holder_ptr &owner, const start_run &order);
    void carryOut(const holder_ptr &owner, const stop_run &order);
    void carryOut(const holder_ptr &owner, const poll_executor &order);
    void carryOut(const holder_ptr &owner, const move_vm &order);
    void carryOut(const holder_ptr &owner, const maintain_vm &order);
    void carryOut(const holder_ptr &owner, const step_down &order);
    void carryOut(const holder_ptr &owner, const log_event &note);
    void carryOut(const holder_ptr &, const throttle_run &)
    {
    }
    void carryOut(const holder_ptr &, const request_advice &)
    {
    }
    void carryOut(const holder_ptr &, const delete_submissions &)
    {
    }
    void carryOut(const holder_ptr &, const publish_wave &)
    {
    }

    /** Sends an order: `execute` runs when the order arrives; `onAnswer` gets its status, or Unknown after the timeout. */
    void send(time_ms timeoutMs, const std::function<order_status()> &execute, const std::function<void(order_status)> &onAnswer);
    /** Returns the executor that an order reaches, or the status of an order that reaches none. */
    std::variant<leased_executor *, order_status> resolveExecutor(const std::string &id, const std::string &address, std::int64_t term);
    void answerPoll(const holder_ptr &owner, const poll_executor &order, time_ms sentAt, time_ms waitUntil);
    fleet_status orderVm(const holder_ptr &owner, const std::string &vm, const std::string &pool, std::int64_t wave);
    void sendToFleet(const holder_ptr &owner, const std::function<fleet_status()> &execute, const std::function<void(fleet_status)> &onAnswer);
    void advanceExecutors();

    std::mt19937_64 m_random;
    late_orders m_lateness;
    std::priority_queue<timed_call, std::vector<timed_call>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    // Starts at 1, because the scheduler's records use 0 for "never".
    time_ms m_now = 1;
    bool m_storeSlow = false;
    bounds m_bounds;
    run_ledger m_ledger;
    takeover_outcome m_outcome;

    std::map<std::string, simulated_vm> m_vms;
    /** Executors by id. A restart under the same id replaces the former incarnation. */
    std::map<std::string, leased_executor> m_executors;
    /** Unresponsive executors, with the lowest term whose holder they don't answer. */
    std::map<std::string, std::int64_t> m_unresponsiveFromTerm;
    int m_overloadedExecutors = 0;
    struct registry_change
    {
        std::string id;
        std::optional<executor_entry> entry;
        std::int64_t version = 0;
    };
    std::map<std::string, registry_change> m_registry;
    std::vector<registry_change> m_changes;
    std::map<std::string, job_spec> m_jobs;
    std::map<std::string, time_ms> m_taskMs;
    std::map<std::string, std::string> m_rows;
    wave_request m_wave;
    configuration_view m_configuration;
    std::int64_t m_term = 0;
    holder_ptr m_holder;
};

} // namespace daisypass::sched
