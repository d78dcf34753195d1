// Tests of the modules of pool_scheduler: queues, deadlines, run times, target health, loans, policies.

#include "kernel/band_queues.h"
#include "kernel/deadline_wheel.h"
#include "kernel/loan_reserves.h"
#include "kernel/policy_registry.h"
#include "kernel/retry_budget.h"
#include "kernel/slot_borrower.h"
#include "kernel/slot_ledger.h"
#include "kernel/target_health.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

request_index addRequest(request_table &table, request_number number, std::uint32_t team, float work = 1)
{
    const request_index index = table.insert(number);
    table[index].team = team;
    table[index].work = work;
    return index;
}

const std::function<bool(request_index)> acceptAll = [](request_index) {
    return true;
};

view_changed viewOf(const std::string &self, const std::vector<std::string> &owners, int slots = 8)
{
    view_changed view;
    view.self = self;
    view.config.slotsPerTarget = slots;
    for (std::size_t target = 0; target < owners.size(); ++target) {
        view.targets.push_back({"t" + std::to_string(target), owners[target], {}, {}});
    }
    return view;
}

const std::function<bool(target_index)> acceptAllTargets = [](target_index) {
    return true;
};

} // namespace

// Guards against a team that gets more than its weighted share, and against calls of choose() without a free slot that advance the turn.
TEST_CASE("team_queue: service by weight")
{
    request_table table;
    team_queue queue(table);
    queue.setWeights({1, 2, 4});
    for (request_number number = 0; number < 3000; ++number) {
        queue.push(addRequest(table, number + 1, number % 3), number % 3);
    }
    const auto acceptNone = [](request_index) {
        return false;
    };
    std::map<std::uint32_t, int> served;
    for (int count = 0; count < 1400; ++count) {
        CHECK(queue.choose(acceptNone) == noRequest);
        const request_index index = queue.choose(acceptAll);
        const std::uint32_t team = table[index].team;
        queue.take(index, team, 2);
        ++served[team];
    }
    CHECK(served[0] >= 196);
    CHECK(served[0] <= 204);
    CHECK(served[1] >= 392);
    CHECK(served[1] <= 408);
    CHECK(served[2] >= 792);
}

// Guards against a team that blocks the others because its first request fits no target.
TEST_CASE("team_queue: a team whose first request fits no target is skipped")
{
    request_table table;
    team_queue queue(table);
    const request_index blocked = addRequest(table, 1, 0);
    const request_index other = addRequest(table, 2, 1);
    queue.push(blocked, 0);
    queue.push(other, 1);
    const auto notBlocked = [&](request_index index) {
        return index != blocked;
    };
    CHECK(queue.choose(notBlocked) == other);
    queue.take(other, 1, 1);
    CHECK(queue.choose(notBlocked) == noRequest);
    CHECK(queue.size() == 1);
    CHECK(queue.work() == doctest::Approx(1));
    queue.remove(blocked, 0);
    CHECK(queue.choose(acceptAll) == noRequest);
    CHECK(queue.work() == 0);
}

