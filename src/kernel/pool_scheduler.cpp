#include "kernel/pool_scheduler.h"

#include "kernel/deadline_wheel.h"
#include "kernel/policy_registry.h"
#include "kernel/request_table.h"
#include "kernel/retry_budget.h"
#include "kernel/slot_ledger.h"
#include "kernel/team_queue.h"

#include <algorithm>
#include <map>
#include <random>

namespace daisypass {

namespace {

/** Retries wait up to this long, doubled with each attempt, so that requests refused together do not return together. */
constexpr duration RetryDelay = std::chrono::milliseconds(4);
constexpr duration MaxRetryDelay = std::chrono::milliseconds(256);

bool fitsInto(const machine_size &needs, const machine_size &size)
{
    // A size that was not declared accepts everything.
    return size == machine_size{} || (needs.processors <= size.processors && needs.memoryMib <= size.memoryMib && needs.accelerators <= size.accelerators);
}

} // namespace

struct pool_scheduler::state
{
    state(const pool_config &initial, std::uint64_t seed, std::string_view slotPolicy)
        : config(initial)
        , random(seed)
        , ledger(findPolicy<slot_policy>(slotPolicy).value_or(lent_slots{}))
        , queue(requests)
        , deadlines(requests)
    {
        budget.setRatio(config.retryBudget);
    }

    void handle(const request_arrived &event);
    void handle(const request_cancelled &event);
    void handle(const target_answered &event);
    void handle(const view_changed &event);
    void handle(const peer_load &event);
    void handle(const slots_granted &event);
    void handle(const slots_requested &event);
    void handle(const slots_returned &event);
    void handle(const tick &event);

    std::uint32_t teamNumber(const std::string &name);
    void leaveQueue(request_index index);
    void drop(request_index index, refusal_reason reason, duration retryAfter);
    void expireDeadlines();
    void retryOrFinish(request_index index, attempt_outcome outcome);
    void start(request_index index, target_index target);
    void dispatchRetries();
    void dispatchQueued();
    bool runnableAnywhere(const machine_size &needs) const;
    target_index chooseTarget(const request_record &request);
    duration jitter(duration most);

    pool_config config;
    std::string self;
    bool isolated = false;
    timestamp now{};
    std::vector<scheduler_action> *actions = nullptr;

    std::mt19937_64 random;
    request_table requests;
    slot_ledger ledger;
    team_queue queue;
    deadline_wheel deadlines;
    retry_budget budget;
    std::map<std::string, std::uint32_t, std::less<>> teams;
    std::vector<double> weights;
    std::vector<int> queuedByTeam;
    std::vector<request_index> retrying;
    std::vector<request_index> due;
    int queuedCount = 0;
    int runningCount = 0;
};

duration pool_scheduler::state::jitter(duration most)
{
    return duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(random));
}

std::uint32_t pool_scheduler::state::teamNumber(const std::string &name)
{
    const std::uint32_t fresh = static_cast<std::uint32_t>(teams.size());
    const auto placed = teams.try_emplace(name, fresh);
    if (placed.second) {
        weights.push_back(1);
        queuedByTeam.push_back(0);
    }
    return placed.first->second;
}

bool pool_scheduler::state::runnableAnywhere(const machine_size &needs) const
{
    bool anyTarget = false;
    for (target_index index = 0; index < ledger.size(); ++index) {
        if (ledger[index].inView) {
            anyTarget = true;
            if (fitsInto(needs, ledger[index].size)) {
                return true;
            }
        }
    }
    return !anyTarget && fitsInto(needs, config.vm);
}

void pool_scheduler::state::leaveQueue(request_index index)
{
    request_record &request = requests[index];
    deadlines.remove(index);
    --queuedByTeam[request.team];
    --queuedCount;
    if (request.phase == request_phase::Queued) {
        queue.remove(index, request.team);
    } else {
        retrying[request.position] = retrying.back();
        requests[retrying.back()].position = request.position;
        retrying.pop_back();
    }
}

