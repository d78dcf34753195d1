// Keys of tenants on daisypass-node processes: a key that was taken away is refused within the bound by every node.

#include "integration/platform_deployment.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace daisypass::integration;

namespace {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds revokeBound{2'000};
constexpr int taskMs = 150;
// Nodes read the directory of the others 0.3 s after their start and then every 4 s; with this, the second read is over.
constexpr std::chrono::milliseconds directoryKnown{4'800};
constexpr std::chrono::milliseconds callPause{20};
constexpr const char *tenantSettings = "Contracts=base,tenants\nBounds.StrictRevoke=true\nBounds.RevokeMs=2000\nBounds.ConfigApplyMs=1500\n";

json configurationWith(int version, const std::vector<std::string> &keys)
{
    const json route{{"Name", "queue-0"},
                     {"Host", "jobs.example"},
                     {"PathPrefix", "/queue-0/"},
                     {"Service", "pool-0"},
                     {"MaxAttempts", 3},
                     {"Stretch", 1.6},
                     {"TargetDurationMs", 600},
                     {"TimeoutMs", 3'000},
                     {"Public", false}};
    json open = route;
    open["Name"] = "open";
    open["PathPrefix"] = "/open/";
    open["Public"] = true;
    return {{"Version", version},
            {"Routes", {route, open}},
            {"Services", {{{"Name", "pool-0"}, {"HealthPath", "/health"}}, {{"Name", "spare"}, {"Spare", true}}}},
            {"Limits", {{"MaxBodyBytes", 262'144}}},
            {"Tenants", {{{"Name", "north"}, {"ApiKeys", keys}, {"Weight", 10}}}}};
}

/** Two nodes and a job of the tenant "north", which has a key that stays and one that is taken away. */
class tenant_deployment : public platform_deployment
{
public:
    tenant_deployment()
        : platform_deployment({.nodes = 2, .pools = 1, .spareVms = 0, .settings = tenantSettings, .storeProxies = true})
    {
        putConfiguration(configurationWith(2, {"kept-key", "lost-key"}));
        for (const std::size_t node : {0U, 1U}) {
            REQUIRE(waitUntil([&] {
                return statusWith("lost-key", node) == 410;
            }));
        }
        setKey("kept-key");
        m_job = submit(0, taskMs, 1);
        REQUIRE_FALSE(m_job.empty());
        REQUIRE(waitForPhase(0, m_job, "completed"));
    }

    /** Status of a GET for the job, or for a job that doesn't exist as long as there is none. */
    int statusWith(const std::string &key, std::size_t node)
    {
        setKey(key);
        return status("GET", node, "/queue-0/" + (m_job.empty() ? std::string("0123456789abcdef") : m_job));
    }

    void takeKeyAway()
    {
        putConfiguration(configurationWith(3, {"kept-key"}));
        m_takenAwayAt = steady::now();
    }

    /** Waits until each node knows the other one. */
    void waitForDirectory() const
    {
        std::this_thread::sleep_until(m_readyAt + directoryKnown);
    }

    void waitForBound() const
    {
        std::this_thread::sleep_until(m_takenAwayAt + revokeBound);
    }

private:
    std::string m_job;
    /** When the nodes were ready, so after their start. */
    steady::time_point m_readyAt = steady::now();
    steady::time_point m_takenAwayAt;
};

} // namespace

TEST_CASE("a key that is taken away is refused by nodes that reach the store")
{
    tenant_deployment platform;
    CHECK(platform.statusWith("lost-key", 0) == 200);
    CHECK(platform.statusWith("unknown-key", 1) == 401);
    CHECK(platform.statusWith("", 1) == 401);
    CHECK(platform.status("GET", 1, "/open/0123456789abcdef") == 410);
    platform.takeKeyAway();
    platform.waitForBound();
    for (const std::size_t node : {0U, 1U}) {
        CHECK(platform.statusWith("lost-key", node) == 401);
        CHECK(platform.statusWith("kept-key", node) == 200);
    }
    CHECK(platform.node(0).log().find("kept-key") == std::string::npos);
    CHECK(platform.node(0).log().find("unknown-key") == std::string::npos);
}

// Guards against a call with a revoked key that runs on a node which hasn't learned of the revocation (CONFIG, StrictRevoke).
TEST_CASE("a key that is taken away isn't let through by a node that can't learn of it")
{
    tenant_deployment platform;

    SUBCASE("because it is cut off from the store")
    {
        platform.waitForDirectory();
        platform.cutFromStore(1, true);
        platform.takeKeyAway();
        platform.waitForBound();
        const steady::time_point end = steady::now() + revokeBound;
        while (steady::now() < end) {
            const int refused = platform.statusWith("lost-key", 1);
            CHECK((refused == 401 || refused == 503));
            std::this_thread::sleep_for(callPause);
        }
        // Forwarded to the other node.
        CHECK(platform.statusWith("kept-key", 1) == 200);
        CHECK(platform.node(1).log().find("\"keys_not_fresh\"") != std::string::npos);
        platform.cutFromStore(1, false);
        CHECK(waitUntil([&] {
            return platform.node(1).log().find("\"keys_fresh\"") != std::string::npos;
        }));
    }
    SUBCASE("because it was frozen")
    {
        platform.node(1).freeze();
        platform.takeKeyAway();
        platform.waitForBound();
        platform.node(1).resume();
        const int refused = platform.statusWith("lost-key", 1);
        CHECK((refused == 401 || refused == 503));
    }
    CHECK(waitUntil([&] {
        return platform.statusWith("lost-key", 1) == 401 && platform.statusWith("kept-key", 1) == 200;
    }));
}
