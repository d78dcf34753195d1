#include "takeover_model.h"

#include "leased_executor.h"
#include "sched/scheduler.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace daisypass::sched {
namespace {

constexpr int vmCount = 10;
constexpr time_ms trafficMs = 25'000;
constexpr time_ms dayMs = 120'000;
constexpr time_ms tickEveryMs = 20;
constexpr time_ms listVmsEveryMs = 900;
constexpr time_ms entryLapsesMs = 4'500;
constexpr time_ms orderTimeoutMs = 400;
constexpr time_ms fastStoreMs = 4;
constexpr time_ms slowStoreMs = 200;
constexpr time_ms renewalFreshMs = 1'500;
constexpr double lostAnswerShare = 0.02;
constexpr double lateShare = 0.01;
constexpr double longTaskShare = 0.15;
// Of the takeovers: the former holder loses the store, or an executor answers only the former holder.
constexpr double cutOffShare = 0.3;
constexpr time_ms longestGoingOnMs = 15'000;
const resources vmCapacity{8'000, 65'536, 0};

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
        : brain(limits, times)
        , term(heldTerm)
        , renewedAt(times.takenAt)
    {
    }

    scheduler brain;
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

std::string takeover_world::freshId()
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
            beginLife(name, freshId());
        }
        if (i % 2 == 0) {
            m_wave.vms.push_back(name);
        }
    }
    submitJobs();
    planTroubles();
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
            step.estimateMs = chance(longTaskShare) ? between(5'000, 20'000) : between(100, 1'500);
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

void takeover_world::planTroubles()
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
        const bool silent = chance(0.5);
        at(when, [this, vm, silent] {
            silent ? fallSilent(vm, 0) : crash(vm);
        });
    }
}

void takeover_world::putEntry(const std::string &id)
{
    m_changes.push_back({id, m_executors.at(id).entry(), static_cast<std::int64_t>(m_changes.size()) + 1});
    m_registry[id] = m_changes.back();
}

void takeover_world::removeEntry(const std::string &id, std::int64_t born)
{
    const auto entry = m_registry.find(id);
    if (entry == m_registry.end() || entry->second.entry->bornUnixMs != born) {
        return;
    }
    m_registry.erase(entry);
    m_changes.push_back({id, std::nullopt, static_cast<std::int64_t>(m_changes.size()) + 1});
}

void takeover_world::beginLife(const std::string &vm, const std::string &id)
{
    modelled_vm &place = m_vms.at(vm);
    place.listed.state = vm_state::Up;
    place.listed.executor = id;
    executor_entry entry;
    entry.id = id;
    entry.pool = place.listed.pool;
    entry.address = place.address;
    entry.capacity = vmCapacity;
    entry.vm = vm;
    entry.bornUnixMs = 1'000'000 + m_now;
    const double clockRate = chance(0.3) ? 0.98 : 1.0;
    trace("life of " + id + " on " + vm + " begins");
    m_executors.erase(id);
    m_executors.emplace(id, leased_executor(entry, m_now, clockRate, m_ledger));
    at(m_now + between(1, 300), [this, id, born = entry.bornUnixMs] {
        const leased_executor &life = m_executors.at(id);
        if (life.alive() && life.entry().bornUnixMs == born) {
            putEntry(id);
        }
    });
}

void takeover_world::endLife(const std::string &vm)
{
    const std::string id = std::exchange(m_vms.at(vm).listed.executor, "");
    if (id.empty()) {
        return;
    }
    trace("life of " + id + " on " + vm + " ends");
    leased_executor &life = m_executors.at(id);
    m_overfull += life.wasOverfull() ? 1 : 0;
    life.end(m_now);
    at(m_now + entryLapsesMs, [this, id, born = life.entry().bornUnixMs] {
        removeEntry(id, born);
    });
}

void takeover_world::crash(const std::string &vm)
{
    const std::string id = m_vms.at(vm).listed.executor;
    if (m_vms.at(vm).listed.state != vm_state::Up || id.empty()) {
        return;
    }
    advanceExecutors();
    endLife(vm);
    m_vms.at(vm).listed.state = vm_state::Down;
    const std::string next = chance(0.4) ? id : freshId();
    at(m_now + between(300, 3'000), [this, vm, next] {
        beginLife(vm, next);
    });
}

