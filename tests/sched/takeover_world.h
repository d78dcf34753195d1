#pragma once

// The world of the model of takeovers: VMs, executors, registry, store and holders, on virtual time.
//
// Three sources: takeover_model.cpp builds the day and its troubles, takeover_holders.cpp plays the holders, and takeover_orders.cpp
// carries their orders.

#include "leased_executor.h"
#include "sched/scheduler.h"
#include "takeover_model.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace daisypass::sched {

struct modelled_vm
{
    vm_entry listed;
    std::string address;
    std::int64_t fence = 0;
    std::set<std::int64_t> maintained;
};

/** One holder of the scheduling lease. */
struct holder
{
    holder(bounds limits, const term_times &times, std::int64_t heldTerm)
        : taskScheduler(limits, times)
        , term(heldTerm)
        , renewedAt(times.takenAt)
    {
    }

    scheduler taskScheduler;
    std::int64_t term;
    bool recovered = false;
    bool stopped = false;
    bool committing = false;
    /** Its calls to the store get no answers any more. */
    bool withoutStore = false;
    time_ms renewedAt;
    /** Registry changes from this one on haven't been read. */
    std::size_t nextChange = 0;
    bool followsRegistry = false;
};

class takeover_world
{
public:
    explicit takeover_world(std::uint64_t seed)
        : m_random(seed)
    {
    }

    takeover_outcome run();

private:
    using holder_ptr = std::shared_ptr<holder>;

    static constexpr int vmCount = 10;
    static constexpr time_ms fastStoreMs = 4;
    static constexpr time_ms slowStoreMs = 200;

    struct timed
    {
        time_ms at;
        std::uint64_t order;
        std::function<void()> call;

        bool operator>(const timed &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(time_ms when, std::function<void()> call)
    {
        m_events.push({when, ++m_order, std::move(call)});
    }
    time_ms between(time_ms least, time_ms most)
    {
        return std::uniform_int_distribution<time_ms>(least, most)(m_random);
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
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
    void planTroubles();
    void submitJobs();
    std::string freshId();
    void beginLife(const std::string &vm, const std::string &id);
    void endLife(const std::string &vm);
    void crash(const std::string &vm);
    void fallSilent(const std::string &vm, std::int64_t firstTerm);
    void putEntry(const std::string &id);
    void removeEntry(const std::string &id, std::int64_t born);

    void takeOver();
    void recover(const holder_ptr &owner);
    void followRegistry(const holder_ptr &owner);
    void listVms(const holder_ptr &owner);
    void tickHolder(const holder_ptr &owner);
    void pump(const holder_ptr &owner);
    void commit(const holder_ptr &owner, commit_batch batch);
    void feed(const holder_ptr &owner, const event &what);

    void carryOut(const holder_ptr &owner, const start_run &order);
    void carryOut(const holder_ptr &owner, const stop_run &order);
    void carryOut(const holder_ptr &owner, const hold_executor &order);
    void carryOut(const holder_ptr &owner, const move_vm &order);
    void carryOut(const holder_ptr &owner, const upkeep_vm &order);
    void carryOut(const holder_ptr &owner, const step_down &order);
    void carryOut(const holder_ptr &owner, const decision_note &note);
    void carryOut(const holder_ptr &, const pace_run &)
    {
    }
    void carryOut(const holder_ptr &, const ask_advice &)
    {
    }
    void carryOut(const holder_ptr &, const drop_jobs &)
    {
    }
    void carryOut(const holder_ptr &, const publish_wave &)
    {
    }

    /** Sends an order: `act` runs when it arrives, `done` gets its status. */
    void send(time_ms timeoutMs, const std::function<order_status()> &act, const std::function<void(order_status)> &done);
    /** The executor that an order reaches, or why none does. */
    std::variant<leased_executor *, order_status> reach(const std::string &id, const std::string &address, std::int64_t term);
    void answerHold(const holder_ptr &owner, const hold_executor &order, time_ms sentAt, time_ms waitUntil);
    fleet_status orderVm(const holder_ptr &owner, const std::string &vm, const std::string &pool, std::int64_t wave);
    void sendToFleet(const holder_ptr &owner, const std::function<fleet_status()> &act, const std::function<void(fleet_status)> &done);
    void advanceExecutors();

    std::mt19937_64 m_random;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    // Zero stands for "never" in the scheduler's records.
    time_ms m_now = 1;
    bool m_storeSlow = false;
    bounds m_bounds;
    run_ledger m_ledger;
    takeover_outcome m_outcome;

    std::map<std::string, modelled_vm> m_vms;
    /** Lives by id; the latest of an id that started again. */
    std::map<std::string, leased_executor> m_executors;
    /** Executors that answer no holder of this term or a later one. */
    std::map<std::string, std::int64_t> m_silentSince;
    int m_overfull = 0;
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
