#include "entry/pool_set.h"

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// Converts a wall-clock time of the fleet log to the steady clock, which the scheduler uses.
timestamp toSteady(timestamp wall)
{
    return steadyNow() - std::max(duration::zero(), wallNow() - wall);
}

struct pool_targets
{
    std::vector<target_view> views;
    std::map<std::string, std::string, std::less<>> urls;
};

std::map<std::string, pool_targets, std::less<>> targetsByPool(const fleet_state &state, const std::vector<std::string> &liveEntries)
{
    std::map<std::string, pool_targets, std::less<>> byPool;
    const configuration &config = state.config();
    for (const std::pair<const std::string, vm_record> &entry : state.vms()) {
        const vm_record &vm = entry.second;
        const auto pool = config.pools.find(vm.pool);
        if (vm.state != vm_state::Serving || pool == config.pools.end()) {
            continue;
        }
        pool_targets &targets = byPool[vm.pool];
        targets.views.push_back({vm.id, std::string(rendezvousOwner(liveEntries, vm.id)), pool->second.vm, toSteady(vm.changedAt)});
        targets.urls.emplace(vm.id, "http://" + toString(vm.address) + pool->second.targetPath);
    }
    return byPool;
}

} // namespace

pool_set::pool_set(std::string self, std::uint64_t seed, http_client &client, metrics_registry &metrics, slot_exchange exchange)
    : m_self(std::move(self))
    , m_seed(seed)
    , m_client(client)
    , m_metrics(metrics)
    , m_exchange(std::move(exchange))
    , m_state(std::make_shared<const fleet_state>())
    , m_liveEntries{m_self}
{
}

void pool_set::applyState(std::shared_ptr<const fleet_state> state)
{
    const std::lock_guard<std::mutex> rebuilding(m_rebuildLock);
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (state->revision() < m_state->revision()) {
            return;
        }
        m_state = std::move(state);
    }
    rebuild();
}

void pool_set::applyLiveEntries(std::vector<std::string> liveEntries)
{
    const std::lock_guard<std::mutex> rebuilding(m_rebuildLock);
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (liveEntries.empty()) {
            liveEntries.push_back(m_self);
        }
        if (liveEntries == m_liveEntries) {
            return;
        }
        m_liveEntries = std::move(liveEntries);
    }
    rebuild();
}

void pool_set::rebuild()
{
    std::shared_ptr<const fleet_state> state;
    std::vector<std::string> liveEntries;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        state = m_state;
        liveEntries = m_liveEntries;
    }
    std::map<std::string, pool_targets, std::less<>> targets = targetsByPool(*state, liveEntries);
    std::vector<team_config> teams;
    for (const std::pair<const std::string, team_config> &team : state->config().teams) {
        teams.push_back(team.second);
    }
    for (const std::pair<const std::string, pool_config> &pool : state->config().pools) {
        pool_targets &found = targets[pool.first];
        view_changed view{m_self, std::move(found.views), pool.second, teams, false};
        findOrCreateShard(pool.second)->updateView(std::move(view), std::move(found.urls), state->revision());
    }
    shard_map shards;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        shards = m_shards;
    }
    for (const std::pair<const std::string, std::shared_ptr<pool_shard>> &shard : shards) {
        if (!state->config().pools.contains(shard.first)) {
            pool_config removed;
            removed.name = shard.first;
            shard.second->updateView(view_changed{m_self, {}, removed, teams, false}, {}, state->revision());
        }
    }
}

std::shared_ptr<pool_shard> pool_set::findOrCreateShard(const pool_config &config)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::shared_ptr<pool_shard> &shard = m_shards[config.name];
    if (!shard) {
        const std::uint64_t seed = m_seed ^ std::hash<std::string>{}(config.name);
        shard = std::make_shared<pool_shard>(config, seed, m_client, m_metrics, hooksFor(config.name));
    }
    return shard;
}