// Guards against deadlines that are missed after a long pause or where the wheel wraps around, or that are reported a revolution early.
TEST_CASE("deadline_wheel: every deadline is found once it has passed")
{
    for (const duration pause : {duration(10ms), duration(3s), duration(60s)}) {
        request_table table;
        deadline_wheel wheel(table);
        std::vector<request_index> due;
        wheel.collect(1s, due);
        std::map<request_index, timestamp> pending;
        for (request_number number = 1; number <= 500; ++number) {
            const request_index index = table.insert(number);
            table[index].deadline = 500ms + duration(number * 61'000);
            wheel.add(index);
            pending[index] = table[index].deadline;
        }
        for (timestamp now = 1s; now < 120s; now += pause) {
            due.clear();
            wheel.collect(now, due);
            for (request_index index : due) {
                CHECK(pending.at(index) <= now);
                wheel.remove(index);
                pending.erase(index);
            }
            for (const std::pair<const request_index, timestamp> &left : pending) {
                // Some deadlines have already passed when the request is added at 1 s.
                CHECK(std::max(left.second, timestamp(1s)) > now - 10ms);
            }
        }
        CHECK(pending.empty());
    }
}

// Guards against bands that follow the declared class instead of the observed run times.
TEST_CASE("run_time_model: bands")
{
    const band_order order;
    run_time_model model;
    const std::uint32_t lookup = model.classNumber("red", "lookup");
    const std::uint32_t report = model.classNumber("red", "report");
    CHECK(model.band(report, order) == ShortBand);

    for (int count = 0; count < 20; ++count) {
        model.observe(lookup, 20ms);
    }
    SUBCASE("each bound belongs to the longer band")
    {
        struct band_case
        {
            duration runTime;
            run_band band;
        };
        for (const band_case &testCase : {band_case{100ms, ShortBand}, {158ms, ShortBand}, {162ms, MediumBand}, {1270ms, MediumBand}, {1290ms, LongBand}}) {
            run_time_model fresh = model;
            fresh.observe(report, testCase.runTime);
            CHECK(fresh.band(report, order) == testCase.band);
            CHECK(fresh.bandOfElapsed(testCase.runTime, order) == testCase.band);
        }
    }
    SUBCASE("a class without an estimate is limited like long work")
    {
        CHECK(model.band(report, order) == LongBand);
        model.observeRunning(report, 200ms);
        CHECK(model.band(report, order) == MediumBand);
    }
    SUBCASE("a team that declares a wrong class changes only its own estimate")
    {
        const std::uint32_t misdeclared = model.classNumber("blue", "lookup");
        CHECK(model.band(misdeclared, order) == ShortBand);
        for (int count = 0; count < 5; ++count) {
            model.observe(misdeclared, 10s);
        }
        CHECK(model.band(misdeclared, order) == LongBand);
        CHECK(model.band(lookup, order) == ShortBand);
    }
    SUBCASE("the number of classes is bounded, whatever names callers use")
    {
        for (int number = 0; number < 5000; ++number) {
            CHECK(model.classNumber("red", "made-up-" + std::to_string(number)) < run_time_model::maxClasses);
        }
    }
}

// Guards against long work that starves, and against long work that occupies the slots of short work.
TEST_CASE("band_queues: which request starts next")
{
    request_table table;
    run_time_model model;
    band_queues queues(table, model, band_order{});
    const std::uint32_t shortClass = model.classNumber("red", "lookup");
    const std::uint32_t longClass = model.classNumber("red", "batch");
    model.observe(shortClass, 20ms);
    model.observe(longClass, 10s);
    const request_index shortRequest = addRequest(table, 1, 0);
    const request_index longRequest = addRequest(table, 2, 0);
    table[shortRequest].runClass = shortClass;
    table[longRequest].runClass = longClass;
    queues.push(longRequest);
    queues.push(shortRequest);
    slot_use use;
    use.usable = 80;
    use.longShareBase = 80;
    struct order_case
    {
        int longRunning;
        double demand;
        bool shortQueued;
        request_index expected;
    };
    const order_case cases[] = {
        {0, 0, true, longRequest},
        {4, 0, true, longRequest},
        {5, 0, true, shortRequest},
        {39, 0, false, longRequest},
        {40, 0, false, noRequest},
        {22, 36, false, longRequest},
        {26, 36, false, noRequest},
    };
    for (const order_case &testCase : cases) {
        if (!testCase.shortQueued && queues.size() == 2) {
            queues.remove(shortRequest);
        }
        use.running[LongBand] = testCase.longRunning;
        use.shorterDemand = testCase.demand;
        CHECK(queues.choose(use, acceptAll) == testCase.expected);
    }
    queues.setPolicy(arrival_order{});
    CHECK(queues.size() == 1);
    CHECK(queues.choose(use, acceptAll) == longRequest);
}

// Guards against ejection after random failures, ejection of most of a pool, and targets that never return.
TEST_CASE("target_health: ejection and return")
{
    target_health health;
    health.setLimit(1);
    timestamp now = 100s;
    const auto failTimes = [&](target_index target, int count) {
        std::optional<health_change> change;
        for (int failure = 0; failure < count; ++failure) {
            change = health.recordOutcome(target, attempt_outcome::Failed, now);
        }
        return change;
    };
    CHECK(failTimes(0, 7) == std::nullopt);
    SUBCASE("a success in between keeps a target in service")
    {
        health.recordOutcome(0, attempt_outcome::Completed, now);
        CHECK(failTimes(0, 7) == std::nullopt);
        CHECK(health.permits(0, 5, now));
    }
    SUBCASE("the cool-down doubles up to 60 s and ends with one probe")
    {
        CHECK(failTimes(0, 1) == health_change::Ejected);
        for (const duration expected : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
            CHECK(health.coolDown(0) == expected);
            CHECK_FALSE(health.permits(0, 0, now + expected - 1ms));
            CHECK(failTimes(0, 3) == std::nullopt);
            now += expected;
            CHECK(health.permits(0, 0, now));
            CHECK_FALSE(health.permits(0, 1, now));
            CHECK(failTimes(0, 1) == health_change::Ejected);
        }
        CHECK(health.recordOutcome(0, attempt_outcome::Completed, now) == health_change::Restored);
        CHECK(health.permits(0, 7, now));
    }
    SUBCASE("no more than the limit is ejected")
    {
        CHECK(failTimes(0, 1) == health_change::Ejected);
        CHECK(failTimes(1, 100) == std::nullopt);
        CHECK(health.permits(1, 7, now));
        health.reset(0);
        CHECK(failTimes(1, 1) == health_change::Ejected);
    }
    SUBCASE("refusals say nothing about health")
    {
        for (int count = 0; count < 100; ++count) {
            health.recordOutcome(0, attempt_outcome::Refused, now);
        }
        CHECK(health.permits(0, 7, now));
    }
}

// Guards against slots that are used by the lender and the borrower at the same time, or after the loan expires.
TEST_CASE("slot_ledger: loans")
{
    slot_ledger owner(lent_slots{});
    slot_ledger borrower(lent_slots{});
    owner.update(viewOf("a", {"a"}));
    borrower.update(viewOf("b", {"a"}));
    timestamp now = 100s;
    owner.start(0, now);
    const std::vector<slot_grant> grants = owner.lend("b", 10, now, acceptAllTargets);
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].count == 7);
    CHECK(grants[0].expires == now + 1s);
    CHECK(owner.available(0, now, {}) == 0);
    CHECK(owner.lend("c", 1, now, acceptAllTargets).empty());
    borrower.borrow({"a", grants}, now);
    CHECK(borrower.available(0, now, {}) == 7);
    borrower.start(0, now);

    SUBCASE("a loan ends at the borrower before it ends at the lender")
    {
        now += 1s;
        CHECK(borrower.available(0, now, {}) == -1);
        CHECK(owner.available(0, now, {}) == 0);
        CHECK(owner.available(0, now + 20ms, {}) == 7);
    }
    SUBCASE("a request in flight on an expired loan counts against the next one")
    {
        now += 2s;
        borrower.expire(now);
        borrower.borrow({"a", {{"t0", 1, now + 1s}}}, now);
        CHECK(borrower.available(0, now, {}) == 0);
    }
    SUBCASE("a loan that ends before the request would is not used")
    {
        CHECK(borrower.available(0, now + 900ms, 50ms) == 6);
        CHECK(borrower.available(0, now + 960ms, 50ms) <= 0);
    }
    SUBCASE("unused slots are returned to the lender")
    {
        CHECK(borrower.releaseIdle(now + 1ms).empty());
        const std::map<std::string, std::vector<slot_grant>> released = borrower.releaseIdle(now + 10ms);
        REQUIRE(released.count("a") == 1);
        CHECK(released.at("a")[0].count == 6);
        CHECK(borrower.available(0, now, {}) == 0);
        owner.reclaim({"b", released.at("a")});
        CHECK(owner.available(0, now, {}) == 6);
    }
    SUBCASE("a borrower stops using loans of a target that changed its owner")
    {
        borrower.update(viewOf("b", {"c"}));
        CHECK(borrower.available(0, now, {}) == -1);
        borrower.borrow({"a", {{"t0", 1, now + 1s}}}, now);
        CHECK(borrower.available(0, now, {}) == -1);
    }
    SUBCASE("grants with a count that isn't positive, or of an unknown target, are ignored")
    {
        borrower.borrow({"a", {{"t0", 0, now + 1s}, {"t0", -5, now + 1s}, {"t9", 1, now + 1s}}}, now);
        CHECK(borrower.available(0, now, {}) == 6);
    }
}

