// pool_scheduler by itself, in virtual time.

#include "kernel/pool_scheduler.h"

#include <doctest/doctest.h>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

// One scheduler with targets t0, t1, ... of which each is owned by "a" unless the test says otherwise.
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

    void wait(duration time)
    {
        now += time;
        send(tick{});
    }

    template<class action>
    std::vector<action> got() const
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
        for (const dispatch &each : got<dispatch>()) {
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

// Guards against requests that wait though a slot is free, overtake each other, or outlive their deadline in the queue.
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
        REQUIRE(s.got<finish>().size() == 1);
        CHECK(s.got<finish>()[0].outcome == attempt_outcome::Completed);
        CHECK(s.dispatched() == numbers{3});
    }
    SUBCASE("a cancelled queued request is never dispatched")
    {
        s.send(request_cancelled{3});
        REQUIRE(s.got<refuse>().size() == 1);
        CHECK(s.got<refuse>()[0].reason == refusal_reason::Cancelled);
        s.answer(1);
        CHECK(s.dispatched() == numbers{4});
    }
    SUBCASE("a cancelled running request frees its slot, and its late answer changes nothing")
    {
        s.send(request_cancelled{1});
        CHECK(s.got<finish>().size() == 1);
        CHECK(s.dispatched() == numbers{3});
        s.answer(1);
        CHECK(s.actions.empty());
        CHECK(s.scheduler.running() == 2);
    }
    SUBCASE("a request is refused when its deadline passes")
    {
        s.wait(60ms);
        REQUIRE(s.got<refuse>().size() == 1);
        CHECK(s.got<refuse>()[0].request == 3);
        CHECK(s.got<refuse>()[0].reason == refusal_reason::DeadlinePassed);
        CHECK(s.scheduler.queued() == 1);
    }
    SUBCASE("a target that left the view gets nothing new, and its requests are still counted")
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
    SUBCASE("an isolated entry dispatches nothing and says so at the deadline")
    {
        s.view.isolated = true;
        s.send(s.view);
        s.answer(1);
        CHECK(s.dispatched().empty());
        s.wait(60ms);
        REQUIRE(s.got<refuse>().size() == 1);
        CHECK(s.got<refuse>()[0].reason == refusal_reason::Isolated);
    }
}

// Guards against unbounded queues and against one team that takes the whole queue.
TEST_CASE("scheduler: bounded queues")
{
    scenario s(1, 1);
    s.view.config.queueLimit = 3;
    s.view.config.teamQueueLimit = 2;
    s.send(s.view);
    for (request_number number = 1; number <= 3; ++number) {
        s.arrive(number);
        CHECK(s.got<refuse>().empty());
    }
    s.arrive(4);
    REQUIRE(s.got<refuse>().size() == 1);
    CHECK(s.got<refuse>()[0].reason == refusal_reason::TeamOverLimit);
    s.arrive(5, 1s, "blue");
    CHECK(s.got<refuse>().empty());
    s.arrive(6, 1s, "blue");
    REQUIRE(s.got<refuse>().size() == 1);
    CHECK(s.got<refuse>()[0].reason == refusal_reason::Overloaded);
    CHECK(s.got<refuse>()[0].retryAfter > 0s);
}

// Guards against a second run of a request that may have run, and against retries on the target that just refused.
TEST_CASE("scheduler: outcomes of an attempt")
{
    struct outcome_case
    {
        attempt_outcome outcome;
        bool retried;
    };
    for (const outcome_case &tried : {outcome_case{attempt_outcome::Completed, false},
                                      {attempt_outcome::Failed, false},
                                      {attempt_outcome::Unknown, false},
                                      {attempt_outcome::Refused, true},
                                      {attempt_outcome::NotSent, true}}) {
        scenario s(2, 1);
        s.arrive(1);
        const std::string first = s.got<dispatch>().at(0).vm;
        s.answer(1, tried.outcome);
        std::vector<dispatch> later = s.got<dispatch>();
        const std::size_t finished = s.got<finish>().size();
        for (int step = 0; step < 10 && later.empty(); ++step) {
            s.wait(10ms);
            later = s.got<dispatch>();
        }
        CHECK(finished == (tried.retried ? 0 : 1));
        REQUIRE(later.size() == (tried.retried ? 1 : 0));
        CHECK((later.empty() || later[0].vm != first));
    }
}

// Guards against work that waits for a VM that will never exist.
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
    REQUIRE(s.got<refuse>().size() == 1);
    CHECK(s.got<refuse>()[0].reason == refusal_reason::NeverRunnable);
}

// Guards against an owner that moves more targets than those of the entry that came or went.
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
