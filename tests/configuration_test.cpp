#include "configuration_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass;

TEST_CASE("The example configurations are valid")
{
    for (const std::string &name : {std::string("brusilica"), std::string("redcumbre")}) {
        CAPTURE(name);
        std::vector<failure> failures;
        const std::optional<configuration> config = parseConfiguration(exampleFiles(name), failures);
        for (const failure &item : failures) {
            MESSAGE(describe(item));
        }
        REQUIRE(config);
        CHECK(config->pools.size() == 5);
        CHECK(config->vms.size() == 50);
    }
}