// Guards against a target that gets its full load immediately after its return to service.
TEST_CASE("slot_ledger: slots ramp up after a return")
{
    slot_ledger ledger(lent_slots{});
    view_changed view = viewOf("a", {"a"});
    view.targets[0].servingSince = 100s;
    ledger.update(view);
    struct ramp_case
    {
        timestamp now;
        int slots;
    };
    for (const ramp_case &testCase : {ramp_case{99s, 1}, {100s, 1}, {102s, 1}, {102500ms, 2}, {105s, 4}, {109900ms, 7}, {110s, 8}, {200s, 8}}) {
        CHECK(ledger.available(0, testCase.now, {}) == testCase.slots);
    }
}

// Guards against static shares whose sum differs from the target's slots.
TEST_CASE("slot_ledger: the static shares add up to the slots of the target")
{
    for (int entryCount = 1; entryCount <= 12; ++entryCount) {
        view_changed view = viewOf("", {"x", "x", "x"});
        for (int entry = 0; entry < entryCount; ++entry) {
            view.entries.push_back("e" + std::to_string(entry));
        }
        std::vector<int> total(3);
        for (const std::string &entry : view.entries) {
            slot_ledger ledger(static_slot_shares{});
            view.self = entry;
            ledger.update(view);
            for (target_index target = 0; target < 3; ++target) {
                total[target] += ledger.available(target, 100s, {});
            }
        }
        CHECK(total == std::vector<int>(3, 8));
    }
}

