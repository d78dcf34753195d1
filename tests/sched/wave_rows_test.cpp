#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace daisypass::sched;

namespace {

constexpr std::size_t maxRowBytes = 65'536;

std::string vmName(int number)
{
    char name[40];
    std::snprintf(name, sizeof name, "vm-zagreb-a-rezervacije-%05d", number);
    return name;
}

wave_request waveOf(std::int64_t number, int vms)
{
    wave_request wave;
    wave.wave = number;
    wave.durationMs = 3'600'000;
    wave.cap = 5;
    for (int vm = 0; vm < vms; ++vm) {
        wave.vms.push_back(vmName(vm));
    }
    return wave;
}

void maintain(scheduler_fixture &world, const wave_request &wave, int vms)
{
    for (int vm = 0; vm < vms; ++vm) {
        world.taskScheduler.handle(maintenance_answered{wave.vms[static_cast<std::size_t>(vm)], wave.wave, fleet_status::Ok, {}}, world.now);
    }
    world.planAndCommit();
}

std::size_t longestRow(const scheduler_fixture &world)
{
    std::size_t longest = 0;
    for (const std::pair<const std::string, std::string> &row : world.rows) {
        longest = std::max(longest, row.second.size());
    }
    return longest;
}

} // namespace

// Guards against waves whose progress the store refuses for good, together with all other changes of the transaction.
TEST_CASE("the progress of several waves over a large fleet")
{
    scheduler_fixture world;
    std::vector<wave_request> waves;
    for (std::int64_t number = 1; number <= 4; ++number) {
        waves.push_back(waveOf(number, 1'100));
        world.taskScheduler.handle(wave_requested{waves.back(), 1'000'000}, world.now);
        maintain(world, waves.back(), 1'000);
    }
    CHECK(longestRow(world) <= maxRowBytes);
}

TEST_CASE("the progress of a wave is kept in its row")
{
    constexpr std::int64_t unixMs = 1'000'000;
    constexpr time_ms now = 10'000;
    const wave_request wave = waveOf(7, 3);
    fleet_planner planner{bounds{}};
    planner.addWave(wave, now, unixMs);
    planner.maintenanceStarted(7, wave.vms[0], now);
    const std::optional<std::pair<std::string, std::string>> row = planner.takeChangedRow();
    REQUIRE(row);
    CHECK_FALSE(planner.hasChangedWaves());
    fleet_planner successor{bounds{}};

    SUBCASE("from one lease holder to the next, who has nothing to store")
    {
        successor.readRow(row->first, row->second);
        successor.addWave(wave, now, unixMs + 60'000);
        CHECK_FALSE(successor.awaitsMaintenance(wave.vms[0]));
        CHECK(successor.awaitsMaintenance(wave.vms[1]));
        CHECK(successor.maintenanceDueAt(wave.vms[1]) == now + wave.durationMs - 60'000);
        CHECK_FALSE(successor.hasChangedWaves());
    }
    SUBCASE("after the row that a former version wrote for all waves")
    {
        const std::string former = R"({"waves":{"7":{"done":[],"draining":[")" + wave.vms[0] + R"("],"due_unix_ms":5}}})";
        successor.readRow(wavesRowKey, former);
        CHECK(successor.wasDraining(wave.vms[0]));
        successor.readRow(row->first, row->second);
        CHECK_FALSE(successor.wasDraining(wave.vms[0]));
        successor.addWave(wave, now, unixMs);
        CHECK_FALSE(successor.awaitsMaintenance(wave.vms[0]));
    }
    SUBCASE("as completed, which is published again")
    {
        fleet_view view;
        for (const std::string &name : wave.vms) {
            planner.maintenanceStarted(7, name, now);
            fleet_vm vm;
            vm.vm = name;
            view.vms.push_back(vm);
        }
        planner.plan(view, now);
        const std::optional<std::pair<std::string, std::string>> completed = planner.takeChangedRow();
        REQUIRE(completed);
        CHECK(completed->second == R"({"completed":true})");
        successor.readRow(completed->first, completed->second);
        successor.addWave(wave, now, unixMs);
        const std::vector<fleet_decision> decisions = successor.plan(view, now);
        const bool published = std::any_of(decisions.begin(), decisions.end(), [](const fleet_decision &decision) {
            const wave_decision *status = std::get_if<wave_decision>(&decision);
            return status != nullptr && status->wave == 7 && status->completed;
        });
        CHECK(published);
        CHECK_FALSE(successor.awaitsMaintenance(wave.vms[2]));
    }
    SUBCASE("which is written anew if only an order of the former lease holder is known")
    {
        successor.predecessorMaintenance(7, wave.vms[1]);
        successor.addWave(wave, now, unixMs);
        CHECK(successor.hasChangedWaves());
    }
    SUBCASE("unless the row can't be read")
    {
        for (const char *key : {"~waves/", "~waves/x", "~waves/7x"}) {
            successor.readRow(key, row->second);
        }
        successor.readRow(row->first, "[");
        successor.addWave(wave, now, unixMs);
        CHECK(successor.awaitsMaintenance(wave.vms[0]));
    }
}
