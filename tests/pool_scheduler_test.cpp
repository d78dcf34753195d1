// Tests of a single pool_scheduler, in virtual time.

#include "kernel/pool_scheduler.h"

#include <doctest/doctest.h>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

// One scheduler, of entry "a", with targets t0, t1, ... that "a" owns unless the test changes the view.
struct scenario
{
    explicit scenario(int targetCount, int slots, std::string_view slotPolicy = "lend")
        : scheduler({}, 1, slotPolicy)
    {
        view.self = "a";
        view.config.slotsPerTarget = slots;
        for (int index = 0; index < targetCount; ++index) {
            view.targets.push_back({"t" + std::to_string(index), "a", {}, {}});
        }
        send(view);
    }

    void send(const scheduler_event &event)
    {
        actions.clear();
        scheduler.handle(event, now, actions);
    }

    void arrive(request_number number, duration deadline = 1s, const std::string &team = "red", const std::string &requestClass = "")
    {
        request_info info;
        info.number = number;
        info.team = team;
        info.requestClass = requestClass;
        info.arrived = now;
        info.deadline = now + deadline;
        send(request_arrived{info});
    }

    void answer(request_number number, attempt_outcome outcome = attempt_outcome::Completed, duration runTime = 20ms)
    {
        send(target_answered{number, outcome, runTime});
    }

    void advance(duration time)
    {
        now += time;
        send(tick{});
    }

    template<class action>
    std::vector<action> actionsOf() const
    {
        std::vector<action> found;
        for (const scheduler_action &each : actions) {
            if (std::holds_alternative<action>(each)) {
                found.push_back(std::get<action>(each));
            }
        }
        return found;
    }

    /** Numbers of the requests dispatched by the last event. */
    std::vector<request_number> dispatched() const
    {
        std::vector<request_number> numbers;
        for (const dispatch &each : actionsOf<dispatch>()) {
            numbers.push_back(each.request);
        }
        return numbers;
    }

    timestamp now = 100s;
    view_changed view;
    pool_scheduler scheduler;
    std::vector<scheduler_action> actions;
};

using numbers = std::vector<request_number>;

} // namespace

// Guards against requests that wait although a slot is free, start out of order, or stay queued past their deadline.
TEST_CASE("scheduler: a queue of one target")
{
    scenario s(1, 2);
    s.arrive(1);
    CHECK(s.dispatched() == numbers{1});
    s.arrive(2);
    CHECK(s.dispatched() == numbers{2});
    s.arrive(3, 50ms);
    s.arrive(4);
    CHECK(s.dispatched().empty());
    CHECK(s.scheduler.queued() == 2);
    CHECK(s.scheduler.runningOn("t0") == 2);

    SUBCASE("a freed slot goes to the oldest request")
    {
        s.answer(1);
        REQUIRE(s.actionsOf<finish>().size() == 1);
        CHECK(s.actionsOf<finish>()[0].outcome == attempt_outcome::Completed);
        CHECK(s.dispatched() == numbers{3});
    }
    SUBCASE("a cancelled queued request is never dispatched")
    {
        s.send(request_cancelled{3});
        REQUIRE(s.actionsOf<refuse>().size() == 1);
        CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::Cancelled);
        s.answer(1);
        CHECK(s.dispatched() == numbers{4});
    }
    SUBCASE("a cancelled running request frees its slot, and its late answer is ignored")
    {
        s.send(request_cancelled{1});
        CHECK(s.actionsOf<finish>().size() == 1);
        CHECK(s.dispatched() == numbers{3});
        s.answer(1);
        CHECK(s.actions.empty());
        CHECK(s.scheduler.running() == 2);
    }
    SUBCASE("a request is refused when its deadline passes")
    {
        s.advance(60ms);
        REQUIRE(s.actionsOf<refuse>().size() == 1);
        CHECK(s.actionsOf<refuse>()[0].request == 3);
        CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::DeadlinePassed);
        CHECK(s.scheduler.queued() == 1);
    }
    SUBCASE("a target that left the view gets no new requests, and its running requests are still counted")
    {
        s.view.targets.clear();
        s.send(s.view);
        s.answer(1);
        CHECK(s.dispatched().empty());
        CHECK(s.scheduler.runningOn("t0") == 1);
        s.answer(2);
        CHECK(s.scheduler.runningOn("t0") == 0);
        CHECK(s.scheduler.queued() == 2);
    }
    SUBCASE("an isolated entry dispatches nothing and refuses requests as isolated at their deadline")
    {
        s.view.isolated = true;
        s.send(s.view);
        s.answer(1);
        CHECK(s.dispatched().empty());
        s.advance(60ms);
        REQUIRE(s.actionsOf<refuse>().size() == 1);
        CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::Isolated);
    }
}

