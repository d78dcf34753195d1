#include "entry/pool_shard.h"

#include "base/log.h"
#include "entry/request_metrics.h"
#include "entry/target_call.h"

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// The scheduler requires a tick every 10 ms while requests are queued and every 100 ms otherwise.
constexpr duration idleTickInterval{100'000};
// Limits memory: callers choose class names freely, and each label set allocates three histograms that are never freed. Further classes count as "other".
constexpr std::size_t maxLabelSets = 256;
constexpr std::string_view otherClass = "other";
// A single failed connection may only mean that the target is restarting.
constexpr int unreachableThreshold = 2;
constexpr duration defaultRetryAfter{1'000'000};

double seconds(duration span)
{
    constexpr double perSecond = 1e6;
    return static_cast<double>(span.count()) / perSecond;
}

} // namespace

struct pool_shard::tracked_request
{
    std::shared_ptr<active_request> request;
    std::shared_ptr<request_metrics> metrics;
    /** The VM of the attempt in progress; empty while queued. */
    std::string vm;
    timestamp firstDispatchedAt{};
    timestamp dispatchedAt{};
    /** Duration of the last attempt that ended; zero before. */
    duration lastRunTime{};
    http_response response;
};

struct pool_shard::pending_call
{
    std::shared_ptr<active_request> request;
    std::string vm;
    std::string url;
    bool isFirst = false;
};

// Consequences of scheduling decisions, to be carried out without the lock.
struct pool_shard::side_effects
{
    struct end
    {
        tracked_request tracked;
        request_outcome outcome;
    };

    std::vector<pending_call> calls;
    std::vector<end> ends;
    std::vector<borrow_slots> borrows;
    std::vector<return_slots> returns;
    std::vector<target_ejected> ejected;
    std::vector<target_restored> restored;
    std::vector<slot_grant> lent;
};

pool_shard::pool_shard(const pool_config &config, std::uint64_t seed, http_client &client, metrics_registry &metrics, pool_hooks hooks)
    : m_pool(config.name)
    , m_client(client)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_scheduler(config, seed)
{
    m_view.config = config;
}

pool_shard::~pool_shard() = default;

// Calls `decision` under the lock, then carries out its side effects without it. These may produce further events, which are handled the same way.
void pool_shard::decide(const std::function<void(side_effects &, timestamp)> &decision)
{
    side_effects effects;
    std::vector<scheduler_event> next;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        const timestamp now = steadyNow();
        updateIsolation(effects, now);
        decision(effects, now);
        m_hasQueued = m_scheduler.queued() > 0;
    }
    perform(effects, next);
    while (!next.empty()) {
        side_effects more;
        std::vector<scheduler_event> events = std::exchange(next, {});
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            const timestamp now = steadyNow();
            updateIsolation(more, now);
            for (const scheduler_event &event : events) {
                handleEvent(event, now, more);
            }
            m_hasQueued = m_scheduler.queued() > 0;
        }
        perform(more, next);
    }
}

void pool_shard::handleEvent(const scheduler_event &event, timestamp now, side_effects &effects)
{
    m_actions.clear();
    m_scheduler.handle(event, now, m_actions);
    for (scheduler_action &action : m_actions) {
        collect(action, now, effects);
    }
}

// Runs before each decision, so that a process that was frozen makes no decision based on a stale view.
void pool_shard::updateIsolation(side_effects &effects, timestamp now)
{
    const bool isolated = !mayDispatch();
    if (isolated != m_view.isolated) {
        m_view.isolated = isolated;
        handleEvent(m_view, now, effects);
    }
}

bool pool_shard::mayDispatch() const
{
    return !m_hooks.mayDispatch || m_hooks.mayDispatch();
}

void pool_shard::submit(std::shared_ptr<active_request> request)
{
    decide([&](side_effects &effects, timestamp now) {
        const request_info &info = request->info;
        tracked_request tracked;
        tracked.metrics = metricsOf(info);
        tracked.request = request;
        m_tracked.emplace(info.number, std::move(tracked));
        handleEvent(request_arrived{info}, now, effects);
    });
}