void pool_scheduler::state::drop(request_index index, refusal_reason reason, duration retryAfter)
{
    leaveQueue(index);
    actions->emplace_back(refuse{requests[index].number, reason, retryAfter});
    requests.erase(index);
}

void pool_scheduler::state::handle(const request_arrived &event)
{
    const request_info &info = event.request;
    if (requests.find(info.number) != NoRequest) {
        return;
    }
    const std::uint32_t team = teamNumber(info.team);
    if (!runnableAnywhere(info.needs)) {
        actions->emplace_back(refuse{info.number, refusal_reason::NeverRunnable, {}});
        return;
    }
    if (queuedCount >= config.queueLimit) {
        actions->emplace_back(refuse{info.number, refusal_reason::Overloaded, std::chrono::seconds(1)});
        return;
    }
    if (queuedByTeam[team] >= config.teamQueueLimit) {
        actions->emplace_back(refuse{info.number, refusal_reason::TeamOverLimit, std::chrono::seconds(1)});
        return;
    }
    const request_index index = requests.insert(info.number);
    request_record &request = requests[index];
    request.deadline = info.deadline == timestamp{} ? now + std::chrono::milliseconds(config.defaultDeadlineMs) : info.deadline;
    request.needs = info.needs;
    request.team = team;
    request.phase = request_phase::Queued;
    budget.addRequest();
    queue.push(index, team);
    deadlines.add(index);
    ++queuedByTeam[team];
    ++queuedCount;
}

void pool_scheduler::state::handle(const request_cancelled &event)
{
    const request_index index = requests.find(event.request);
    if (index == NoRequest) {
        return;
    }
    if (requests[index].phase != request_phase::Running) {
        drop(index, refusal_reason::Cancelled, {});
        return;
    }
    ledger.end(requests[index].target);
    --runningCount;
    actions->emplace_back(finish{event.request, attempt_outcome::Unknown});
    requests.erase(index);
}

void pool_scheduler::state::handle(const target_answered &event)
{
    const request_index index = requests.find(event.request);
    if (index == NoRequest || requests[index].phase != request_phase::Running) {
        return;
    }
    ledger.end(requests[index].target);
    --runningCount;
    if (event.outcome == attempt_outcome::Refused) {
        ledger.noteRefusal(requests[index].target, now);
    }
    retryOrFinish(index, event.outcome);
}

void pool_scheduler::state::retryOrFinish(request_index index, attempt_outcome outcome)
{
    request_record &request = requests[index];
    const bool certainlyNotRun = outcome == attempt_outcome::Refused || outcome == attempt_outcome::NotSent;
    bool otherTarget = false;
    for (target_index target = 0; target < ledger.size(); ++target) {
        otherTarget = otherTarget || (target != request.target && ledger[target].inView && fitsInto(request.needs, ledger[target].size));
    }
    if (!certainlyNotRun || !otherTarget || !budget.take()) {
        actions->emplace_back(finish{request.number, outcome});
        requests.erase(index);
        return;
    }
    const int doublings = std::min<int>(request.attempts, 6);
    request.phase = request_phase::Retrying;
    request.since = now + jitter(std::min(RetryDelay * (1 << doublings), MaxRetryDelay));
    request.position = static_cast<std::uint32_t>(retrying.size());
    retrying.push_back(index);
    deadlines.add(index);
    ++queuedByTeam[request.team];
    ++queuedCount;
}

void pool_scheduler::state::handle(const view_changed &event)
{
    config = event.config;
    self = event.self;
    isolated = event.isolated;
    budget.setRatio(config.retryBudget);
    ledger.update(event);
    for (const team_config &team : event.teams) {
        weights[teamNumber(team.name)] = std::max(team.weight, 0.001);
    }
    queue.setWeights(weights);
}

void pool_scheduler::state::handle(const peer_load &event)
{
    ledger.notePeer(event);
}

void pool_scheduler::state::handle(const slots_granted &event)
{
    ledger.borrow(event, now);
}

