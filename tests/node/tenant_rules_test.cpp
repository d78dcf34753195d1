#include "node/tenant_keys.h"
#include "node/tenant_rules.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace daisypass;

namespace {

sched::tenant_config tenantOf(const std::string &name, std::vector<std::string> keys, double weight = 1.0, sched::resources cap = {})
{
    return {name, std::move(keys), weight, cap};
}

} // namespace

// Guards against a tenant whose share is 0 or whose cap admits nothing because of a value that means nothing.
TEST_CASE("values of tenants that can't be used are replaced and told")
{
    SUBCASE("a valid list stays as it is")
    {
        std::vector<sched::tenant_config> tenants{tenantOf("north", {"k1", "k2"}, 3.5, {2'000, 512, 0}), tenantOf("south", {"k3"})};
        CHECK(correctTenants(tenants).empty());
        REQUIRE(tenants.size() == 2);
        CHECK(tenants[0].weight == 3.5);
        CHECK(tenants[0].cap.cpu == 2'000);
        CHECK(tenants[0].keys.size() == 2);
    }
    SUBCASE("a weight that isn't above 0 counts as 1")
    {
        for (const double weight : {0.0, -2.0, std::nan("")}) {
            CAPTURE(weight);
            std::vector<sched::tenant_config> tenants{tenantOf("north", {"k1"}, weight)};
            const std::vector<tenant_warning> warnings = correctTenants(tenants);
            REQUIRE(warnings.size() == 1);
            CHECK(warnings[0].problem == tenant_problem::WeightNotPositive);
            CHECK(warnings[0].tenant == "north");
            CHECK(tenants[0].weight == 1.0);
        }
    }
    SUBCASE("a negative part of a cap counts as no limit; its other parts stay")
    {
        std::vector<sched::tenant_config> tenants{tenantOf("north", {"k1"}, 1.0, {4'000, -1, 2})};
        const std::vector<tenant_warning> warnings = correctTenants(tenants);
        REQUIRE(warnings.size() == 1);
        CHECK(warnings[0].problem == tenant_problem::CapNegative);
        CHECK(tenants[0].cap.cpu == 4'000);
        CHECK(tenants[0].cap.memoryMb == 0);
        CHECK(tenants[0].cap.gpu == 2);
    }
    SUBCASE("a key of two tenants belongs to the first one")
    {
        std::vector<sched::tenant_config> tenants{tenantOf("north", {"k1"}), tenantOf("south", {"k1", "k2"})};
        const std::vector<tenant_warning> warnings = correctTenants(tenants);
        REQUIRE(warnings.size() == 1);
        CHECK(warnings[0].problem == tenant_problem::KeyOfAnotherTenant);
        CHECK(warnings[0].tenant == "south");
        CHECK(warnings[0].usedTenant == "north");
        const tenant_keys keys(tenants);
        CHECK(keys.tenantOf("k1") == "north");
        CHECK(keys.tenantOf("k2") == "south");
    }
    SUBCASE("two tenants of one name are one tenant with the keys of both")
    {
        std::vector<sched::tenant_config> tenants{tenantOf("north", {"k1"}, 2.0), tenantOf("north", {"k2"}, 5.0)};
        const std::vector<tenant_warning> warnings = correctTenants(tenants);
        REQUIRE(warnings.size() == 1);
        CHECK(warnings[0].problem == tenant_problem::NameTwice);
        REQUIRE(tenants.size() == 1);
        CHECK(tenants[0].weight == 2.0);
        CHECK(tenants[0].keys == std::vector<std::string>{"k1", "k2"});
    }
}

TEST_CASE("a tenant is found by each of its keys and by nothing else")
{
    const std::vector<sched::tenant_config> tenants{tenantOf("north", {"key-one", "key-two"}), tenantOf("south", {"key-three"})};
    const tenant_keys keys(tenants);
    CHECK(keys.tenantOf("key-one") == "north");
    CHECK(keys.tenantOf("key-two") == "north");
    CHECK(keys.tenantOf("key-three") == "south");
    for (const char *other : {"", "key", "key-on", "key-one ", "KEY-ONE", "north"}) {
        CAPTURE(other);
        CHECK_FALSE(keys.tenantOf(other));
    }
}
