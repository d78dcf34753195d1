#include "platform/records.h"
#include "platform/wire_json.h"

#include <doctest/doctest.h>

#include <optional>

using namespace daisypass;

// Guards against a VM that counts as gone, so that a wave is shown as completed without it (MIXED).
TEST_CASE("a VM whose state this version doesn't know is listed, and is not up")
{
    const std::optional<sched::vm_entry> vm = readVm(wire::json{{"Machine", "vm-1"}, {"Pool", "booking"}, {"State", "rebooting"}});
    REQUIRE(vm);
    CHECK(vm->vm == "vm-1");
    CHECK(vm->pool == "booking");
    CHECK(vm->state == sched::vm_state::Down);
}