// With a first term, holders of earlier terms still reach the executor.
void takeover_world::fallSilent(const std::string &vm, std::int64_t firstTerm)
{
    const std::string id = m_vms.at(vm).listed.executor;
    if (id.empty()) {
        return;
    }
    trace(id + " falls silent for terms from " + std::to_string(firstTerm));
    m_silentSince[id] = firstTerm;
    at(m_now + between(300, 15'000), [this, id] {
        trace(id + " can be reached again");
        m_silentSince.erase(id);
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

// The former holder goes on for a while; at times it is cut off from the store, and alone reaches some executors.
void takeover_world::takeOver()
{
    term_times times{m_now, m_now};
    if (m_holder) {
        ++m_outcome.takeovers;
        times.earlierGrantsUntil = m_holder->renewedAt + grantsWithoutRenewalMs;
        m_holder->withoutStore = chance(cutOffShare);
        const time_ms goesOnMs = m_holder->withoutStore ? longestGoingOnMs : between(0, 1'200);
        at(m_now + goesOnMs, [former = m_holder] {
            former->stopped = true;
        });
    }
    m_holder = std::make_shared<holder>(m_bounds, times, ++m_term);
    if (chance(cutOffShare)) {
        fallSilent("vm-" + std::to_string(between(0, vmCount - 1)), m_term);
    }
    at(m_now + storeMs(), [this, owner = m_holder] {
        recover(owner);
    });
}

void takeover_world::recover(const holder_ptr &owner)
{
    const auto orders = m_rows.find(fleetOrdersRowKey);
    if (orders != m_rows.end()) {
        owner->brain.restoreFleetOrders(orders->second, true, m_now);
    }
    const auto waves = m_rows.find(wavesRowKey);
    if (waves != m_rows.end()) {
        owner->brain.restoreWave(waves->second);
    }
    owner->brain.handle(configuration_changed{m_configuration}, m_now);
    owner->brain.handle(wave_requested{m_wave, m_now}, m_now);
    for (const std::pair<const std::string, job_spec> &job : m_jobs) {
        const auto row = m_rows.find(job.first);
        owner->brain.restore(job.second, row == m_rows.end() ? std::string() : row->second, m_now);
    }
    owner->recovered = true;
    const std::map<std::string, registry_change> snapshot = m_registry;
    owner->nextChange = m_changes.size();
    at(m_now + storeMs(), [this, owner, snapshot] {
        for (const std::pair<const std::string, registry_change> &row : snapshot) {
            feed(owner, executor_seen{*row.second.entry, row.second.version});
        }
        owner->followsRegistry = true;
        followRegistry(owner);
    });
    listVms(owner);
    tickHolder(owner);
}

void takeover_world::followRegistry(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    const std::size_t known = m_changes.size();
    at(m_now + storeMs(), [this, owner, known] {
        for (; owner->nextChange < known; ++owner->nextChange) {
            const registry_change &change = m_changes[owner->nextChange];
            if (change.entry) {
                feed(owner, executor_seen{*change.entry, change.version});
            } else {
                feed(owner, executor_gone{change.id, change.version});
            }
        }
        followRegistry(owner);
    });
}

void takeover_world::listVms(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    at(m_now + between(1, 20), [this, owner, askedAt = m_now] {
        vms_listed list;
        list.askedAt = askedAt;
        for (const std::pair<const std::string, modelled_vm> &vm : m_vms) {
            list.vms.push_back(vm.second.listed);
        }
        at(m_now + between(1, 20), [this, owner, list] {
            feed(owner, list);
            at(m_now + listVmsEveryMs, [this, owner] {
                listVms(owner);
            });
        });
    });
}

void takeover_world::tickHolder(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    if (owner->term == m_term) {
        owner->renewedAt = m_now;
        feed(owner, lease_renewed{m_now});
    }
    feed(owner, tick{m_now});
    at(m_now + tickEveryMs, [this, owner] {
        tickHolder(owner);
    });
}

void takeover_world::feed(const holder_ptr &owner, const event &what)
{
    if (!owner || owner->stopped || !owner->recovered) {
        return;
    }
    owner->brain.handle(what, m_now);
    pump(owner);
}

void takeover_world::pump(const holder_ptr &owner)
{
    owner->brain.plan(m_now);
    for (const action &next : owner->brain.takeActions()) {
        std::visit(
            [&](const auto &one) {
                carryOut(owner, one);
            },
            next);
    }
    if (owner->committing) {
        return;
    }
    if (std::optional<commit_batch> batch = owner->brain.takeBatch(m_now)) {
        owner->committing = true;
        commit(owner, std::move(*batch));
    }
}

void takeover_world::commit(const holder_ptr &owner, commit_batch batch)
{
    if (owner->withoutStore) {
        return;
    }
    at(m_now + storeMs(), [this, owner, batch = std::move(batch)] {
        const bool accepted = owner->term == m_term;
        if (accepted) {
            for (const std::pair<std::string, std::string> &row : batch.rows) {
                m_rows[row.first] = row.second;
            }
        }
        at(m_now + storeMs(), [this, owner, accepted, number = batch.number] {
            owner->committing = false;
            owner->stopped = owner->stopped || !accepted;
            feed(owner, batch_committed{number});
        });
    });
}

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
        start_answered answer;
        answer.task = order.task;
        answer.run = order.run;
        answer.executor = order.executor;
        answer.status = status;
        answer.sentTo = {order.address, order.bornUnixMs};
        feed(owner, answer);
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
        stop_answered answer;
        answer.task = order.task;
        answer.run = order.run;
        answer.executor = order.executor;
        answer.status = status;
        answer.sentTo = {order.address, order.bornUnixMs};
        feed(owner, answer);
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const hold_executor &order)
{
    const time_ms sentAt = m_now;
    at(m_now + between(1, 5), [this, owner, order, sentAt] {
        const std::variant<leased_executor *, order_status> target = reach(order.executor, order.address, owner->term);
        if (leased_executor *const *executor = std::get_if<leased_executor *>(&target)) {
            if (!(*executor)->hold(order, owner->term, m_now)) {
                hold_answered answer;
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
void takeover_world::answerHold(const holder_ptr &owner, const hold_executor &order, time_ms sentAt, time_ms waitUntil)
{
    constexpr time_ms lookEveryMs = 10;
    hold_answered answer;
    answer.executor = order.executor;
    answer.sentAt = sentAt;
    answer.sentTo = {order.address, order.bornUnixMs};
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
        answer.bornUnixMs = executor.entry().bornUnixMs;
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
    place.listed.state = pool.empty() ? vm_state::Upkeep : vm_state::Moving;
    if (pool.empty()) {
        place.maintained.insert(wave);
        ++m_outcome.upkeeps;
    } else {
        place.listed.pool = pool;
        ++m_outcome.moves;
    }
    at(m_now + (pool.empty() ? m_bounds.upkeepMs : m_bounds.moveMs), [this, vm] {
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

void takeover_world::carryOut(const holder_ptr &owner, const upkeep_vm &order)
{
    const std::function<fleet_status()> act = [this, owner, order] {
        return orderVm(owner, order.vm, "", order.wave);
    };
    sendToFleet(owner, act, [this, owner, order](fleet_status status) {
        upkeep_answered answer;
        answer.vm = order.vm;
        answer.wave = order.wave;
        answer.status = status;
        answer.occupant = order.occupant;
        feed(owner, answer);
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const step_down &)
{
    owner->stopped = true;
}

void takeover_world::carryOut(const holder_ptr &owner, const decision_note &note)
{
    std::string line = "term " + std::to_string(owner->term) + ' ' + note.event;
    for (const std::pair<std::string, std::string> &field : note.fields) {
        line += ' ' + field.first + '=' + field.second;
    }
    trace(line);
}

takeover_outcome takeover_world::run()
{
    build();
    while (!m_events.empty() && m_events.top().at <= dayMs) {
        const timed next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.call();
    }
    for (const std::pair<const std::string, job_spec> &job : m_jobs) {
        const auto row = m_rows.find(job.first);
        m_outcome.unfinished += row == m_rows.end() || phaseIn(row->second) != "completed" ? 1 : 0;
    }
    for (const std::pair<const std::string, leased_executor> &life : m_executors) {
        m_overfull += life.second.alive() && life.second.wasOverfull() ? 1 : 0;
    }
    m_outcome.overfullExecutors = m_overfull;
    m_outcome.doubleStarts = m_ledger.doubleStarts();
    m_outcome.starts = m_ledger.starts();
    return std::move(m_outcome);
}

} // namespace

takeover_outcome playTakeovers(std::uint64_t seed)
{
    return takeover_world(seed).run();
}

} // namespace daisypass::sched