// Guards against unbounded queues and against a single team that fills the queue.
TEST_CASE("scheduler: bounded queues")
{
    scenario s(1, 1);
    s.view.config.queueLimit = 3;
    s.view.config.teamQueueLimit = 2;
    s.send(s.view);
    for (request_number number = 1; number <= 3; ++number) {
        s.arrive(number);
        CHECK(s.actionsOf<refuse>().empty());
    }
    s.arrive(4);
    REQUIRE(s.actionsOf<refuse>().size() == 1);
    CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::TeamOverLimit);
    s.arrive(5, 1s, "blue");
    CHECK(s.actionsOf<refuse>().empty());
    s.arrive(6, 1s, "blue");
    REQUIRE(s.actionsOf<refuse>().size() == 1);
    CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::Overloaded);
    CHECK(s.actionsOf<refuse>()[0].retryAfter > 0s);
}

// Guards against a retry of a request that may have run, and against a retry on the target that refused the request.
TEST_CASE("scheduler: outcomes of an attempt")
{
    struct outcome_case
    {
        attempt_outcome outcome;
        bool retried;
    };
    for (const outcome_case &testCase : {outcome_case{attempt_outcome::Completed, false},
                                         {attempt_outcome::Failed, false},
                                         {attempt_outcome::Unknown, false},
                                         {attempt_outcome::Refused, true},
                                         {attempt_outcome::NotSent, true}}) {
        scenario s(2, 1);
        s.arrive(1);
        const std::string first = s.actionsOf<dispatch>().at(0).vm;
        s.answer(1, testCase.outcome);
        std::vector<dispatch> later = s.actionsOf<dispatch>();
        const std::size_t finished = s.actionsOf<finish>().size();
        for (int step = 0; step < 10 && later.empty(); ++step) {
            s.advance(10ms);
            later = s.actionsOf<dispatch>();
        }
        CHECK(finished == (testCase.retried ? 0 : 1));
        REQUIRE(later.size() == (testCase.retried ? 1 : 0));
        CHECK((later.empty() || later[0].vm != first));
    }
}

// Guards against a request that waits although no VM is large enough for it.
TEST_CASE("scheduler: needs larger than every VM")
{
    scenario s(1, 1);
    s.view.targets[0].size = {8, 1024, 0};
    s.send(s.view);
    request_info info;
    info.number = 1;
    info.deadline = s.now + 1s;
    info.needs = {8, 2048, 0};
    s.send(request_arrived{info});
    REQUIRE(s.actionsOf<refuse>().size() == 1);
    CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::NeverRunnable);
}

// Guards against requests that wait while a peer has free slots, and against loans that stay unused.
TEST_CASE("scheduler: borrowing and lending")
{
    scenario s(1, 1);
    s.view.targets.push_back({"t1", "b", {}, {}});
    s.send(s.view);
    s.arrive(1);
    CHECK(s.actionsOf<borrow_slots>().empty());
    s.arrive(2);
    REQUIRE(s.actionsOf<borrow_slots>().size() == 1);
    CHECK(s.actionsOf<borrow_slots>()[0].peer == "b");
    CHECK(s.actionsOf<borrow_slots>()[0].count == 1);
    s.arrive(3);
    CHECK(s.actionsOf<borrow_slots>().empty());

    SUBCASE("a loan is used for many requests and returned when nothing is queued")
    {
        s.send(slots_granted{"b", {{"t1", 1, s.now + 1s}}});
        CHECK(s.dispatched() == numbers{2});
        CHECK(s.actionsOf<dispatch>()[0].vm == "t1");
        s.answer(2);
        CHECK(s.dispatched() == numbers{3});
        CHECK(s.actionsOf<dispatch>()[0].vm == "t1");
        s.answer(3);
        CHECK(s.actionsOf<return_slots>().empty());
        s.advance(10ms);
        REQUIRE(s.actionsOf<return_slots>().size() == 1);
        CHECK(s.actionsOf<return_slots>()[0].peer == "b");
        CHECK(s.actionsOf<return_slots>()[0].grants[0].count == 1);
    }
    SUBCASE("an entry serves its own queue before it lends slots")
    {
        s.send(slots_requested{"b", 1});
        REQUIRE(s.actionsOf<lend_slots>().size() == 1);
        CHECK(s.actionsOf<lend_slots>()[0].grants.empty());
    }
    SUBCASE("a free slot is lent for a second")
    {
        s.send(request_cancelled{2});
        s.send(request_cancelled{3});
        s.answer(1);
        CHECK(s.scheduler.freeSlots() == 1);
        s.send(slots_requested{"b", 5});
        REQUIRE(s.actionsOf<lend_slots>().size() == 1);
        REQUIRE(s.actionsOf<lend_slots>()[0].grants.size() == 1);
        CHECK(s.actionsOf<lend_slots>()[0].grants[0].count == 1);
        CHECK(s.actionsOf<lend_slots>()[0].grants[0].expires == s.now + 1s);
        s.arrive(4);
        CHECK(s.dispatched().empty());
        s.advance(1020ms);
        CHECK(s.actionsOf<refuse>().size() == 1);
        s.arrive(5);
        CHECK(s.dispatched() == numbers{5});
    }
    SUBCASE("an isolated entry lends nothing")
    {
        s.view.isolated = true;
        s.send(s.view);
        s.send(slots_requested{"b", 5});
        CHECK(s.actionsOf<lend_slots>()[0].grants.empty());
    }
}

