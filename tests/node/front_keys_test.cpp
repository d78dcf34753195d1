#include "front_fixture.h"

#include "base/clock.h"
#include "node/tables.h"
#include "platform/records.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr const char *job = "0123456789abcdef";
constexpr const char *jobPath = "/book/0123456789abcdef";
constexpr const char *jobBody = R"({"Steps":[{"Count":1}]})";

const sched::tenant_config north{"north", {"north-key"}, 1.0, {}};
const sched::tenant_config south{"south", {"south-key"}, 1.0, {}};

/** A node's front with two tenants, whose knowledge of the keys is as old as given. */
class keyed_front : public front_fixture
{
public:
    explicit keyed_front(bool strict = false, int forwardedStatus = 0)
        : front_fixture(forwardedStatus)
        , m_lease(std::make_shared<key_lease>(rulesFor(strict)))
    {
        front().useKeys(rulesFor(strict), m_lease);
        configure(configurationWith(2, {north, south}));
    }

    void confirm(sched::time_ms ageMs = 0)
    {
        m_lease->confirm(steadyMillis() - ageMs);
    }

    int status(const std::string &method, const std::string &path, const std::string &key, const std::string &body = {})
    {
        setKey(key);
        return request(method, path, body).status;
    }

    std::string storedTenant()
    {
        failure reason;
        const std::optional<sched::job_spec> stored = readJob(value(tables::jobRow(job)), reason);
        return stored ? stored->tenant : "(no such job)";
    }

private:
    static key_rules rulesFor(bool strict)
    {
        key_rules rules;
        rules.strictRevocation = strict;
        return rules;
    }

    std::shared_ptr<key_lease> m_lease;
};

} // namespace

TEST_CASE("a call of a queue that isn't public needs the key of a tenant")
{
    keyed_front node;
    node.confirm();

    SUBCASE("a missing or unknown key is refused at once, on every method and path of the queue")
    {
        for (const char *key : {"", "other-key", "north-ke", "north-key2"}) {
            CAPTURE(key);
            CHECK(node.status("POST", jobPath, key, jobBody) == 401);
            CHECK(node.status("GET", jobPath, key) == 401);
            CHECK(node.status("DELETE", jobPath, key) == 401);
            CHECK(node.status("PUT", jobPath, key) == 401);
            CHECK(node.status("GET", "/book/", key) == 401);
            CHECK(node.status("GET", "/book/not-an-id", key) == 401);
        }
        CHECK(node.value(tables::jobRow(job)).empty());
        CHECK(node.forwardedRequests() == 0);
        const std::string metrics = node.metrics().render();
        CHECK(metrics.find("daisypass_keys_refused_total{reason=\"key_missing\"} 6") != std::string::npos);
        CHECK(metrics.find("daisypass_keys_refused_total{reason=\"key_unknown\"} 18") != std::string::npos);
        CHECK(metrics.find("other-key") == std::string::npos);
    }
    SUBCASE("a refusal names the scheme of keys")
    {
        CHECK(findHeader(node.request("GET", jobPath).headers, "WWW-Authenticate") == "Bearer");
    }
    SUBCASE("a queue that doesn't exist isn't there for any key")
    {
        CHECK(node.status("GET", "/none/0123456789abcdef", "") == 404);
        CHECK(node.status("GET", "/none/0123456789abcdef", "north-key") == 404);
    }
    SUBCASE("a job is stored with its tenant")
    {
        CHECK(node.status("POST", jobPath, "south-key", jobBody) == 200);
        CHECK(node.storedTenant() == "south");
        CHECK(node.status("GET", jobPath, "south-key") == 200);
    }
    SUBCASE("a public queue needs none, and its jobs have no tenant")
    {
        sched::configuration_view view = front_fixture::configurationWith(3, {north, south});
        view.queues[0].isPublic = true;
        node.configure(view);
        CHECK(node.status("POST", jobPath, "", jobBody) == 200);
        CHECK(node.storedTenant().empty());
        CHECK(node.status("GET", jobPath, "") == 200);
        CHECK(node.status("DELETE", jobPath, "") == 200);
        CHECK(node.status("GET", "/grind/0123456789abcdef", "") == 401);
    }
    SUBCASE("a call that another node has forwarded is checked again")
    {
        node.setForwardedByOtherNode();
        CHECK(node.status("POST", jobPath, "other-key", jobBody) == 401);
        CHECK(node.status("POST", jobPath, "north-key", jobBody) == 200);
    }
}

