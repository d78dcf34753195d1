#include "platform/records.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace daisypass;

namespace {

std::optional<sched::executor_entry> entryWith(const std::string &capacity)
{
    failure reason;
    const std::string text
        = R"({"Service":"booking","Address":"10.0.0.1:80","Zone":"a","State":"ready","Sequence":1,"ClockMs":5,"Capacity":{)" + capacity + "}}";
    return readExecutor("e1", text, reason);
}

} // namespace

// Guards against an entry of another writer whose numbers overflow the sums over all executors.
TEST_CASE("an executor's registry entry is refused if its numbers can't be counted with")
{
    SUBCASE("an ordinary entry is read")
    {
        const std::optional<sched::executor_entry> entry = entryWith(R"("Cpu":32000,"MemMb":65536)");
        REQUIRE(entry);
        CHECK(entry->capacity.cpu == 32'000);
        CHECK(entry->capacity.gpu == 0);
    }
    SUBCASE("a capacity beyond all machines is refused")
    {
        CHECK_FALSE(entryWith(R"("Cpu":9223372036854775807,"MemMb":65536)"));
        CHECK_FALSE(entryWith(R"("Cpu":32000,"MemMb":18446744073709551615)"));
        CHECK_FALSE(entryWith(R"("Cpu":32000,"MemMb":65536,"Gpu":9223372036854775807)"));
    }
}
