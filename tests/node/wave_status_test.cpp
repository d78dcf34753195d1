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

    std::string storedStatus()
    {
        return value({statusTable, "", waveStatusKey(wave)});
    }
};

} // namespace

// Guards against a completed wave that is shown as running again. A write without an answer may be applied seconds later, and a
// former lease holder may still have one in flight.
TEST_CASE("a late write doesn't change a completed wave back to running")
{
    status_fixture status;
    SUBCASE("the wave was shown as running before")
    {
        CHECK(waveStatusIsWritten(status.write(false)));
        CHECK(status.storedStatus() == encodeWaveStatus(wave, false));
    }
    SUBCASE("the wave was not shown as running before")
    {
    }
    REQUIRE(waveStatusIsWritten(status.write(true)));
    CHECK(status.storedStatus() == encodeWaveStatus(wave, true));

    CHECK(waveStatusIsWritten(status.write(false)));
    CHECK(status.storedStatus() == encodeWaveStatus(wave, true));
}