pool_hooks pool_set::hooksFor(const std::string &pool)
{
    pool_hooks hooks;
    hooks.mayDispatch = m_exchange.mayDispatch;
    if (m_exchange.borrow) {
        hooks.borrow = [this, pool](const borrow_slots &request) {
            m_exchange.borrow(request.peer, pool, request.count, [this, pool, peer = request.peer](std::vector<slot_grant> grants) {
                const pool_lookup found = find(pool);
                if (found.shard) {
                    found.shard->slotsGranted(peer, std::move(grants));
                }
            });
        };
    }
    if (m_exchange.giveBack) {
        hooks.giveBack = [this, pool](const return_slots &returned) {
            m_exchange.giveBack(returned.peer, pool, returned.grants);
        };
    }
    return hooks;
}

void pool_set::tick()
{
    for (const std::shared_ptr<pool_shard> &shard : all()) {
        shard->tick();
    }
}

pool_lookup pool_set::find(std::string_view pool) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_shards.find(pool);
    const bool configured = found != m_shards.end() && m_state->config().pools.contains(pool);
    return {configured ? found->second : nullptr, m_state};
}

std::vector<std::shared_ptr<pool_shard>> pool_set::all() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::shared_ptr<pool_shard>> shards;
    shards.reserve(m_shards.size());
    for (const std::pair<const std::string, std::shared_ptr<pool_shard>> &shard : m_shards) {
        shards.push_back(shard.second);
    }
    return shards;
}

std::shared_ptr<const fleet_state> pool_set::state() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_state;
}

cancel_result pool_set::cancel(request_number number)
{
    for (const std::shared_ptr<pool_shard> &shard : all()) {
        const cancel_result result = shard->cancel(number);
        if (result != cancel_result::NotFound) {
            return result;
        }
    }
    return cancel_result::NotFound;
}

void pool_set::refuseQueued(refusal_reason reason)
{
    for (const std::shared_ptr<pool_shard> &shard : all()) {
        shard->refuseQueued(reason);
    }
}

std::size_t pool_set::requestCount() const
{
    std::size_t sum = 0;
    for (const std::shared_ptr<pool_shard> &shard : all()) {
        sum += shard->requestCount();
    }
    return sum;
}

std::vector<slot_grant> pool_set::lendSlots(const std::string &peer, std::string_view pool, int count)
{
    const pool_lookup found = find(pool);
    return found.shard ? found.shard->lendSlots(peer, count) : std::vector<slot_grant>();
}

void pool_set::slotsReturned(const std::string &peer, std::string_view pool, std::vector<slot_grant> grants)
{
    const pool_lookup found = find(pool);
    if (found.shard) {
        found.shard->slotsReturned(peer, std::move(grants));
    }
}

void pool_set::peerLoads(const std::string &peer, const std::vector<peer_pool_load> &loads)
{
    for (const peer_pool_load &load : loads) {
        const pool_lookup found = find(load.pool);
        if (found.shard) {
            found.shard->peerLoad(peer, load.queued, load.freeSlots);
        }
    }
}

std::vector<peer_pool_load> pool_set::loads() const
{
    shard_map shards;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        shards = m_shards;
    }
    std::vector<peer_pool_load> loads;
    for (const std::pair<const std::string, std::shared_ptr<pool_shard>> &shard : shards) {
        const pool_shard_load figures = shard.second->load();
        peer_pool_load load;
        load.pool = shard.first;
        load.queued = figures.queued;
        load.freeSlots = figures.freeSlots;
        load.running = figures.running;
        load.unreachable = shard.second->unreachable();
        loads.push_back(std::move(load));
    }
    return loads;
}

int pool_set::inFlightOn(std::string_view vm, revision_number revision) const
{
    if (state()->revision() < revision) {
        return 1;
    }
    int sum = 0;
    for (const std::shared_ptr<pool_shard> &shard : all()) {
        sum += shard->inFlightOn(vm, revision);
    }
    return sum;
}

} // namespace daisypass
