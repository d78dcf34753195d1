#include "platform/records.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

std::int64_t durationOf(const std::string &seconds)
{
    failure reason;
    const std::string text = R"({"Wave":1,"Machines":["vm-1"],"Cap":1,"DurationS":)" + seconds + '}';
    const std::optional<sched::wave_request> wave = readWave("wave/1", text, reason);
    REQUIRE(wave);
    return wave->durationMs;
}

} // namespace

// Guards against a wave whose end was out of range: it was due long ago on x86-64, so that as many VMs as the cap allows were taken down at once.
TEST_CASE("a maintenance wave has a due time, however long it may take")
{
    constexpr std::int64_t aDayMs = 86'400'000;
    SUBCASE("an ordinary duration is kept")
    {
        CHECK(durationOf("20.5") == 20'500);
    }
    SUBCASE("a cap above all numbers of VMs is no cap of 0")
    {
        failure reason;
        const std::optional<sched::wave_request> wave = readWave("wave/1", R"({"Wave":1,"Machines":["vm-1"],"Cap":4294967296})", reason);
        REQUIRE(wave);
        CHECK(wave->cap >= 1);
    }
    SUBCASE("a duration beyond all dates is a long one")
    {
        for (const char *seconds : {"1e12", "9223372036854775807", "1e300"}) {
            CAPTURE(seconds);
            CHECK(durationOf(seconds) > 1'000 * aDayMs);
            CHECK(durationOf(seconds) <= 1'000'000 * aDayMs);
        }
    }
}