void pool_scheduler::state::handle(const slots_requested &event)
{
    actions->emplace_back(lend_slots{event.peer, {}});
}

void pool_scheduler::state::handle(const slots_returned &event)
{
    ledger.takeBack(event);
}

void pool_scheduler::state::handle(const tick &event)
{
}

void pool_scheduler::state::expireDeadlines()
{
    due.clear();
    deadlines.collect(now, due);
    for (request_index index : due) {
        drop(index, isolated ? refusal_reason::Isolated : refusal_reason::DeadlinePassed, {});
    }
}

target_index pool_scheduler::state::chooseTarget(const request_record &request)
{
    target_index best = NoTargetIndex;
    int most = 0;
    for (target_index index = 0; index < ledger.size(); ++index) {
        const int free = index == request.target ? 0 : ledger.available(index, now, {});
        if (free > most && fitsInto(request.needs, ledger[index].size)) {
            best = index;
            most = free;
        }
    }
    return best;
}

void pool_scheduler::state::start(request_index index, target_index target)
{
    request_record &request = requests[index];
    request.phase = request_phase::Running;
    request.since = now;
    request.target = target;
    request.attempts = static_cast<std::uint8_t>(std::min(request.attempts + 1, 255));
    ledger.start(target, now);
    ++runningCount;
    actions->emplace_back(dispatch{request.number, ledger[target].vm});
}

void pool_scheduler::state::dispatchRetries()
{
    for (std::size_t position = 0; position < retrying.size();) {
        const request_index index = retrying[position];
        if (requests[index].deadline <= now) {
            drop(index, refusal_reason::DeadlinePassed, {});
            continue;
        }
        const target_index target = requests[index].since <= now ? chooseTarget(requests[index]) : NoTargetIndex;
        if (target == NoTargetIndex) {
            ++position;
            continue;
        }
        leaveQueue(index);
        start(index, target);
    }
}

void pool_scheduler::state::dispatchQueued()
{
    target_index target = NoTargetIndex;
    const std::function<bool(request_index)> fits = [&](request_index index) {
        target = chooseTarget(requests[index]);
        return target != NoTargetIndex;
    };
    while (queue.size() > 0) {
        const request_index index = queue.choose(fits);
        if (index == NoRequest) {
            return;
        }
        if (requests[index].deadline <= now) {
            drop(index, refusal_reason::DeadlinePassed, {});
            continue;
        }
        const std::uint32_t team = requests[index].team;
        queue.take(index, team, 1);
        deadlines.remove(index);
        --queuedByTeam[team];
        --queuedCount;
        start(index, target);
    }
}

pool_scheduler::pool_scheduler(const pool_config &config, std::uint64_t seed, std::string_view slotPolicy)
    : m_state(std::make_unique<state>(config, seed, slotPolicy))
{
}

pool_scheduler::~pool_scheduler() = default;
pool_scheduler::pool_scheduler(pool_scheduler &&) noexcept = default;
pool_scheduler &pool_scheduler::operator=(pool_scheduler &&) noexcept = default;

void pool_scheduler::handle(const scheduler_event &event, timestamp now, std::vector<scheduler_action> &actions)
{
    state &own = *m_state;
    own.now = now;
    own.actions = &actions;
    own.ledger.expire(now);
    own.expireDeadlines();
    const auto handleOne = [&own](const auto &typed) {
        own.handle(typed);
    };
    std::visit(handleOne, event);
    if (!own.isolated) {
        own.dispatchRetries();
        own.dispatchQueued();
    }
    own.actions = nullptr;
}

int pool_scheduler::queued() const
{
    return m_state->queuedCount;
}

int pool_scheduler::running() const
{
    return m_state->runningCount;
}

int pool_scheduler::runningOn(std::string_view vm) const
{
    const target_index index = m_state->ledger.find(vm);
    return index == NoTargetIndex ? 0 : m_state->ledger[index].inFlight;
}

int pool_scheduler::freeSlots() const
{
    return m_state->isolated ? 0 : m_state->ledger.lendable(m_state->now);
}

} // namespace daisypass
