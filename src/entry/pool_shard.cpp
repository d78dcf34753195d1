#include "entry/pool_shard.h"

#include "base/log.h"
#include "entry/request_metrics.h"
#include "entry/target_call.h"

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// The scheduler's promise on ticks: 10 ms while requests are queued, 100 ms otherwise.
constexpr duration idleTick{100'000};
// Classes are free text from callers, and each set of labels costs three histograms for the life of the process.
constexpr std::size_t maxLabelSets = 256;
constexpr std::string_view otherClass = "other";
// One refused connection can be a target that is just restarting.
constexpr int unreachableAfter = 2;
constexpr duration retryLater{1'000'000};

double seconds(duration span)
{
    constexpr double perSecond = 1e6;
    return static_cast<double>(span.count()) / perSecond;
}

} // namespace

struct pool_shard::held_request
{
    std::shared_ptr<live_request> request;
    std::shared_ptr<request_metrics> metrics;
    /** The VM of the attempt in progress; empty while queued. */
    std::string vm;
    timestamp firstDispatch{};
    timestamp dispatched{};
    /** How long the last attempt took, once it ended. */
    duration ran{};
    http_response answer;
};

struct pool_shard::call_start
{
    std::shared_ptr<live_request> request;
    std::string vm;
    std::string url;
    bool first = false;
};

// What follows from decisions, performed outside the lock.
struct pool_shard::effects
{
    struct end
    {
        held_request held;
        request_outcome outcome;
    };

    std::vector<call_start> calls;
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

// Decides under the lock, then performs what follows, which can lead to further events.
void pool_shard::decide(const std::function<void(effects &, timestamp)> &decision)
{
    effects found;
    std::vector<scheduler_event> next;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        const timestamp now = steadyNow();
        followIsolation(found, now);
        decision(found, now);
        m_hasQueued = m_scheduler.queued() > 0;
    }
    perform(found, next);
    while (!next.empty()) {
        effects more;
        std::vector<scheduler_event> events = std::exchange(next, {});
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            const timestamp now = steadyNow();
            followIsolation(more, now);
            for (const scheduler_event &event : events) {
                feed(event, now, more);
            }
            m_hasQueued = m_scheduler.queued() > 0;
        }
        perform(more, next);
    }
}

void pool_shard::feed(const scheduler_event &event, timestamp now, effects &found)
{
    m_actions.clear();
    m_scheduler.handle(event, now, m_actions);
    for (scheduler_action &action : m_actions) {
        collect(action, now, found);
    }
}

// Asked before each decision, so a process that was frozen decides nothing on its stale view.
void pool_shard::followIsolation(effects &found, timestamp now)
{
    const bool isolated = !mayDispatch();
    if (isolated != m_view.isolated) {
        m_view.isolated = isolated;
        feed(m_view, now, found);
    }
}

bool pool_shard::mayDispatch() const
{
    return !m_hooks.mayDispatch || m_hooks.mayDispatch();
}

void pool_shard::submit(std::shared_ptr<live_request> request)
{
    decide([&](effects &found, timestamp now) {
        const request_info &info = request->info;
        held_request held;
        held.metrics = metricsOf(info);
        held.request = request;
        m_held.emplace(info.number, std::move(held));
        feed(request_arrived{info}, now, found);
    });
}

cancel_result pool_shard::cancel(request_number number)
{
    cancel_result result = cancel_result::NotFound;
    decide([&](effects &found, timestamp now) {
        result = withdraw(number, refusal_reason::Cancelled, now, found);
    });
    return result;
}

void pool_shard::refuseQueued(refusal_reason reason)
{
    decide([&](effects &found, timestamp now) {
        std::vector<request_number> numbers;
        for (const std::pair<const request_number, held_request> &held : m_held) {
            numbers.push_back(held.first);
        }
        for (request_number number : numbers) {
            withdraw(number, reason, now, found);
        }
    });
}

cancel_result pool_shard::withdraw(request_number number, refusal_reason reason, timestamp now, effects &found)
{
    const auto held = m_held.find(number);
    if (held == m_held.end()) {
        return cancel_result::NotFound;
    }
    if (!held->second.vm.empty()) {
        return cancel_result::TooLate;
    }
    // The end is recorded first, so that its reason is the one given here and not the scheduler's.
    collectEnd(number, notRun(reason), found);
    feed(request_cancelled{number}, now, found);
    return cancel_result::Cancelled;
}

