#include "platform/node_settings.h"
#include "platform/records.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

constexpr const char *requiredSettings = "Node=n\nZone=z\nListen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\n"
                                         "platform.Address=127.0.0.1:3\nCloud.Address=127.0.0.1:4\n";

std::optional<node_settings> settingsWith(const std::string &lines)
{
    failure reason;
    return parseNodeSettings(requiredSettings + lines, "test.conf", reason);
}

sched::configuration_view configurationOf(const std::string &tenants)
{
    failure reason;
    const std::string text = R"({"Version":7,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","Service":"s","Public":true},)"
                             R"({"Name":"b","Host":"h","PathPrefix":"/b/","Service":"s","Public":false},)"
                             R"({"Name":"c","Host":"h","PathPrefix":"/c/","Service":"s"}],"Services":[{"Name":"s"}])"
        + tenants + '}';
    const std::optional<sched::configuration_view> view = readConfiguration(text, reason);
    REQUIRE(view);
    return *view;
}

} // namespace

TEST_CASE("tenants and public queues are read from the operator's configuration")
{
    SUBCASE("as the platform writes them; a tenant's priority has no meaning")
    {
        const sched::configuration_view view = configurationOf(
            R"(,"Tenants":[{"Name":"north","ApiKeys":["k1","k2"],"Priority":1,"Weight":180,"Cap":{"Cpu":5567766,"MemMb":14152320,"Gpu":0}}])");
        REQUIRE(view.tenants.size() == 1);
        CHECK(view.tenants[0].name == "north");
        CHECK(view.tenants[0].keys == std::vector<std::string>{"k1", "k2"});
        CHECK(view.tenants[0].weight == 180);
        CHECK(view.tenants[0].cap.cpu == 5'567'766);
        CHECK(view.tenants[0].cap.memoryMb == 14'152'320);
        CHECK(view.tenants[0].cap.gpu == 0);
        CHECK(view.queues[0].isPublic);
        CHECK_FALSE(view.queues[1].isPublic);
        CHECK_FALSE(view.queues[2].isPublic);
    }
    SUBCASE("a tenant without a weight counts as 1, one without a cap has no limit")
    {
        const sched::configuration_view view = configurationOf(R"(,"Tenants":[{"Name":"north","ApiKeys":["k1"]}])");
        REQUIRE(view.tenants.size() == 1);
        CHECK(view.tenants[0].weight == 1.0);
        CHECK(view.tenants[0].cap.cpu == 0);
        CHECK(view.tenants[0].cap.memoryMb == 0);
        CHECK(view.tenants[0].cap.gpu == 0);
    }
    SUBCASE("earlier deployments have none")
    {
        CHECK(configurationOf("").tenants.empty());
        CHECK(configurationOf(R"(,"Tenants":null)").tenants.empty());
    }
}

TEST_CASE("the settings say whether keys are needed and how long a revoked one may be let through")
{
    SUBCASE("a deployment without tenants")
    {
        const std::optional<node_settings> settings = settingsWith("Contracts=base,drain,tenants2\n");
        REQUIRE(settings);
        CHECK_FALSE(settings->requiresKeys);
        CHECK_FALSE(settings->strictRevocation);
    }
    SUBCASE("a deployment with tenants")
    {
        const std::optional<node_settings> settings
            = settingsWith("Contracts=base,tenants,quota\nBounds.StrictRevoke=true\nBounds.RevokeMs=4000\nBounds.ConfigApplyMs=2500\n");
        REQUIRE(settings);
        CHECK(settings->requiresKeys);
        CHECK(settings->strictRevocation);
        CHECK(settings->revocationMs == 4'000);
        CHECK(settings->configurationApplyMs == 2'500);
    }
    SUBCASE("a value of another type is told")
    {
        CHECK_FALSE(settingsWith("Bounds.StrictRevoke=perhaps\n"));
    }
}

TEST_CASE("a key is read from a bearer authorization only")
{
    CHECK(readKey("Bearer abc") == "abc");
    CHECK(readKey("bearer  abc ") == "abc");
    for (const char *other : {"", "abc", "Bearer", "Bearer ", "Bearerabc", "Basic abc"}) {
        CAPTURE(other);
        CHECK_FALSE(readKey(other));
    }
}

// Guards against a job that changes its tenant, or has none, after its submission was read back from the store.
TEST_CASE("a job's tenant is kept in its stored submission")
{
    failure reason;
    std::optional<sched::job_spec> job = readSubmission(R"({"Steps":[{"Count":1}],"tenant":"claimed by the caller"})", reason);
    REQUIRE(job);
    CHECK(job->tenant.empty());
    job->tenant = "north";
    const std::optional<sched::job_spec> read = readJob(writeJob(*job), reason);
    REQUIRE(read);
    CHECK(read->tenant == "north");
    job->tenant.clear();
    CHECK(writeJob(*job).find("tenant") == std::string::npos);
    CHECK(readJob(writeJob(*job), reason)->tenant.empty());
}
