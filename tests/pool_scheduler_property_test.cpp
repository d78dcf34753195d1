// Property tests of several pool_schedulers whose messages are delayed or lost. After every step the schedulers are compared with an independent record of each
// request, slot and loan.

#include "kernel/pool_scheduler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr int entryCount = 3;
constexpr int targetCount = 4;
constexpr int slotCount = 2;

void require(bool condition, const std::string &invariant)
{
    if (!condition) {
        throw std::runtime_error(invariant);
    }
}

enum class trace_phase {
    Queued,
    Running,
    Done,
};

// The expected state of a request.
struct request_trace
{
    std::size_t entry = 0;
    trace_phase phase = trace_phase::Queued;
    bool cancelled = false;
    attempt_outcome outcome = attempt_outcome::Completed;
    std::string vm;
    int dispatches = 0;
    int notRun = 0;
};

// The expected state of a loan. The lender has reserved its slots; the borrower may use them once the grant has arrived.
struct loan_trace
{
    std::size_t borrower = 0;
    std::size_t lender = 0;
    std::string vm;
    int reserved = 0;
    int usable = 0;
    timestamp expires{};
};

struct message
{
    std::size_t to = 0;
    scheduler_event event;
};

class cluster
{
public:
    cluster(std::uint64_t seed, std::string_view slotPolicy)
    {
        const std::vector<std::string> names{"a", "b", "c"};
        for (const std::string &name : names) {
            m_views.emplace_back().self = name;
            m_views.back().config.slotsPerTarget = slotCount;
            m_views.back().config.maxEjectedShare = 0.5;
            m_views.back().entries = names;
            m_schedulers.emplace_back(m_views.back().config, seed + m_views.size(), slotPolicy);
        }
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            changeView(entry, 0);
        }
    }

    // Executes one random step: `kind` selects the event and `detail` its arguments.
    void step(unsigned kind, unsigned detail)
    {
        const std::size_t entry = detail % entryCount;
        switch (kind % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive(entry, detail / entryCount);
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            answer(detail);
            break;
        case 8:
        case 9:
        case 10:
            deliver(detail, false);
            break;
        case 11:
            deliver(detail, detail % 4 == 0);
            break;
        case 12:
        case 13:
            advance(duration(1000 * (1 + detail % 300)));
            break;
        case 14:
            cancel(detail);
            break;
        default:
            detail % 3 == 0 ? changeView(entry, detail / 3) : gossip(entry);
        }
    }

    // Ends all running requests, advances the time past all deadlines and loans, and checks that no request is left.
    void drain()
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            changeView(entry, 0);
        }
        m_messages.clear();
        for (int round = 0; round < 2000; ++round) {
            const request_number running = pickRequest(trace_phase::Running, 0);
            if (running == 0) {
                break;
            }
            m_requests[running].outcome = attempt_outcome::Completed;
            send(m_requests[running].entry, target_answered{running, attempt_outcome::Completed, 20ms});
        }
        advance(20s);
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            require(m_schedulers[entry].queued() == 0 && m_schedulers[entry].running() == 0, "no request is queued or running in the end");
        }
        for (const std::pair<const request_number, request_trace> &each : m_requests) {
            require(each.second.phase == trace_phase::Done, "every request ends");
        }
    }