void pool_shard::tick()
{
    const timestamp now = steadyNow();
    if (m_hasQueued || now.count() - m_lastTick >= idleTick.count()) {
        m_lastTick = now.count();
        decide([&](effects &found, timestamp decided) {
            feed(daisypass::tick{}, decided, found);
        });
    }
}

void pool_shard::updateView(view_changed view, std::map<std::string, std::string, std::less<>> urls, revision_number revision)
{
    decide([&](effects &found, timestamp now) {
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
        feed(m_view, now, found);
    });
}

std::vector<slot_grant> pool_shard::lendSlots(const std::string &peer, int count)
{
    std::vector<slot_grant> lent;
    decide([&](effects &found, timestamp now) {
        feed(slots_requested{peer, count}, now, found);
        lent = std::move(found.lent);
    });
    return lent;
}

void pool_shard::slotsGranted(const std::string &peer, std::vector<slot_grant> grants)
{
    decide([&](effects &found, timestamp now) {
        feed(slots_granted{peer, std::move(grants)}, now, found);
    });
}

void pool_shard::slotsReturned(const std::string &peer, std::vector<slot_grant> grants)
{
    decide([&](effects &found, timestamp now) {
        feed(slots_returned{peer, std::move(grants)}, now, found);
    });
}

void pool_shard::peerLoad(const std::string &peer, int queued, int freeSlots)
{
    decide([&](effects &found, timestamp now) {
        feed(daisypass::peer_load{peer, queued, freeSlots}, now, found);
    });
}

pool_load_figures pool_shard::load() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return {m_scheduler.queued(), m_scheduler.running(), m_scheduler.freeSlots()};
}

std::size_t pool_shard::held() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_held.size();
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

void pool_shard::collect(scheduler_action &action, timestamp now, effects &found)
{
    if (dispatch *chosen = std::get_if<dispatch>(&action)) {
        collectDispatch(*chosen, now, found);
    } else if (refuse *refused = std::get_if<refuse>(&action)) {
        const auto held = m_held.find(refused->request);
        // A request whose bytes may be on their way must not be reported as not run, whatever was decided.
        const bool onTarget = held != m_held.end() && !held->second.vm.empty();
        collectEnd(refused->request, onTarget ? request_outcome{} : notRun(refused->reason, {}, refused->retryAfter), found);
    } else if (finish *finished = std::get_if<finish>(&action)) {
        collectFinish(*finished, found);
    } else if (borrow_slots *borrow = std::get_if<borrow_slots>(&action)) {
        found.borrows.push_back(std::move(*borrow));
    } else if (lend_slots *lend = std::get_if<lend_slots>(&action)) {
        found.lent.insert(found.lent.end(), lend->grants.begin(), lend->grants.end());
    } else if (return_slots *returned = std::get_if<return_slots>(&action)) {
        found.returns.push_back(std::move(*returned));
    } else if (target_ejected *ejected = std::get_if<target_ejected>(&action)) {
        found.ejected.push_back(std::move(*ejected));
    } else if (target_restored *restored = std::get_if<target_restored>(&action)) {
        found.restored.push_back(std::move(*restored));
    }
}

void pool_shard::collectDispatch(const dispatch &action, timestamp now, effects &found)
{
    const auto held = m_held.find(action.request);
    const auto url = m_urls.find(action.vm);
    if (held == m_held.end()) {
        return;
    }
    held_request &sent = held->second;
    const bool first = sent.firstDispatch == timestamp{};
    sent.vm = action.vm;
    sent.dispatched = now;
    sent.firstDispatch = first ? now : sent.firstDispatch;
    ++m_calls[sent.vm];
    found.calls.push_back({sent.request, sent.vm, url == m_urls.end() ? std::string() : url->second, first});
}

void pool_shard::collectFinish(const finish &action, effects &found)
{
    const auto held = m_held.find(action.request);
    if (held == m_held.end()) {
        return;
    }
    request_outcome outcome;
    switch (action.outcome) {
    case attempt_outcome::Completed:
        outcome.fate = request_fate::Completed;
        outcome.answer = std::move(held->second.answer);
        break;
    case attempt_outcome::Failed:
        outcome.fate = request_fate::Failed;
        outcome.reason = "target_failed";
        outcome.detail = "the target answered with status " + std::to_string(held->second.answer.status);
        break;
    case attempt_outcome::Refused:
        outcome = notRun(refusal_reason::Overloaded, "the target refused the request before running it", retryLater);
        break;
    case attempt_outcome::NotSent:
        outcome = notRun(refusal_reason::NoTarget, "no target could be reached", retryLater);
        break;
    case attempt_outcome::Unknown:
        outcome.detail = "the request may have reached a target, which gave no whole answer";
        break;
    }
    collectEnd(action.request, std::move(outcome), found);
}

