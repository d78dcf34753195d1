#include "kernel/pool_state.h"

#include <algorithm>

namespace daisypass {

namespace {

/** Upper bound of a retry's random delay before doubling. It doubles with each attempt, so that requests refused at the same time are not retried at the same
 * time. */
constexpr duration retryDelay = std::chrono::milliseconds(4);
constexpr duration maxRetryDelay = std::chrono::milliseconds(256);
/** How often the elapsed time of running requests is compared with the bounds of their bands. */
constexpr duration bandUpdatePeriod = std::chrono::milliseconds(10);
/** Weight of one sample in the moving average of the shorter work's demand; the average covers about the last 5 s. */
constexpr double demandWeight = 0.002;
/** An owner reserves slots for peers only once it has had queued requests for this long. The short queues of normal load need no reservations, and reserved
 * slots stay idle until the peers ask for them. */
constexpr duration overloadTime = std::chrono::milliseconds(200);
/** A loan must outlast the expected run time of a request, of which at most this much counts, so that long work can use loans at all. */
constexpr duration maxLoanNeed = std::chrono::milliseconds(500);

// Adds to and removes from a list of requests in O(1): each record stores its position in the list.
void append(std::vector<request_index> &list, request_table &requests, request_index index)
{
    requests[index].position = static_cast<std::uint32_t>(list.size());
    list.push_back(index);
}

void removeFrom(std::vector<request_index> &list, request_table &requests, request_index index)
{
    const std::uint32_t position = requests[index].position;
    list[position] = list.back();
    requests[list[position]].position = position;
    list.pop_back();
}

int totalSlots(const std::vector<slot_grant> &grants)
{
    int total = 0;
    for (const slot_grant &grant : grants) {
        total += grant.count;
    }
    return total;
}

} // namespace

bool fitsInto(const machine_size &needs, const machine_size &size)
{
    return size == machine_size{} || (needs.processors <= size.processors && needs.memoryMib <= size.memoryMib && needs.accelerators <= size.accelerators);
}

duration pool_scheduler::state::jitter(duration limit)
{
    return duration(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random));
}

bool pool_scheduler::state::canRetryElsewhere(const request_record &request) const
{
    for (target_index target = 0; target < ledger.size(); ++target) {
        if (target != request.target && ledger[target].inView && fitsInto(request.needs, ledger[target].size)) {
            return true;
        }
    }
    return false;
}

int pool_scheduler::state::lendable() const
{
    return ledger.lendable(now, [this](target_index index) {
        return !health.ejected(index);
    });
}

target_index pool_scheduler::state::chooseTarget(const request_record &request)
{
    const duration need = std::min(model.mean(request.runClass), maxLoanNeed);
    // Long work prefers owned slots: it outlives a loan and then occupies a slot that the lender expects back.
    const int ownedBonus = request.band == LongBand ? config.slotsPerTarget : 0;
    const bool ownedSlotsReserved = !reserves.empty() && lendable() <= reserves.reserved(now);
    const int choices = ledger.choices();
    target_index best = noTarget;
    int bestScore = 0;
    candidates.clear();
    for (target_index index = 0; index < ledger.size(); ++index) {
        const bool excluded = index == request.target || (ownedSlotsReserved && ledger[index].owned);
        const int free = excluded ? 0 : ledger.available(index, now, need);
        if (free <= 0 || !health.permits(index, ledger[index].inFlight, now) || !fitsInto(request.needs, ledger[index].size)) {
            continue;
        }
        const int score = free + (ledger[index].owned ? ownedBonus : 0);
        if (score > bestScore) {
            best = index;
            bestScore = score;
        }
        if (choices > 0) {
            candidates.push_back(index);
        }
    }
    if (choices == 0 || candidates.empty()) {
        return best;
    }
    best = noTarget;
    for (int choice = 0; choice < choices; ++choice) {
        const target_index sampled = candidates[random() % candidates.size()];
        best = best == noTarget || ledger.knownLoad(sampled) < ledger.knownLoad(best) ? sampled : best;
    }
    return best;
}

void pool_scheduler::state::startAttempt(request_index index, target_index target)
{
    request_record &request = requests[index];
    request.phase = request_phase::Running;
    request.attemptAt = now;
    request.target = target;
    request.attempts = static_cast<std::uint8_t>(std::min(request.attempts + 1, 255));
    append(running, requests, index);
    ++use.running[request.band];
    ledger.start(target, now);
    actions->emplace_back(dispatch{request.number, ledger[target].vm});
}

void pool_scheduler::state::endAttempt(request_index index)
{
    removeFrom(running, requests, index);
    --use.running[requests[index].band];
    ledger.end(requests[index].target);
}

void pool_scheduler::state::dispatchRetries()
{
    for (std::size_t position = 0; position < retrying.size();) {
        const request_index index = retrying[position];
        if (requests[index].deadline <= now) {
            refuseWaiting(index, refusal_reason::DeadlinePassed);
            continue;
        }
        const target_index target = requests[index].attemptAt <= now ? chooseTarget(requests[index]) : noTarget;
        if (target == noTarget) {
            ++position;
            continue;
        }
        removeWaiting(index);
        startAttempt(index, target);
    }
}

