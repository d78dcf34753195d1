// Fleet changes through real processes: drains, graceful stops, configuration propagation, racing operators and controllers.

#include "integration/deployment.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <set>
#include <thread>

using namespace daisypass;
using namespace daisypass::integration;

namespace {

// Posts requests to the entries in turn until finish() or destruction.
class steady_load
{
public:
    steady_load(deployment &fleet, std::size_t entries, request_options options, std::chrono::milliseconds pause)
        : m_thread([this, &fleet, entries, options, pause] {
            for (std::size_t i = 0; !m_stopping; ++i) {
                m_pending.push_back(fleet.postLater(i % entries, "booking", options));
                std::this_thread::sleep_for(pause);
            }
        })
    {
    }

    ~steady_load()
    {
        finish();
    }

    /** Stops the load and returns all outcomes other than completed, one per line. */
    std::string finish()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        std::string others;
        for (std::future<submission_report> &each : m_pending) {
            const submission_report report = each.get();
            if (report.outcome != caller_outcome::Completed) {
                others += std::string(outcomeName(report.outcome)) + ' ' + report.reason + ' ' + report.token + '\n';
            }
        }
        m_pending.clear();
        return others;
    }

private:
    std::atomic<bool> m_stopping{false};
    std::vector<std::future<submission_report>> m_pending;
    std::thread m_thread;
};

bool reachesState(deployment &fleet, const std::string &vm, const std::string &state, std::size_t controller = 0)
{
    return waitUntil([&] {
        for (const nlohmann::json &each : fleet.status(controller).value("vms", nlohmann::json::array())) {
            if (each.value("vm", "") == vm) {
                return each.value("state", "") == state;
            }
        }
        return state == "removed";
    });
}

// Sends requests until one runs on the target. Returns its token, or an empty string if none did.
std::string runOnTarget(deployment &fleet, std::size_t target, const request_options &options)
{
    constexpr int maxAttempts = 12;
    for (int i = 0; i < maxAttempts; ++i) {
        const std::string token = fleet.newToken();
        fleet.postLater(static_cast<std::size_t>(i) % 3, "booking", options, token);
        if (!waitUntil([&] {
                return fleet.executionsOf(token) == 1;
            })) {
            return {};
        }
        if (fleet.runsOn(target, token)) {
            return token;
        }
    }
    return {};
}

std::uint64_t countCutOff(deployment &fleet, std::size_t targets)
{
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < targets; ++i) {
        count += fleet.targetStats(i).value("cut_off", std::uint64_t{0});
    }
    return count;
}

} // namespace