cancel_result pool_shard::cancel(request_number number)
{
    cancel_result result = cancel_result::NotFound;
    decide([&](side_effects &effects, timestamp now) {
        result = endIfQueued(number, refusal_reason::Cancelled, now, effects);
    });
    return result;
}

void pool_shard::refuseQueued(refusal_reason reason)
{
    decide([&](side_effects &effects, timestamp now) {
        std::vector<request_number> numbers;
        for (const std::pair<const request_number, tracked_request> &tracked : m_tracked) {
            numbers.push_back(tracked.first);
        }
        for (request_number number : numbers) {
            endIfQueued(number, reason, now, effects);
        }
    });
}

cancel_result pool_shard::endIfQueued(request_number number, refusal_reason reason, timestamp now, side_effects &effects)
{
    const auto tracked = m_tracked.find(number);
    if (tracked == m_tracked.end()) {
        return cancel_result::NotFound;
    }
    if (!tracked->second.vm.empty()) {
        return cancel_result::TooLate;
    }
    // The end is recorded before the scheduler handles the cancellation, so that `reason` is reported instead of the scheduler's reason.
    collectEnd(number, notRun(reason), effects);
    handleEvent(request_cancelled{number}, now, effects);
    return cancel_result::Cancelled;
}

void pool_shard::tick()
{
    const timestamp now = steadyNow();
    if (m_hasQueued || now.count() - m_lastTick >= idleTickInterval.count()) {
        m_lastTick = now.count();
        decide([&](side_effects &effects, timestamp decided) {
            handleEvent(daisypass::tick{}, decided, effects);
        });
    }
}

void pool_shard::updateView(view_changed view, std::map<std::string, std::string, std::less<>> urls, revision_number revision)
{
    decide([&](side_effects &effects, timestamp now) {
        if (revision < m_revision) {
            return;
        }
        view.isolated = m_view.isolated;
        m_view = std::move(view);
        m_urls = std::move(urls);
        m_revision = revision;
        std::erase_if(m_connectFailures, [&](const std::pair<const std::string, int> &failures) {
            return !m_urls.contains(failures.first);
        });
        handleEvent(m_view, now, effects);
    });
}

std::vector<slot_grant> pool_shard::lendSlots(const std::string &peer, int count)
{
    std::vector<slot_grant> lent;
    decide([&](side_effects &effects, timestamp now) {
        handleEvent(slots_requested{peer, count}, now, effects);
        lent = std::move(effects.lent);
    });
    return lent;
}

void pool_shard::slotsGranted(const std::string &peer, std::vector<slot_grant> grants)
{
    decide([&](side_effects &effects, timestamp now) {
        handleEvent(slots_granted{peer, std::move(grants)}, now, effects);
    });
}

void pool_shard::slotsReturned(const std::string &peer, std::vector<slot_grant> grants)
{
    decide([&](side_effects &effects, timestamp now) {
        handleEvent(slots_returned{peer, std::move(grants)}, now, effects);
    });
}

void pool_shard::peerLoad(const std::string &peer, int queued, int freeSlots)
{
    decide([&](side_effects &effects, timestamp now) {
        handleEvent(daisypass::peer_load{peer, queued, freeSlots}, now, effects);
    });
}

pool_shard_load pool_shard::load() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return {m_scheduler.queued(), m_scheduler.running(), m_scheduler.freeSlots()};
}

std::size_t pool_shard::requestCount() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_tracked.size();
}

int pool_shard::inFlightOn(std::string_view vm, revision_number revision) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_revision < revision) {
        return 1;
    }
    const auto calls = m_calls.find(vm);
    return std::max(m_scheduler.runningOn(vm), calls == m_calls.end() ? 0 : calls->second);
}

