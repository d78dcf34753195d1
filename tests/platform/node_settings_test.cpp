#include "platform/node_settings.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

constexpr const char *requiredSettings = "Node=n\nZone=z\nListen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\n"
                                         "platform.Address=127.0.0.1:3\nCloud.Address=127.0.0.1:4\n";

bool isAccepted(const std::string &line)
{
    failure reason;
    return parseNodeSettings(requiredSettings + line, "test.conf", reason).has_value();
}

} // namespace

// Guards against a bound that no number stands for: as a time it was 0 on arm64 and far below zero on x86-64.
TEST_CASE("a setting that is no finite amount is refused when the node starts")
{
    SUBCASE("ordinary numbers are accepted")
    {
        CHECK(isAccepted("Bounds.LeaseMs=3000"));
        CHECK(isAccepted("Bounds.MoveS=0.5"));
    }
    SUBCASE("what isn't a number")
    {
        CHECK_FALSE(isAccepted("Bounds.LeaseMs=nan"));
        CHECK_FALSE(isAccepted("Bounds.MoveS=nan"));
    }
    SUBCASE("infinity")
    {
        CHECK_FALSE(isAccepted("Bounds.LeaseMs=inf"));
        CHECK_FALSE(isAccepted("Bounds.MoveS=infinity"));
    }
    SUBCASE("times that don't fit in milliseconds")
    {
        CHECK_FALSE(isAccepted("Bounds.LeaseMs=1e19"));
        CHECK_FALSE(isAccepted("Bounds.MoveS=1e300"));
    }
}