// Guards against new requests on a draining target, and against a removal that cuts off running requests.
TEST_CASE("a leaving target receives no new work after 3 s, at every entry")
{
    deployment fleet({.entries = 3});
    steady_load load(fleet, 3, {.runMs = 20}, std::chrono::milliseconds(5));
    // The long request keeps the target draining past the 3 s. Without it the drain ends within 1 s, too soon for a late request to arrive.
    const std::string longRequest = runOnTarget(fleet, 0, {.runMs = 7'000, .deadlineMs = 20'000, .requestClass = "long"});
    REQUIRE_FALSE(longRequest.empty());
    // The target has free slots beside the long request, so only the drain can keep new requests away.
    REQUIRE(waitUntil([&] {
        return fleet.targetStats(0).value("most_in_flight", 0) > 2;
    }));
    const std::string smaller = fleet.writeConfiguration("operator", {0});
    fleet.targetBehaviour(0, {{"leaving", true}});
    const std::chrono::steady_clock::time_point leavingSince = std::chrono::steady_clock::now();
    CHECK(fleet.apply(smaller) == 0);
    CHECK(reachesState(fleet, fleet.vmOf(0), "removed"));
    // The load goes on past the 3 s, so that a late request would be recorded.
    REQUIRE(waitUntil([&] {
        return std::chrono::steady_clock::now() - leavingSince > std::chrono::milliseconds(4'500);
    }));
    CHECK(load.finish() == "");
    for (const execution_record &run : fleet.executions()) {
        CHECK(run.afterLeavingMs.value_or(0) <= 3'000);
    }
    CHECK(countCutOff(fleet, 6) == 0);
    CHECK(fleet.check() == "");
}

// Guards against planned stops that cut off requests in flight.
TEST_CASE("planned stops are graceful")
{
    deployment fleet({.entries = 3});

    SUBCASE("of an entry")
    {
        std::vector<std::future<submission_report>> inFlight;
        for (int i = 0; i < 10; ++i) {
            inFlight.push_back(fleet.postLater(0, "booking", {.runMs = 800}));
        }
        REQUIRE(fleet.waitForInFlight(3));
        fleet.entry(0).process->requestStop();
        REQUIRE(waitUntil([&] {
            return !fleet.entryReady(0);
        }));
        for (std::future<submission_report> &each : inFlight) {
            CHECK(describe(each.get()) == "completed");
        }
        CHECK(fleet.entry(0).process->waitForExit() == 0);
        CHECK(describe(fleet.post(1, "booking")) == "completed");
        CHECK(waitUntil([&] {
            return fleet.status().value("entries", nlohmann::json::array()).size() == 2;
        }));
    }

    SUBCASE("of a VM that moves to another pool and is rebooted")
    {
        // Three requests in flight on average, which two VMs can serve while their slots still ramp up.
        steady_load load(fleet, 3, {.runMs = 150}, std::chrono::milliseconds(50));
        REQUIRE(waitUntil([&] {
            return fleet.targetStats(0).value("executions", 0) > 5;
        }));
        // This request is still in flight when the drain begins.
        const std::string longRequest = runOnTarget(fleet, 0, {.runMs = 3'000, .requestClass = "long"});
        REQUIRE_FALSE(longRequest.empty());
        const std::string directory = fleet.writeConfiguration("operator", {}, {0});
        CHECK(fleet.apply(directory) == 0);
        CHECK(waitUntil([&] {
            for (const nlohmann::json &vm : fleet.status().value("vms", nlohmann::json::array())) {
                if (vm.value("vm", "") == fleet.vmOf(0)) {
                    return vm.value("pool", "") == "grinder" && vm.value("state", "") == "serving";
                }
            }
            return false;
        }));
        CHECK(load.finish() == "");
        CHECK(fleet.targetStats(0).value("reboots", 0) == 1);
        CHECK(countCutOff(fleet, 6) == 0);
    }
    CHECK(fleet.check() == "");
}

// Guards against an entry that keeps an outdated configuration because its connection to the store is cut.
TEST_CASE("an entry cut off from the store follows the configuration within 11 s")
{
    deployment fleet({.entries = 3});
    fleet.entry(1).platform->set({.cut = true});
    const std::string smaller = fleet.writeConfiguration("operator", {0});
    // daisypassctl waits for every entry and fails after 11 s, the required limit.
    CHECK(fleet.apply(smaller, 0, 11'000) == 0);
    CHECK(describe(fleet.post(1, "booking")) == "completed");
    fleet.entry(1).platform->set({});
    CHECK(fleet.check() == "");
}

// Guards against lost updates: an operator's change that silently overwrites another's.
TEST_CASE("two operators race, and exactly one wins")
{
    deployment fleet({.entries = 2, .controllers = 2});
    const std::string base = fleet.directory() + "/operator/.daisypass-base";
    std::vector<std::string> directories;
    for (std::size_t i = 0; i < 2; ++i) {
        directories.push_back(fleet.writeConfiguration("racer-" + std::to_string(i), {i}));
        std::filesystem::copy_file(base, directories.back() + "/.daisypass-base");
    }
    std::vector<int> exitStatuses(2, -1);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < 2; ++i) {
        operators.emplace_back([&, i] {
            exitStatuses[i] = fleet.apply(directories[i], i, 0);
        });
    }
    for (std::thread &each : operators) {
        each.join();
    }
    constexpr int conflict = 3;
    CHECK(std::set<int>(exitStatuses.begin(), exitStatuses.end()) == std::set<int>{0, conflict});
}

// Guards against a controller that resumes after its lease has expired and acts on outdated state.
TEST_CASE("two controllers race, and one is frozen past its lease")
{
    deployment fleet({.entries = 2, .controllers = 2});
    const std::size_t holder = fleet.status(0).value("holds_lease", false) ? 0 : 1;
    const std::size_t other = 1 - holder;
    fleet.controller(holder).process->freeze();
    const std::string directory = fleet.writeConfiguration("operator", {}, {0});
    CHECK(fleet.apply(directory, other) == 0);
    CHECK(waitUntil([&] {
        return fleet.status(other).value("holds_lease", false);
    }));
    fleet.controller(holder).process->resume();
    for (std::size_t controller : {other, holder}) {
        CHECK(waitUntil([&] {
            for (const nlohmann::json &vm : fleet.status(controller).value("vms", nlohmann::json::array())) {
                if (vm.value("vm", "") == fleet.vmOf(0)) {
                    return vm.value("pool", "") == "grinder" && vm.value("state", "") == "serving";
                }
            }
            return false;
        }));
    }
    const nlohmann::json reboots = nlohmann::json::parse(fleet.call(fleet.platform(), "GET", "/admin/stats").response.body)["reboots"];
    std::set<std::string> operations;
    for (const nlohmann::json &each : reboots) {
        CHECK(operations.insert(each.value("operation", "")).second);
    }
    CHECK(countCutOff(fleet, 6) == 0);
    CHECK(describe(fleet.post(0, "grinder")) == "completed");
    CHECK(fleet.check() == "");
}
