#include "node/client_limits.h"

#include <doctest/doctest.h>

using namespace daisypass;

// Guards against limits that a client inside the platform's limits meets, or that leave nothing for the node itself.
TEST_CASE("the limits for clients follow from the machine's")
{
    node_settings settings;

    SUBCASE("a common machine takes hundreds of connections and several of the largest bodies")
    {
        settings.memoryMb = 260;
        settings.maxDescriptors = 4'100;
        const account_limits limits = clientLimits(settings);
        constexpr std::size_t largestBody = 262'144;
        constexpr std::size_t copies = 7;
        CHECK(limits.connections >= 500);
        CHECK(limits.bytes >= 30 * copies * largestBody);
        CHECK(limits.bytes <= std::size_t{130} << 20);
        CHECK(limits.requestBytes >= copies * largestBody);
        CHECK(2 * limits.connections <= settings.maxDescriptors - 200);
    }
    SUBCASE("few descriptors limit the connections")
    {
        settings.memoryMb = 260;
        settings.maxDescriptors = 600;
        CHECK(clientLimits(settings).connections == 200);
    }
    SUBCASE("little memory limits them too")
    {
        settings.memoryMb = 32;
        settings.maxDescriptors = 4'100;
        const account_limits limits = clientLimits(settings);
        CHECK(static_cast<std::size_t>(limits.connections) * connectionBytes <= limits.bytes / 2);
    }
}