// Guards against starvation, during a peak, of requests at an entry that owns no target.
TEST_CASE("loan_reserves: the slots that an owner reserves for peers")
{
    slot_ledger ledger(lent_slots{});
    ledger.update(viewOf("a", {"a", "a", "a", "b"}));
    loan_reserves reserves;
    reserves.setView("a", 2);
    reserves.addPeer("b");
    reserves.addPeer("c");
    // 32 slots and 3 entries: a owns 24 slots, b 8 and c none. The equal part is 10.7, so b is entitled to 2.7 slots of a and c to 10.7.
    reserves.reserve("c", 100, ledger, 100s);
    reserves.reserve("b", 100, ledger, 100s);
    CHECK(reserves.reserved(100s) == 14);
    CHECK(reserves.reservedForOthers("c", 100s) == 3);
    CHECK(reserves.reserved(101s) == 0);
    reserves.reserve("c", 2, ledger, 100s);
    CHECK(reserves.reservedForOthers("b", 100s) == 2);
    ledger.lend("c", 11, 100s, acceptAllTargets);
    reserves.reserve("c", 100, ledger, 100s);
    CHECK(reserves.reservedForOthers("b", 100s) == 0);
}

// Guards against peers that are asked without backoff, or never again after a lost answer.
TEST_CASE("slot_borrower: which peers are asked and when")
{
    slot_borrower borrower;
    borrower.setOwners({"b", "c"});
    timestamp now = 100s;
    borrower.recordPeerLoad({"c", 0, 5, {}});
    const std::vector<borrow_slots> first = borrower.requestSlots(4, now);
    REQUIRE(first.size() == 1);
    CHECK(first[0].peer == "c");
    CHECK(first[0].count == 4);
    CHECK(borrower.requestSlots(4, now).empty());

    SUBCASE("each empty answer increases the backoff before the next request")
    {
        duration before{};
        for (int round = 0; round < 5; ++round) {
            borrower.recordAnswer({"c", {}}, now);
            borrower.setOwners({"c"});
            duration waited{};
            while (borrower.requestSlots(1, now + waited).empty()) {
                waited += 1ms;
            }
            CHECK(waited >= before);
            CHECK(waited <= 20ms);
            before = waited;
            now += waited;
        }
        CHECK(before == 20ms);
    }
    SUBCASE("a peer is asked again when its answer is lost")
    {
        CHECK(borrower.requestSlots(1, now + 499ms).empty());
        CHECK(borrower.requestSlots(1, now + 500ms).size() == 1);
    }
}

// Guards against retries that multiply the load on a pool that refuses all requests.
TEST_CASE("retry_budget: retries are limited to a tenth of the requests")
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        budget.addRequest();
        while (budget.take()) {
            ++retries;
        }
    }
    CHECK(retries >= 1000);
    CHECK(retries <= 1064);
}

// Guards against a source file of policies that isn't linked into the program.
TEST_CASE("policies: all names are registered")
{
    CHECK(policyNames<scheduling_policy>() == std::vector<std::string>{"bands", "fifo"});
    CHECK(policyNames<slot_policy>() == std::vector<std::string>{"lend", "pool-owner", "refusal-only", "static-shares"});
    CHECK_FALSE(findPolicy<slot_policy>("unheard-of").has_value());
}