void pool_shard::collect(scheduler_action &action, timestamp now, side_effects &effects)
{
    if (dispatch *chosen = std::get_if<dispatch>(&action)) {
        collectDispatch(*chosen, now, effects);
    } else if (refuse *refused = std::get_if<refuse>(&action)) {
        const auto tracked = m_tracked.find(refused->request);
        // A request that was dispatched may have reached its target, so it must not be reported as not run even if the scheduler refuses it.
        const bool onTarget = tracked != m_tracked.end() && !tracked->second.vm.empty();
        collectEnd(refused->request, onTarget ? request_outcome{} : notRun(refused->reason, {}, refused->retryAfter), effects);
    } else if (finish *finished = std::get_if<finish>(&action)) {
        collectFinish(*finished, effects);
    } else if (borrow_slots *borrow = std::get_if<borrow_slots>(&action)) {
        effects.borrows.push_back(std::move(*borrow));
    } else if (lend_slots *lend = std::get_if<lend_slots>(&action)) {
        effects.lent.insert(effects.lent.end(), lend->grants.begin(), lend->grants.end());
    } else if (return_slots *returned = std::get_if<return_slots>(&action)) {
        effects.returns.push_back(std::move(*returned));
    } else if (target_ejected *ejected = std::get_if<target_ejected>(&action)) {
        effects.ejected.push_back(std::move(*ejected));
    } else if (target_restored *restored = std::get_if<target_restored>(&action)) {
        effects.restored.push_back(std::move(*restored));
    }
}

void pool_shard::collectDispatch(const dispatch &action, timestamp now, side_effects &effects)
{
    const auto tracked = m_tracked.find(action.request);
    const auto url = m_urls.find(action.vm);
    if (tracked == m_tracked.end()) {
        return;
    }
    tracked_request &request = tracked->second;
    const bool isFirst = request.firstDispatchedAt == timestamp{};
    request.vm = action.vm;
    request.dispatchedAt = now;
    request.firstDispatchedAt = isFirst ? now : request.firstDispatchedAt;
    ++m_calls[request.vm];
    effects.calls.push_back({request.request, request.vm, url == m_urls.end() ? std::string() : url->second, isFirst});
}

void pool_shard::collectFinish(const finish &action, side_effects &effects)
{
    const auto tracked = m_tracked.find(action.request);
    if (tracked == m_tracked.end()) {
        return;
    }
    request_outcome outcome;
    switch (action.outcome) {
    case attempt_outcome::Completed:
        outcome.fate = request_fate::Completed;
        outcome.response = std::move(tracked->second.response);
        break;
    case attempt_outcome::Failed:
        outcome.fate = request_fate::Failed;
        outcome.reason = "target_failed";
        outcome.detail = "the target answered with status " + std::to_string(tracked->second.response.status);
        break;
    case attempt_outcome::Refused:
        outcome = notRun(refusal_reason::Overloaded, "the target refused the request before running it", defaultRetryAfter);
        break;
    case attempt_outcome::NotSent:
        outcome = notRun(refusal_reason::NoTarget, "no target could be reached", defaultRetryAfter);
        break;
    case attempt_outcome::Unknown:
        outcome.detail = "the request may have reached a target, which gave no whole answer";
        break;
    }
    collectEnd(action.request, std::move(outcome), effects);
}

void pool_shard::collectEnd(request_number number, request_outcome outcome, side_effects &effects)
{
    const auto tracked = m_tracked.find(number);
    if (tracked != m_tracked.end()) {
        effects.ends.push_back({std::move(tracked->second), std::move(outcome)});
        m_tracked.erase(tracked);
    }
}