void pool_shard::collectEnd(request_number number, request_outcome outcome, effects &found)
{
    const auto held = m_held.find(number);
    if (held != m_held.end()) {
        found.ends.push_back({std::move(held->second), std::move(outcome)});
        m_held.erase(held);
    }
}

void pool_shard::perform(effects &found, std::vector<scheduler_event> &next)
{
    for (call_start &started : found.calls) {
        startCall(started, next);
    }
    for (effects::end &ended : found.ends) {
        recordEnd(ended.held, ended.outcome);
        ended.held.request->done(std::move(ended.outcome));
    }
    for (const borrow_slots &borrow : found.borrows) {
        if (m_hooks.borrow) {
            m_hooks.borrow(borrow);
        } else {
            next.emplace_back(slots_granted{borrow.peer, {}});
        }
    }
    for (const return_slots &returned : found.returns) {
        if (m_hooks.giveBack) {
            m_hooks.giveBack(returned);
        }
    }
    for (const target_ejected &ejected : found.ejected) {
        logEvent("target_ejected", {{"pool", m_pool}, {"vm", ejected.vm}, {"cool_down_ms", ejected.coolDown.count() / 1'000}});
    }
    for (const target_restored &restored : found.restored) {
        logEvent("target_restored", {{"pool", m_pool}, {"vm", restored.vm}});
    }
}

void pool_shard::startCall(call_start &started, std::vector<scheduler_event> &next)
{
    const live_request &request = *started.request;
    const duration remaining = request.info.deadline - steadyNow();
    // The process can have been frozen since the decision, so deadline and contact are checked again at the last moment.
    if (started.url.empty() || remaining <= duration::zero() || !mayDispatch()) {
        const std::lock_guard<std::mutex> guard(m_lock);
        endCall(request.info.number, started.vm);
        next.emplace_back(target_answered{request.info.number, attempt_outcome::NotSent, {}});
        return;
    }
    if (started.first && request.running) {
        request.running();
    }
    http_call call = targetCall(std::move(started.url), request.id, request.headers, request.body, remaining);
    m_client.send(std::move(call), [this, number = request.info.number, id = request.id, vm = started.vm](http_result result) {
        answered(number, id, vm, std::move(result));
    });
}

std::vector<std::string> pool_shard::unreachable() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::string> vms;
    for (const std::pair<const std::string, int> &failures : m_connectFailures) {
        if (failures.second >= unreachableAfter) {
            vms.push_back(failures.first);
        }
    }
    return vms;
}

void pool_shard::noteConnection(const std::string &vm, const http_result &result)
{
    if (result.state != send_state::NotSent) {
        m_connectFailures.erase(vm);
    } else if (result.reason.code == failure_code::ConnectFailed && m_urls.contains(vm)) {
        ++m_connectFailures[vm];
    }
}

// The attempt no longer counts as a call on the VM, and the request may be dispatched again.
void pool_shard::endCall(request_number number, const std::string &vm)
{
    const auto calls = m_calls.find(vm);
    if (calls != m_calls.end() && --calls->second <= 0) {
        m_calls.erase(calls);
    }
    const auto held = m_held.find(number);
    if (held != m_held.end()) {
        held->second.vm.clear();
    }
}

void pool_shard::answered(request_number number, const std::string &id, const std::string &vm, http_result result)
{
    const attempt_outcome outcome = classifyAttempt(result, id);
    decide([&](effects &found, timestamp now) {
        noteConnection(vm, result);
        duration runTime{};
        const auto held = m_held.find(number);
        if (held != m_held.end()) {
            runTime = now - held->second.dispatched;
            held->second.ran = runTime;
            held->second.answer = std::move(result.response);
        }
        endCall(number, vm);
        feed(target_answered{number, outcome, runTime}, now, found);
    });
}

void pool_shard::recordEnd(const held_request &ended, const request_outcome &outcome)
{
    request_metrics &metrics = *ended.metrics;
    const request_info &info = ended.request->info;
    if (ended.firstDispatch != timestamp{}) {
        metrics.wait.record(seconds(ended.firstDispatch - info.arrived));
    }
    if (ended.ran > duration::zero()) {
        metrics.run.record(seconds(ended.ran));
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
