#include "kernel/pool_scheduler.h"

#include "base/saturating_cast.h"
#include "kernel/policy_registry.h"
#include "kernel/pool_state.h"

#include <algorithm>

namespace daisypass {

namespace {

/** Bounds of the Retry-After time. */
constexpr duration minRetryAfter = std::chrono::milliseconds(100);
constexpr duration maxRetryAfter = std::chrono::seconds(30);

} // namespace

pool_scheduler::state::state(const pool_config &initial, std::uint64_t seed, std::string_view slotPolicy)
    : config(initial)
    , random(seed)
    , ledger(findPolicy<slot_policy>(slotPolicy).value_or(lent_slots{}))
    , queues(requests, model, findPolicy<scheduling_policy>(initial.scheduling).value_or(band_order{}))
    , deadlines(requests)
{
    budget.setRatio(config.retryBudget);
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

bool pool_scheduler::state::fitsAnyTarget(const machine_size &needs) const
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

// Randomised between 0.5 and 1.5 times the wait, so that callers refused at the same time do not retry at the same time.
duration pool_scheduler::state::retryAfter(duration wait)
{
    const duration base = std::clamp(wait, minRetryAfter, maxRetryAfter);
    return std::min(base / 2 + jitter(base), maxRetryAfter);
}

void pool_scheduler::state::updateSlotUse()
{
    use.usable = ledger.usable(now);
    use.entries = ledger.lends() ? ownerCount : 1;
    use.longShareBase = std::max(ledger.owned(now), ledger.lends() ? ledger.poolCapacity(now) / ownerCount : 0);
    use.longShare = config.longShare;
}

std::optional<refuse> pool_scheduler::state::checkAdmission(const request_info &info, std::uint32_t team, std::uint32_t runClass)
{
    if (!fitsAnyTarget(info.needs)) {
        return refuse{info.number, refusal_reason::NeverRunnable, {}};
    }
    if (info.deadline <= now) {
        return refuse{info.number, refusal_reason::DeadlinePassed, {}};
    }
    if (queuedCount >= config.queueLimit) {
        return refuse{info.number, refusal_reason::Overloaded, retryAfter(queues.estimatedWait(runClass, team, use))};
    }
    if (queuedByTeam[team] >= config.teamQueueLimit) {
        return refuse{info.number, refusal_reason::TeamOverLimit, retryAfter(queues.estimatedWait(runClass, team, use))};
    }
    return checkOverload(info, team, runClass);
}

std::optional<refuse> pool_scheduler::state::checkOverload(const request_info &info, std::uint32_t team, std::uint32_t runClass)
{
    if (isolated || queues.size() == 0) {
        return std::nullopt;
    }
    // Includes slots that peers may lend. Otherwise an entry that owns few slots would refuse work although its peers have free slots.
    slot_use expected = use;
    expected.usable = std::max(use.usable, ledger.poolCapacity(now) / ownerCount) + borrower.reportedFreeSlots();
    const duration wait = queues.estimatedWait(runClass, team, expected);
    if (wait <= info.deadline - now) {
        return std::nullopt;
    }
    return refuse{info.number, refusal_reason::Overloaded, retryAfter(wait)};
}

void pool_scheduler::state::refuseWaiting(request_index index, refusal_reason reason)
{
    const request_record request = requests[index];
    removeWaiting(index);
    const bool retryMayHelp = reason != refusal_reason::Cancelled;
    const duration wait = retryMayHelp ? retryAfter(queues.estimatedWait(request.runClass, request.team, use)) : duration{};
    actions->emplace_back(refuse{request.number, reason, wait});
    requests.erase(index);
}

void pool_scheduler::state::handle(const request_arrived &event)
{
    request_info info = event.request;
    if (requests.find(info.number) != noRequest) {
        return;
    }
    if (info.deadline == timestamp{}) {
        info.deadline = now + std::chrono::milliseconds(config.defaultDeadlineMs);
    }
    const std::uint32_t team = teamNumber(info.team);
    const std::uint32_t runClass = model.classNumber(info.team, info.requestClass);
    const std::optional<refuse> refusal = checkAdmission(info, team, runClass);
    if (refusal) {
        actions->emplace_back(*refusal);
        return;
    }
    const request_index index = requests.insert(info.number);
    request_record &request = requests[index];
    request.deadline = info.deadline;
    request.needs = info.needs;
    request.team = team;
    request.runClass = runClass;
    request.work = std::chrono::duration<float>(model.mean(runClass)).count();
    request.phase = request_phase::Queued;
    budget.addRequest();
    addWaiting(index);
}

void pool_scheduler::state::handle(const request_cancelled &event)
{
    const request_index index = requests.find(event.request);
    if (index == noRequest) {
        return;
    }
    if (requests[index].phase != request_phase::Running) {
        refuseWaiting(index, refusal_reason::Cancelled);
        return;
    }
    endAttempt(index);
    actions->emplace_back(finish{event.request, attempt_outcome::Unknown});
    requests.erase(index);
}

void pool_scheduler::state::handle(const target_answered &event)
{
    const request_index index = requests.find(event.request);
    if (index == noRequest || requests[index].phase != request_phase::Running) {
        return;
    }
    endAttempt(index);
    if (event.outcome == attempt_outcome::Completed) {
        model.observe(requests[index].runClass, event.runTime);
    }
    recordOutcome(requests[index].target, event.outcome);
    retryOrFinish(index, event.outcome);
}

void pool_scheduler::state::handle(const view_changed &event)
{
    if (event.config.scheduling != config.scheduling) {
        queues.setPolicy(findPolicy<scheduling_policy>(event.config.scheduling).value_or(band_order{}));
    }
    config = event.config;
    self = event.self;
    isolated = event.isolated;
    budget.setRatio(config.retryBudget);
    ledger.update(event);
    std::vector<std::string> owners;
    for (const target_view &target : event.targets) {
        if (target.owner != self && std::find(owners.begin(), owners.end(), target.owner) == owners.end()) {
            owners.push_back(target.owner);
        }
    }
    borrower.setOwners(owners);
    ownerCount = std::max({1, static_cast<int>(owners.size()) + 1, static_cast<int>(event.entries.size())});
    reserves.setView(self, ownerCount);
    health.setLimit(saturatingCast<int>(config.maxEjectedShare * static_cast<double>(event.targets.size())));
    for (target_index index = 0; index < ledger.size(); ++index) {
        if (!ledger[index].inView) {
            health.reset(index);
        }
    }
    for (const team_config &team : event.teams) {
        weights[teamNumber(team.name)] = std::max(team.weight, 0.001);
    }
    queues.setWeights(weights);
}

void pool_scheduler::state::handle(const peer_load &event)
{
    ledger.recordPeerLoad(event, now);
    borrower.recordPeerLoad(event);
    reserves.addPeer(event.peer);
}

void pool_scheduler::state::handle(const slots_granted &event)
{
    borrower.recordAnswer(event, now);
    ledger.borrow(event, now);
}

void pool_scheduler::state::handle(const slots_requested &event)
{
    // lendAndBorrow() answers after the entry's own queue has been served, so that the owner's demand comes first.
    pendingSlotRequest = event;
    reserves.addPeer(event.peer);
}

void pool_scheduler::state::handle(const slots_returned &event)
{
    ledger.reclaim(event);
}

void pool_scheduler::state::handle(const tick &event)
{
}

void pool_scheduler::state::expireDeadlines()
{
    dueRequests.clear();
    deadlines.collect(now, dueRequests);
    const refusal_reason reason = ledger.poolCapacity(now) == 0 ? refusal_reason::NoTarget : refusal_reason::DeadlinePassed;
    for (request_index index : dueRequests) {
        refuseWaiting(index, isolated ? refusal_reason::Isolated : reason);
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
    state &impl = *m_state;
    impl.now = now;
    impl.actions = &actions;
    impl.ledger.expire(now);
    impl.updateSlotUse();
    impl.expireDeadlines();
    impl.updateRunningBands();
    const auto handleOne = [&impl](const auto &typed) {
        impl.handle(typed);
    };
    std::visit(handleOne, event);
    impl.updateSlotUse();
    if (!impl.isolated) {
        impl.dispatchRetries();
        impl.dispatchQueued();
    }
    impl.lendAndBorrow();
    impl.actions = nullptr;
}

int pool_scheduler::queued() const
{
    return m_state->queuedCount;
}

int pool_scheduler::running() const
{
    return static_cast<int>(m_state->running.size());
}

int pool_scheduler::runningOn(std::string_view vm) const
{
    const target_index index = m_state->ledger.find(vm);
    return index == noTarget ? 0 : m_state->ledger[index].inFlight;
}

std::vector<target_load> pool_scheduler::reportedLoad() const
{
    const state &impl = *m_state;
    std::map<target_index, int> counts;
    for (request_index index : impl.running) {
        const request_record &request = impl.requests[index];
        const bool outlivesLoan = request.band == LongBand && !impl.ledger[request.target].owned;
        counts[request.target] += impl.ledger.lends() && !outlivesLoan ? 0 : 1;
    }
    std::vector<target_load> reported;
    for (const std::pair<const target_index, int> &each : counts) {
        if (each.second > 0) {
            reported.push_back({impl.ledger[each.first].vm, each.second});
        }
    }
    return reported;
}

int pool_scheduler::freeSlots() const
{
    return m_state->isolated ? 0 : m_state->lendable();
}

} // namespace daisypass
