// Requests through real processes: the whole path, and the outcomes that callers receive when a component fails.

#include "integration/deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisypass;
using namespace daisypass::integration;

namespace {

using report_list = std::vector<std::future<submission_report>>;

report_list postMany(deployment &fleet, std::size_t entry, const std::string &pool, int count, const request_options &options)
{
    report_list reports;
    for (int i = 0; i < count; ++i) {
        reports.push_back(fleet.postLater(entry, pool, options));
    }
    return reports;
}

int countOutcome(report_list &reports, caller_outcome outcome)
{
    int count = 0;
    for (std::future<submission_report> &each : reports) {
        count += each.get().outcome == outcome ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against components that pass their own tests but fail together.
TEST_CASE("a request passes from the caller through any entry to a target and back")
{
    deployment fleet({.entries = 3});
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const submission_report plain = fleet.post(entry, "booking");
        CHECK(describe(plain) == "completed");
        CHECK(plain.answer == attemptBody(plain.token, 1));

        const std::string key = "key-" + std::to_string(entry);
        const submission_report keyed = fleet.post(entry, "booking", {.key = key});
        CHECK(describe(keyed) == "completed");
        // The second submission of the key goes through another entry and gets the answer of the first run.
        const submission_report again = fleet.post((entry + 1) % 3, "booking", {.key = key}, keyed.token);
        CHECK(describe(again) == "completed");
        CHECK(again.answer == keyed.answer);
        CHECK(fleet.executionsOf(keyed.token) == 1);

        const std::string ticket = fleet.ticket(entry);
        REQUIRE_FALSE(ticket.empty());
        const submission_report ticketed = fleet.post(entry, "grinder", {.key = ticket});
        CHECK(describe(ticketed) == "completed");
        CHECK(fleet.post((entry + 1) % 3, "grinder", {.key = ticket}, ticketed.token).answer == ticketed.answer);
        CHECK(fleet.executionsOf(ticketed.token) == 1);
    }
    const submission_report unticketed = fleet.post(0, "grinder", {.key = "no-ticket"});
    CHECK(unticketed.outcome == caller_outcome::NotRun);
    CHECK(unticketed.reason == "ticket_required");
    CHECK(fleet.check() == "");
}

// Guards against a second run of a request whose entry died, and against a definite outcome where only "unknown" is correct.
TEST_CASE("an entry is killed with requests in flight")
{
    deployment fleet({.entries = 3});
    report_list inFlight;
    const std::string claimed = fleet.newToken();
    const std::string ticketed = fleet.newToken();
    const std::string ticket = fleet.ticket(0);
    inFlight.push_back(fleet.postLater(0, "booking", {.key = "claimed", .runMs = 1'500}, claimed));
    inFlight.push_back(fleet.postLater(0, "grinder", {.key = ticket, .runMs = 1'500}, ticketed));
    REQUIRE(fleet.waitForInFlight(2));
    // Some of these run and some are queued when the entry is killed. Their callers get no response in either case.
    for (int i = 0; i < 6; ++i) {
        inFlight.push_back(fleet.postLater(0, "booking", {.runMs = 1'500}));
    }
    REQUIRE(fleet.waitForInFlight(3));
    fleet.entry(0).process->kill();
    CHECK(countOutcome(inFlight, caller_outcome::Unknown) == 8);

    for (std::size_t entry : {std::size_t{1}, std::size_t{2}}) {
        CHECK(fleet.post(entry, "booking", {.key = "claimed", .deadlineMs = 1'000}, claimed).outcome == caller_outcome::Unknown);
        CHECK(fleet.post(entry, "grinder", {.key = ticket, .deadlineMs = 1'000}, ticketed).outcome == caller_outcome::Unknown);
    }
    REQUIRE(fleet.waitUntilIdle());
    CHECK(fleet.executionsOf(claimed) == 1);
    CHECK(fleet.executionsOf(ticketed) == 1);
    // The other entries take over the slots that the dead entry owned.
    report_list after = postMany(fleet, 1, "booking", 60, {.runMs = 20});
    CHECK(countOutcome(after, caller_outcome::Completed) == 60);
    CHECK(fleet.check() == "");
}

// Guards against an entry that resumes after a freeze and dispatches by its outdated membership view, also to a target that has begun to leave.
TEST_CASE("an entry is frozen past the bounds of its view and resumed")
{
    deployment fleet({.entries = 3});
    report_list before = postMany(fleet, 0, "booking", 3, {.runMs = 200});
    REQUIRE(fleet.waitForInFlight(3));
    // No drain begins while an entry is frozen, so this drain begins before the freeze. The long requests keep it from ending.
    report_list longRequests = postMany(fleet, 1, "booking", 9, {.runMs = 4'000, .deadlineMs = 20'000});
    CHECK(fleet.apply(fleet.writeConfiguration("operator", {0}), 0, 0) == 0);
    REQUIRE(waitUntil([&] {
        for (const nlohmann::json &vm : fleet.status().value("vms", nlohmann::json::array())) {
            if (vm.value("vm", "") == fleet.vmOf(0)) {
                return vm.value("state", "") != "serving";
            }
        }
        return true;
    }));
    fleet.entry(0).process->freeze();
    fleet.targetBehaviour(0, {{"leaving", true}});
    const std::chrono::steady_clock::time_point frozenAt = std::chrono::steady_clock::now();
    // These requests wait in the frozen entry's sockets, and their deadline passes there.
    report_list sentWhileFrozen = postMany(fleet, 0, "booking", 10, {.deadlineMs = 1'000});
    report_list elsewhere = postMany(fleet, 1, "booking", 60, {.runMs = 20});
    CHECK(countOutcome(elsewhere, caller_outcome::Completed) == 60);
    // The freeze lasts longer than the 3 s without contact after which an entry must stop dispatching.
    REQUIRE(waitUntil(
        [&] {
            return std::chrono::steady_clock::now() - frozenAt > std::chrono::milliseconds(4'500);
        },
        std::chrono::seconds(6)));
    fleet.entry(0).process->resume();
    CHECK(countOutcome(before, caller_outcome::Completed) == 3);
    CHECK(countOutcome(longRequests, caller_outcome::Completed) == 9);
    for (std::future<submission_report> &each : sentWhileFrozen) {
        each.wait();
    }
    CHECK(waitUntil([&] {
        return fleet.entryReady(0);
    }));
    report_list resumed = postMany(fleet, 0, "booking", 30, {.runMs = 20});
    CHECK(countOutcome(resumed, caller_outcome::Completed) == 30);
    for (const execution_record &run : fleet.executions()) {
        CHECK(run.afterLeavingMs.value_or(0) <= 3'000);
    }
    CHECK(fleet.check() == "");
}

// Guards against requests that run without a claim, run twice after a lost store response, or fail although they need no store.
TEST_CASE("the store is down, slow, or loses answers")
{
    deployment fleet({.entries = 2});

    SUBCASE("claims wait for an outage to end, and requests without a claim are served")
    {
        fleet.platformFaults({{"outage", true}});
        std::future<submission_report> waiting = fleet.postLater(0, "booking", {.key = "waits", .deadlineMs = 15'000});
        const submission_report late = fleet.post(0, "booking", {.key = "late", .deadlineMs = 500});
        CHECK(late.outcome == caller_outcome::NotRun);
        CHECK(late.reason == "store_unavailable");
        CHECK(describe(fleet.post(0, "booking")) == "completed");
        CHECK(describe(fleet.post(1, "grinder", {.key = fleet.ticket(1)})) == "completed");
        fleet.platformFaults({{"outage", false}});
        CHECK(describe(waiting.get()) == "completed");
    }

    SUBCASE("claims succeed on a slow store")
    {
        fleet.platformFaults({{"delay_ms", 400}});
        report_list reports;
        for (int i = 0; i < 20; ++i) {
            reports.push_back(fleet.postLater(static_cast<std::size_t>(i % 2), "booking", {.key = "slow-" + std::to_string(i)}));
        }
        CHECK(countOutcome(reports, caller_outcome::Completed) == 20);
    }

    SUBCASE("a claim whose response was lost is resolved and its request runs once")
    {
        for (int i = 0; i < 10; ++i) {
            fleet.platformFaults({{"lose_answers", 1}});
            const submission_report report = fleet.post(static_cast<std::size_t>(i % 2), "booking", {.key = "lost-" + std::to_string(i)});
            CHECK(describe(report) == "completed");
            CHECK(fleet.executionsOf(report.token) == 1);
        }
    }
    CHECK(fleet.check() == "");
}

// Guards against refused requests between a configuration's coming into force and its first serving target, and against tests that
// inject faults in that time.
TEST_CASE("a configuration is in force before its targets serve")
{
    SUBCASE("requests wait for the targets")
    {
        deployment fleet({.entries = 2, .apply = false, .leaseHeldElsewhere = true});
        CHECK(fleet.apply(fleet.writeConfiguration("operator")) == 0);
        CHECK(describe(fleet.post(0, "booking")) == "completed");
        CHECK(describe(fleet.post(1, "grinder", {.key = fleet.ticket(1)})) == "completed");
        CHECK(fleet.check() == "");
    }

    SUBCASE("the constructor of a deployment returns when the targets serve")
    {
        deployment fleet({.entries = 2, .leaseHeldElsewhere = true});
        fleet.platformFaults({{"outage", true}});
        CHECK(describe(fleet.post(0, "booking")) == "completed");
        CHECK(describe(fleet.post(1, "grinder", {.key = fleet.ticket(1)})) == "completed");
        CHECK(fleet.check() == "");
    }
}

// Guards against passing on a response that is truncated, late or of another request, and against a second run after such a response.
TEST_CASE("a target truncates answers, answers with another id or closes early")
{
    deployment fleet({.entries = 2, .bookingTargets = 2, .grinderTargets = 1});
    for (const char *mode : {"truncate", "wrong_id", "close"}) {
        CAPTURE(mode);
        fleet.targetBehaviour(0, {{"mode", mode}});
        fleet.targetBehaviour(1, {{"mode", mode}});
        for (bool repeatable : {false, true}) {
            const submission_report report = fleet.post(0, "booking", {.repeatable = repeatable});
            CHECK(report.outcome == caller_outcome::Unknown);
            CHECK(fleet.executionsOf(report.token) == 1);
        }
        const std::string token = fleet.newToken();
        const std::string key = std::string("key-") + mode;
        CHECK(fleet.post(0, "booking", {.key = key}, token).outcome == caller_outcome::Unknown);
        fleet.targetBehaviour(0, {{"mode", "normal"}});
        fleet.targetBehaviour(1, {{"mode", "normal"}});
        CHECK(fleet.post(1, "booking", {.key = key}, token).outcome == caller_outcome::Unknown);
        CHECK(fleet.executionsOf(token) == 1);
        // The next request must not read leftover bytes of a discarded connection.
        CHECK(waitUntil([&] {
            return fleet.post(0, "booking").outcome == caller_outcome::Completed;
        }));
    }
    CHECK(fleet.check() == "");
}

// Guards against cancelled requests that still run, keep their queue entry or slot, or are reported with a wrong outcome.
TEST_CASE("waves of cancellations")
{
    deployment fleet({.entries = 2, .bookingTargets = 2, .grinderTargets = 1});
    for (int wave = 0; wave < 2; ++wave) {
        std::vector<submission_report> accepted;
        for (int i = 0; i < 120; ++i) {
            accepted.push_back(fleet.post(static_cast<std::size_t>(i % 2), "booking", {.runMs = 400, .async = true}));
        }
        int cancelled = 0;
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            REQUIRE_FALSE(accepted[i].requestId.empty());
            // Half of the cancellations go to the entry that did not accept the request.
            const endpoint &server = fleet.entry(i / 2 % 2).callers;
            const http_result answer = fleet.call(server, "DELETE", "/v1/requests/" + accepted[i].requestId);
            if (answer.response.status == 200) {
                ++cancelled;
                CHECK(fleet.executionsOf(accepted[i].token) == 0);
            }
        }
        CHECK(cancelled > 0);
        REQUIRE(fleet.waitUntilIdle());
        for (const submission_report &each : accepted) {
            const http_result outcome = fleet.call(fleet.entry(0).callers, "GET", "/v1/requests/" + each.requestId);
            submission_report report = each;
            readOutcome(outcome, report);
            CHECK((report.outcome == caller_outcome::NotRun) == (fleet.executionsOf(each.token) == 0));
        }
    }
    CHECK(describe(fleet.post(0, "booking")) == "completed");
    CHECK(fleet.check() == "");
}

// Guards against a request whose status only the accepting entry can return.
TEST_CASE("an asynchronous request is followed through another entry")
{
    deployment fleet({.entries = 2});
    const submission_report accepted = fleet.post(0, "booking", {.runMs = 300, .async = true});
    REQUIRE_FALSE(accepted.requestId.empty());
    const std::string path = "/v1/requests/" + accepted.requestId;
    CHECK(findHeader(fleet.call(fleet.entry(1).callers, "GET", path).response.headers, "Daisypass-Outcome") != "completed");
    submission_report report = accepted;
    CHECK(waitUntil([&] {
        readOutcome(fleet.call(fleet.entry(1).callers, "GET", path), report);
        return report.outcome == caller_outcome::Completed;
    }));
    CHECK(report.answer == attemptBody(accepted.token, 1));

    SUBCASE("after the accepting entry has stopped gracefully")
    {
        fleet.entry(0).process->requestStop();
        CHECK(fleet.entry(0).process->waitForExit() == 0);
        submission_report later = accepted;
        readOutcome(fleet.call(fleet.entry(1).callers, "GET", path), later);
        CHECK(describe(later) == "completed");
        CHECK(later.answer == report.answer);
    }
    CHECK(fleet.executionsOf(accepted.token) == 1);
}