private:
    void send(std::size_t entry, const scheduler_event &event)
    {
        std::vector<scheduler_action> actions;
        m_schedulers[entry].handle(event, m_now, actions);
        for (const scheduler_action &action : actions) {
            std::visit(
                [&](const auto &typed) {
                    observe(entry, typed);
                },
                action);
        }
        checkCounts();
    }

    request_trace &findOpen(std::size_t from, request_number number)
    {
        request_trace &request = m_requests.at(number);
        require(request.entry == from, "an action names a request of its own entry");
        require(request.phase != trace_phase::Done, "nothing follows the end of a request");
        return request;
    }

    void observe(std::size_t from, const dispatch &action)
    {
        request_trace &request = findOpen(from, action.request);
        require(!request.cancelled, "a cancelled request is not dispatched");
        require(request.phase == trace_phase::Queued, "only a queued request is dispatched");
        require(request.dispatches == request.notRun, "a second dispatch only after Refused or NotSent");
        require(request.vm != action.vm, "a retry goes to another target");
        require(!m_views[from].isolated, "an isolated entry dispatches nothing");
        require(ownerOf(from, action.vm) != "", "only targets of the view get requests");
        const int usableSlots = owned(from, action.vm) - reserved(from, action.vm) + usable(from, action.vm);
        require(runningOn(from, action.vm) < usableSlots, "slots in use never exceed the owned slots minus the lent plus the borrowed ones");
        request.phase = trace_phase::Running;
        request.vm = action.vm;
        ++request.dispatches;
    }

    void observe(std::size_t from, const refuse &action)
    {
        request_trace &request = findOpen(from, action.request);
        require(request.phase == trace_phase::Queued, "a refused request is not running");
        request.phase = trace_phase::Done;
    }

    void observe(std::size_t from, const finish &action)
    {
        request_trace &request = findOpen(from, action.request);
        require(action.outcome == request.outcome, "a request ends with its last attempt's outcome");
        request.phase = trace_phase::Done;
    }

    void observe(std::size_t from, const borrow_slots &action)
    {
        require(action.count > 0, "an entry asks for at least one slot");
        m_messages.push_back({entryIndex(action.peer), slots_requested{m_views[from].self, action.count}});
    }

    void observe(std::size_t from, const lend_slots &action)
    {
        for (const slot_grant &grant : action.grants) {
            require(ownerOf(from, grant.vm) == m_views[from].self, "only owned slots are lent");
            m_loans.push_back({entryIndex(action.peer), from, grant.vm, grant.count, 0, grant.expires});
            require(runningOn(from, grant.vm) + reserved(from, grant.vm) <= slotCount, "only free slots are lent");
        }
        m_messages.push_back({entryIndex(action.peer), slots_granted{m_views[from].self, action.grants}});
    }

    void observe(std::size_t from, const return_slots &action)
    {
        for (const slot_grant &grant : action.grants) {
            int left = grant.count;
            for (loan_trace &loan : m_loans) {
                const bool matches = loan.borrower == from && m_views[loan.lender].self == action.peer && loan.vm == grant.vm && loan.expires == grant.expires;
                const int taken = matches ? std::min(left, loan.usable) : 0;
                loan.usable -= taken;
                left -= taken;
            }
            require(left == 0, "only granted slots are returned");
        }
        m_messages.push_back({entryIndex(action.peer), slots_returned{m_views[from].self, action.grants}});
    }

    void observe(std::size_t from, const target_ejected &action)
    {
        require(action.coolDown >= 1s && action.coolDown <= 60s, "a cool-down lasts 1 s to 60 s");
        m_ejected[from].insert(action.vm);
        require(m_ejected[from].size() <= targetCount / 2, "at most max_ejected_share is ejected");
    }

    void observe(std::size_t from, const target_restored &action)
    {
        require(m_ejected[from].erase(action.vm) == 1, "only an ejected target is restored");
    }

    void checkCounts() const
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            int queued = 0;
            int running = 0;
            for (const std::pair<const request_number, request_trace> &each : m_requests) {
                queued += each.second.entry == entry && each.second.phase == trace_phase::Queued ? 1 : 0;
                running += each.second.entry == entry && each.second.phase == trace_phase::Running ? 1 : 0;
            }
            require(m_schedulers[entry].queued() == queued, "queued() is the number of queued requests");
            require(m_schedulers[entry].running() == running, "running() is the number of requests in flight");
            for (int target = 0; target < targetCount; ++target) {
                const std::string vm = "t" + std::to_string(target);
                require(m_schedulers[entry].runningOn(vm) == runningOn(entry, vm), "runningOn() is the number of requests in flight on the VM");
            }
        }
    }

    void arrive(std::size_t entry, unsigned detail)
    {
        request_info info;
        info.number = m_nextNumber++;
        info.team = detail % 2 == 0 ? "red" : "blue";
        info.requestClass = detail % 5 == 0 ? "batch" : "lookup";
        info.deadline = m_now + duration(1000 * (detail % 2000));
        m_requests[info.number].entry = entry;
        send(entry, request_arrived{info});
    }

    void answer(unsigned detail)
    {
        const request_number chosen = pickRequest(trace_phase::Running, detail);
        if (chosen == 0) {
            return;
        }
        request_trace &request = m_requests[chosen];
        // Target t0 fails most of its requests, so that it is ejected.
        const bool failing = request.vm == "t0" && detail % 16 != 0;
        request.outcome = failing ? attempt_outcome::Failed : static_cast<attempt_outcome>(detail / 7 % 5);
        const bool notRun = request.outcome == attempt_outcome::Refused || request.outcome == attempt_outcome::NotSent;
        request.notRun += notRun ? 1 : 0;
        request.phase = trace_phase::Queued;
        send(request.entry, target_answered{chosen, request.outcome, detail % 3 == 0 ? 10s : 20ms});
        require(notRun || request.phase == trace_phase::Done, "an outcome that may have run ends the request");
    }

    void cancel(unsigned detail)
    {
        const request_number chosen = 1 + detail % m_nextNumber;
        const auto found = m_requests.find(chosen);
        if (found == m_requests.end()) {
            return;
        }
        const bool ended = found->second.phase == trace_phase::Done;
        found->second.cancelled = true;
        found->second.outcome = ended ? found->second.outcome : attempt_outcome::Unknown;
        send(found->second.entry, request_cancelled{chosen});
        require(found->second.phase == trace_phase::Done, "a cancelled request ends at once");
        send(found->second.entry, target_answered{chosen, attempt_outcome::Completed, 20ms});
    }

    void deliver(unsigned detail, bool lose)
    {
        if (m_messages.empty()) {
            return;
        }
        const std::size_t position = detail / 4 % m_messages.size();
        const message chosen = m_messages[position];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
        if (lose) {
            return;
        }
        if (const slots_granted *granted = std::get_if<slots_granted>(&chosen.event)) {
            for (const slot_grant &grant : granted->grants) {
                markUsable(chosen.to, entryIndex(granted->peer), grant);
            }
        }
        if (const slots_returned *returned = std::get_if<slots_returned>(&chosen.event)) {
            for (const slot_grant &grant : returned->grants) {
                release(chosen.to, entryIndex(returned->peer), grant);
            }
        }
        send(chosen.to, chosen.event);
    }

    void markUsable(std::size_t borrower, std::size_t lender, const slot_grant &grant)
    {
        for (loan_trace &loan : m_loans) {
            if (loan.borrower == borrower && loan.lender == lender && loan.vm == grant.vm && loan.expires == grant.expires && loan.usable == 0) {
                loan.usable = grant.count;
                return;
            }
        }
    }

    // The lender may release its loans to one borrower in any order; the trace releases the oldest ones first.
    void release(std::size_t lender, std::size_t borrower, const slot_grant &grant)
    {
        int left = grant.count;
        for (loan_trace &loan : m_loans) {
            const bool matches = loan.borrower == borrower && loan.lender == lender && loan.vm == grant.vm && loan.expires > m_now;
            const int taken = matches ? std::min(left, loan.reserved) : 0;
            loan.reserved -= taken;
            left -= taken;
        }
    }

    void advance(duration time)
    {
        m_now += time;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            send(entry, tick{});
        }
    }

    void gossip(std::size_t from)
    {
        for (std::size_t to = 0; to < entryCount; ++to) {
            if (to != from) {
                send(to, peer_load{m_views[from].self, m_schedulers[from].queued(), m_schedulers[from].freeSlots(), m_schedulers[from].reportedLoad()});
            }
        }
    }

    // With `detail` 0 the view is complete. Otherwise one target may be missing, one peer suspected, and the entry isolated.
    void changeView(std::size_t entry, unsigned detail)
    {
        view_changed &view = m_views[entry];
        std::vector<std::string> live{"a", "b", "c"};
        if (detail % 4 == 1 && live[detail / 4 % 3] != view.self) {
            live.erase(live.begin() + static_cast<std::ptrdiff_t>(detail / 4 % 3));
        }
        view.isolated = detail % 7 == 3;
        view.targets.clear();
        for (int target = 0; target < targetCount; ++target) {
            const std::string vm = "t" + std::to_string(target);
            if (detail % 3 != 2 || target != static_cast<int>(detail / 3 % targetCount)) {
                view.targets.push_back({vm, std::string(rendezvousOwner(live, vm)), {}, {}});
            } else {
                m_ejected[entry].erase(vm);
            }
        }
        for (loan_trace &loan : m_loans) {
            const bool ownerLeft = loan.borrower == entry && ownerOf(entry, loan.vm) != m_views[loan.lender].self;
            loan.usable = ownerLeft ? 0 : loan.usable;
        }
        send(entry, view);
    }

    std::string ownerOf(std::size_t entry, const std::string &vm) const
    {
        for (const target_view &target : m_views[entry].targets) {
            if (target.vm == vm) {
                return target.owner;
            }
        }
        return "";
    }

    int owned(std::size_t entry, const std::string &vm) const
    {
        return ownerOf(entry, vm) == m_views[entry].self ? slotCount : 0;
    }

    int reserved(std::size_t entry, const std::string &vm) const
    {
        int count = 0;
        for (const loan_trace &loan : m_loans) {
            count += loan.lender == entry && loan.vm == vm && loan.expires > m_now && owned(entry, vm) > 0 ? loan.reserved : 0;
        }
        return count;
    }

    int usable(std::size_t entry, const std::string &vm) const
    {
        int count = 0;
        for (const loan_trace &loan : m_loans) {
            count += loan.borrower == entry && loan.vm == vm && loan.expires > m_now ? loan.usable : 0;
        }
        return count;
    }

    int runningOn(std::size_t entry, const std::string &vm) const
    {
        int count = 0;
        for (const std::pair<const request_number, request_trace> &each : m_requests) {
            count += each.second.entry == entry && each.second.phase == trace_phase::Running && each.second.vm == vm ? 1 : 0;
        }
        return count;
    }

    std::size_t entryIndex(const std::string &name) const
    {
        return static_cast<std::size_t>(name[0] - 'a');
    }

    request_number pickRequest(trace_phase phase, unsigned detail) const
    {
        std::vector<request_number> found;
        for (const std::pair<const request_number, request_trace> &each : m_requests) {
            if (each.second.phase == phase) {
                found.push_back(each.first);
            }
        }
        return found.empty() ? 0 : found[detail % found.size()];
    }

    timestamp m_now = 100s;
    std::vector<view_changed> m_views;
    std::vector<pool_scheduler> m_schedulers;
    std::map<request_number, request_trace> m_requests;
    std::vector<loan_trace> m_loans;
    std::vector<message> m_messages;
    std::map<std::size_t, std::set<std::string>> m_ejected;
    request_number m_nextNumber = 1;
};

} // namespace

// Guards against requests that run twice or never end, slots that an entry uses twice, and wrong counts, in random orders of events.
TEST_CASE("schedulers: promises hold in every order of events")
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 400;
    params.maxSize = 400;
    rc::detail::TestMetadata metadata;
    metadata.id = "schedulers";
    std::string violated;
    const rc::detail::TestResult result = rc::detail::checkTestable(
        [&](const std::vector<std::pair<std::uint16_t, std::uint16_t>> &steps, std::uint16_t seed) {
            try {
                cluster tested(seed, "lend");
                for (const std::pair<std::uint16_t, std::uint16_t> &step : steps) {
                    tested.step(step.first, step.second);
                }
                tested.drain();
            } catch (const std::runtime_error &error) {
                violated = error.what();
                RC_FAIL(violated);
            }
        },
        metadata,
        params);
    CAPTURE(violated);
    CHECK(result.is<rc::detail::SuccessResult>());
}