void pool_shard::perform(side_effects &effects, std::vector<scheduler_event> &next)
{
    for (pending_call &pending : effects.calls) {
        startCall(pending, next);
    }
    for (side_effects::end &ended : effects.ends) {
        recordEnd(ended.tracked, ended.outcome);
        ended.tracked.request->done(std::move(ended.outcome));
    }
    for (const borrow_slots &borrow : effects.borrows) {
        if (m_hooks.borrow) {
            m_hooks.borrow(borrow);
        } else {
            next.emplace_back(slots_granted{borrow.peer, {}});
        }
    }
    for (const return_slots &returned : effects.returns) {
        if (m_hooks.giveBack) {
            m_hooks.giveBack(returned);
        }
    }
    for (const target_ejected &ejected : effects.ejected) {
        logEvent("target_ejected", {{"pool", m_pool}, {"vm", ejected.vm}, {"cool_down_ms", ejected.coolDown.count() / 1'000}});
    }
    for (const target_restored &restored : effects.restored) {
        logEvent("target_restored", {{"pool", m_pool}, {"vm", restored.vm}});
    }
}

void pool_shard::startCall(pending_call &pending, std::vector<scheduler_event> &next)
{
    const active_request &request = *pending.request;
    const duration remaining = request.info.deadline - steadyNow();
    // The process may have been frozen since the decision, so the deadline and the isolation are checked again right before the call.
    if (pending.url.empty() || remaining <= duration::zero() || !mayDispatch()) {
        const std::lock_guard<std::mutex> guard(m_lock);
        endCall(request.info.number, pending.vm);
        next.emplace_back(target_answered{request.info.number, attempt_outcome::NotSent, {}});
        return;
    }
    if (pending.isFirst && request.onRunning) {
        request.onRunning();
    }
    http_call call = makeTargetCall(std::move(pending.url), request.id, request.headers, request.body, remaining);
    m_client.send(std::move(call), [this, number = request.info.number, id = request.id, vm = pending.vm](http_result result) {
        handleCallResult(number, id, vm, std::move(result));
    });
}

std::vector<std::string> pool_shard::unreachable() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::string> vms;
    for (const std::pair<const std::string, int> &failures : m_connectFailures) {
        if (failures.second >= unreachableThreshold) {
            vms.push_back(failures.first);
        }
    }
    return vms;
}

void pool_shard::recordConnectResult(const std::string &vm, const http_result &result)
{
    if (result.state != send_state::NotSent) {
        m_connectFailures.erase(vm);
    } else if (result.reason.code == failure_code::ConnectFailed && m_urls.contains(vm)) {
        ++m_connectFailures[vm];
    }
}

// Removes the attempt from the calls on the VM, so that the request may be dispatched again.
void pool_shard::endCall(request_number number, const std::string &vm)
{
    const auto calls = m_calls.find(vm);
    if (calls != m_calls.end() && --calls->second <= 0) {
        m_calls.erase(calls);
    }
    const auto tracked = m_tracked.find(number);
    if (tracked != m_tracked.end()) {
        tracked->second.vm.clear();
    }
}

void pool_shard::handleCallResult(request_number number, const std::string &id, const std::string &vm, http_result result)
{
    const attempt_outcome outcome = classifyAttempt(result, id);
    decide([&](side_effects &effects, timestamp now) {
        recordConnectResult(vm, result);
        duration runTime{};
        const auto tracked = m_tracked.find(number);
        if (tracked != m_tracked.end()) {
            runTime = now - tracked->second.dispatchedAt;
            tracked->second.lastRunTime = runTime;
            tracked->second.response = std::move(result.response);
        }
        endCall(number, vm);
        handleEvent(target_answered{number, outcome, runTime}, now, effects);
    });
}

void pool_shard::recordEnd(const tracked_request &ended, const request_outcome &outcome)
{
    request_metrics &metrics = *ended.metrics;
    const request_info &info = ended.request->info;
    if (ended.firstDispatchedAt != timestamp{}) {
        metrics.wait.record(seconds(ended.firstDispatchedAt - info.arrived));
    }
    if (ended.lastRunTime > duration::zero()) {
        metrics.run.record(seconds(ended.lastRunTime));
    }
    metrics.total.record(seconds(steadyNow() - info.arrived));
    metrics.count(m_metrics, outcome);
}

std::shared_ptr<request_metrics> pool_shard::metricsOf(const request_info &info)
{
    const std::string key = info.team + '/' + info.requestClass;
    const auto found = m_requestMetrics.find(key);
    if (found != m_requestMetrics.end()) {
        return found->second;
    }
    if (m_requestMetrics.size() >= maxLabelSets && info.requestClass != otherClass) {
        request_info other = info;
        other.requestClass = otherClass;
        return metricsOf(other);
    }
    const metric_labels labels{{"pool", m_pool}, {"team", info.team}, {"class", info.requestClass.empty() ? "default" : info.requestClass}};
    std::shared_ptr<request_metrics> created = std::make_shared<request_metrics>(m_metrics, labels);
    m_requestMetrics.emplace(key, created);
    return created;
}

} // namespace daisypass
