#include "node/wave_status.h"

#include "platform/records.h"
#include "store_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr std::int64_t wave = 3;

class status_fixture : public store_fixture
{
public:
    store_status write(bool completed)
    {
        return transact(waveStatusWrite(wave, completed));
    }

    std::string shown()
    {
        return value({statusTable, "", waveStatusKey(wave)});
    }
};

} // namespace

// A write without an answer may be carried out seconds later, and a holder that has lost the lease may still have one on its way.
TEST_CASE("a late write doesn't show a wave as running that has been shown as completed")
{
    status_fixture status;
    SUBCASE("the wave was shown as running before")
    {
        CHECK(waveStatusIsWritten(status.write(false)));
        CHECK(status.shown() == encodeWaveStatus(wave, false));
    }
    SUBCASE("the late write is the first that says so")
    {
    }
    REQUIRE(waveStatusIsWritten(status.write(true)));
    CHECK(status.shown() == encodeWaveStatus(wave, true));

    CHECK(waveStatusIsWritten(status.write(false)));
    CHECK(status.shown() == encodeWaveStatus(wave, true));
}