void pool_scheduler::state::dispatchQueued()
{
    target_index target = noTarget;
    const std::function<bool(request_index)> fits = [&](request_index index) {
        target = chooseTarget(requests[index]);
        return target != noTarget;
    };
    while (queues.size() > 0 && ledger.anyAvailable(now)) {
        const request_index index = queues.choose(use, fits);
        if (index == noRequest) {
            return;
        }
        if (requests[index].deadline <= now) {
            refuseWaiting(index, refusal_reason::DeadlinePassed);
            continue;
        }
        if (queues.updateBand(index)) {
            continue;
        }
        queues.take(index);
        deadlines.remove(index);
        --queuedByTeam[requests[index].team];
        --queuedCount;
        startAttempt(index, target);
    }
}

void pool_scheduler::state::updateRunningBands()
{
    if (now < nextBandUpdate) {
        return;
    }
    nextBandUpdate = now + bandUpdatePeriod;
    // Requests on borrowed slots count as the lender's demand. Counting them here too would subtract them from the share of long work twice.
    int shorter = ledger.lentOut(now);
    for (request_index index : running) {
        request_record &request = requests[index];
        const run_band band = queues.bandOfElapsed(now - request.attemptAt);
        if (band > request.band) {
            --use.running[request.band];
            ++use.running[band];
            request.band = band;
            model.observeRunning(request.runClass, now - request.attemptAt);
        }
        shorter += request.band != LongBand && (!ledger.lends() || ledger[request.target].owned) ? 1 : 0;
    }
    use.shorterDemand += demandWeight * (shorter - use.shorterDemand);
}

void pool_scheduler::state::recordOutcome(target_index target, attempt_outcome outcome)
{
    if (outcome == attempt_outcome::Refused) {
        ledger.recordRefusal(target, now);
    }
    const std::optional<health_change> change = ledger[target].inView ? health.recordOutcome(target, outcome, now) : std::nullopt;
    if (change == health_change::Ejected) {
        actions->emplace_back(target_ejected{ledger[target].vm, health.coolDown(target)});
    } else if (change == health_change::Restored) {
        actions->emplace_back(target_restored{ledger[target].vm});
    }
}

void pool_scheduler::state::retryOrFinish(request_index index, attempt_outcome outcome)
{
    request_record &request = requests[index];
    const bool certainlyNotRun = outcome == attempt_outcome::Refused || outcome == attempt_outcome::NotSent;
    if (!certainlyNotRun || request.deadline <= now || !canRetryElsewhere(request) || !budget.take()) {
        actions->emplace_back(finish{request.number, outcome});
        requests.erase(index);
        return;
    }
    const int doublings = std::min<int>(request.attempts, 6);
    request.phase = request_phase::Retrying;
    request.attemptAt = now + jitter(std::min(retryDelay * (1 << doublings), maxRetryDelay));
    addWaiting(index);
}

void pool_scheduler::state::lendAndBorrow()
{
    queueNonEmptySince = queuedCount == 0 ? std::nullopt : std::optional<timestamp>(queueNonEmptySince.value_or(now));
    if (pendingSlotRequest) {
        const int free = lendable() - reserves.reservedForOthers(pendingSlotRequest->peer, now);
        const int count = isolated ? 0 : std::clamp(free, 0, std::max(0, pendingSlotRequest->count));
        const std::vector<slot_grant> grants = ledger.lend(pendingSlotRequest->peer, count, now, [this](target_index index) {
            return !health.ejected(index);
        });
        actions->emplace_back(lend_slots{pendingSlotRequest->peer, grants});
        const bool overloaded = !isolated && queueNonEmptySince && now - *queueNonEmptySince >= overloadTime;
        reserves.reserve(pendingSlotRequest->peer, overloaded ? pendingSlotRequest->count - totalSlots(grants) : 0, ledger, now);
        pendingSlotRequest.reset();
    }
    if (isolated || !ledger.lends()) {
        return;
    }
    const int need = queues.startable(use);
    if (need > 0) {
        for (const borrow_slots &borrowRequest : borrower.requestSlots(need, now)) {
            actions->emplace_back(borrowRequest);
        }
    } else {
        for (const std::pair<const std::string, std::vector<slot_grant>> &idle : ledger.releaseIdle(now)) {
            actions->emplace_back(return_slots{idle.first, idle.second});
        }
    }
}

void pool_scheduler::state::addWaiting(request_index index)
{
    request_record &request = requests[index];
    if (request.phase == request_phase::Queued) {
        queues.push(index);
    } else {
        append(retrying, requests, index);
    }
    deadlines.add(index);
    ++queuedByTeam[request.team];
    ++queuedCount;
}

void pool_scheduler::state::removeWaiting(request_index index)
{
    request_record &request = requests[index];
    if (request.phase == request_phase::Queued) {
        queues.remove(index);
    } else {
        removeFrom(retrying, requests, index);
    }
    deadlines.remove(index);
    --queuedByTeam[request.team];
    --queuedCount;
}

} // namespace daisypass