// Guards against deployments without tenants whose calls would be refused because they carry no key.
TEST_CASE("a deployment without tenants needs no keys, unless its settings demand them")
{
    front_fixture node;
    CHECK(node.request("POST", jobPath, jobBody).status == 200);
    node.setKey("any");
    CHECK(node.request("GET", jobPath).status == 200);

    const std::shared_ptr<key_lease> lease = std::make_shared<key_lease>(key_rules{});
    lease->confirm(steadyMillis());
    key_rules rules;
    rules.alwaysRequired = true;
    node.front().useKeys(rules, lease);
    CHECK(node.request("GET", jobPath).status == 401);
}

TEST_CASE("keys and tenants change with the configuration, and jobs stay their tenant's")
{
    keyed_front node;
    node.confirm();
    REQUIRE(node.status("POST", jobPath, "north-key", jobBody) == 200);

    SUBCASE("a key that a version adds is let through, one that it removes isn't")
    {
        CHECK(node.status("GET", jobPath, "new-key") == 401);
        node.configure(front_fixture::configurationWith(3, {{"north", {"new-key"}, 1.0, {}}, south}));
        CHECK(node.status("GET", jobPath, "new-key") == 200);
        CHECK(node.status("GET", jobPath, "north-key") == 401);
    }
    SUBCASE("the tenant that has lost its key cancels its job with the next one")
    {
        node.configure(front_fixture::configurationWith(3, {{"north", {"new-key"}, 1.0, {}}, south}));
        CHECK(node.status("DELETE", jobPath, "new-key") == 200);
    }
    SUBCASE("a job outlives its tenant")
    {
        node.configure(front_fixture::configurationWith(3, {south}));
        CHECK(node.storedTenant() == "north");
        CHECK(node.status("GET", jobPath, "south-key") == 200);
        CHECK(node.status("DELETE", jobPath, "south-key") == 200);
    }
    SUBCASE("a second submission of the job under another key doesn't change its tenant")
    {
        CHECK(node.status("POST", jobPath, "south-key", jobBody) == 200);
        CHECK(node.storedTenant() == "north");
    }
    // Guards against a tenant that cancels the jobs of others.
    SUBCASE("another tenant can't cancel it, nor can a public queue's caller")
    {
        CHECK(node.status("DELETE", jobPath, "south-key") == 403);
        sched::configuration_view view = front_fixture::configurationWith(3, {north, south});
        view.queues[1].isPublic = true;
        node.configure(view);
        CHECK(node.status("DELETE", "/grind/0123456789abcdef", "") == 403);
        CHECK(node.value(tables::cancelRow(job)).empty());
    }
    SUBCASE("without a key it can be cancelled once its own queue needs none")
    {
        sched::configuration_view view = front_fixture::configurationWith(3, {north, south});
        view.queues[0].isPublic = true;
        node.configure(view);
        CHECK(node.status("DELETE", jobPath, "") == 200);
    }
}

// Guards against a call with a revoked key that runs on a node which can't learn of the revocation (CONFIG, StrictRevoke).
TEST_CASE("a node whose knowledge of the keys is too old for a strict revocation decides nothing by it")
{
    SUBCASE("known and unknown keys are refused as not run, and counted")
    {
        keyed_front node(true);
        node.confirm(6'000);
        const http_response answer = [&node] {
            node.setKey("north-key");
            return node.request("POST", jobPath, jobBody);
        }();
        CHECK(answer.status == 503);
        CHECK(findHeader(answer.headers, "Retry-After") == "1");
        CHECK(node.status("GET", jobPath, "other-key") == 503);
        CHECK(node.status("DELETE", jobPath, "") == 503);
        CHECK(node.value(tables::jobRow(job)).empty());
        CHECK(node.metrics().render().find("daisypass_keys_refused_total{reason=\"keys_not_fresh\"} 3") != std::string::npos);
        node.confirm();
        CHECK(node.status("POST", jobPath, "north-key", jobBody) == 200);
    }
    SUBCASE("the call is forwarded, so that a node with fresh knowledge serves it")
    {
        keyed_front node(true, 200);
        node.confirm(6'000);
        CHECK(node.status("POST", jobPath, "north-key", jobBody) == 200);
        CHECK(node.forwardedRequests() == 1);
        CHECK(node.value(tables::jobRow(job)).empty());
    }
    SUBCASE("a forwarded call isn't let through either")
    {
        keyed_front node(true);
        node.confirm(6'000);
        node.setForwardedByOtherNode();
        CHECK(node.status("POST", jobPath, "north-key", jobBody) == 503);
    }
    SUBCASE("public queues are served on")
    {
        keyed_front node(true);
        sched::configuration_view view = front_fixture::configurationWith(3, {north, south});
        view.queues[0].isPublic = true;
        node.configure(view);
        CHECK(node.status("POST", jobPath, "", jobBody) == 200);
    }
}