// Guards against callers that wait although their request can't be served before its deadline.
TEST_CASE("scheduler: early shedding")
{
    scenario s(1, 1);
    s.arrive(1);
    s.answer(1, attempt_outcome::Completed, 100ms);
    for (request_number number = 2; number <= 12; ++number) {
        s.arrive(number, 10s);
    }
    CHECK(s.scheduler.queued() == 10);
    // Ten queued requests of 100 ms each share one slot, so a new one waits about 1 s.
    s.arrive(20, 800ms);
    REQUIRE(s.actionsOf<refuse>().size() == 1);
    CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::Overloaded);
    CHECK(s.actionsOf<refuse>()[0].retryAfter >= 500ms);
    CHECK(s.actionsOf<refuse>()[0].retryAfter <= 1500ms);
    s.arrive(21, 1200ms);
    CHECK(s.actionsOf<refuse>().empty());
    s.arrive(22, 500ms, "blue");
    CHECK(s.actionsOf<refuse>().empty());
}

// Guards against long work that occupies the pool because it is declared as a class of short work.
TEST_CASE("scheduler: running requests move to the band of their elapsed time")
{
    scenario s(1, 8);
    s.arrive(1, 60s, "red", "lookup");
    s.answer(1);
    // The estimate of the class is the prior for blue's first requests; all four of them turn out to be long.
    for (request_number number = 2; number <= 5; ++number) {
        s.arrive(number, 60s, "blue", "lookup");
        CHECK(s.dispatched().size() == 1);
    }
    s.advance(2s);
    s.answer(2, attempt_outcome::Completed, 10s);
    s.arrive(6, 60s, "blue", "lookup");
    CHECK(s.dispatched() == numbers{6});
    s.arrive(7, 60s, "blue", "lookup");
    CHECK(s.dispatched().empty());
    s.arrive(8, 60s, "red", "lookup");
    CHECK(s.dispatched() == numbers{8});
}

// Guards against the reason "deadline passed" for a request that waited in a pool without targets.
TEST_CASE("scheduler: no target at all")
{
    scenario s(0, 1);
    s.arrive(1, 50ms);
    s.advance(70ms);
    REQUIRE(s.actionsOf<refuse>().size() == 1);
    CHECK(s.actionsOf<refuse>()[0].reason == refusal_reason::NoTarget);
}

// Guards against a change of the entries that also changes the owners of targets of other entries.
TEST_CASE("rendezvous: a change of one entry moves only its own targets")
{
    const std::vector<std::string> four{"a", "b", "c", "d"};
    const std::vector<std::string> three{"a", "b", "d"};
    std::map<std::string, int> counts;
    for (int target = 0; target < 1000; ++target) {
        const std::string vm = "vm-" + std::to_string(target);
        const std::string before(rendezvousOwner(four, vm));
        ++counts[before];
        CHECK((before == "c" || before == rendezvousOwner(three, vm)));
    }
    for (const std::string &entry : four) {
        CHECK(counts[entry] > 180);
    }
}
