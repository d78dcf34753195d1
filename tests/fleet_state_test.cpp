#include "fleet_fixture.h"
#include "property.h"

#include <algorithm>

using namespace daisypass;

namespace {

// Computes budget and headroom from the VM records alone, independently of the state's own counts.
bool budgetHolds(const fleet_state &state, const std::string &pool)
{
    int serving = 0;
    std::map<std::string, int> domains;
    const pool_config &config = state.config().pools.find(pool)->second;
    for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
        if (vm.second.pool == pool && vm.second.state == vm_state::Serving) {
            ++serving;
            const bool rack = config.headroom == failure_headroom::Rack;
            ++domains[rack ? vm.second.rack : config.headroom == failure_headroom::Zone ? vm.second.availabilityZone : vm.first];
        }
    }
    int loss = 0;
    for (const std::pair<const std::string, int> &domain : domains) {
        loss = config.headroom == failure_headroom::None ? 0 : std::max(loss, domain.second);
    }
    return serving - loss >= config.minAvailable;
}

// The fleet state under test and independent records to check its invariants against.
struct random_fleet
{
    small_fleet fleet;
    // Incarnation and join revision of each live entry, tracked independently of the state under test.
    std::map<std::string, std::pair<incarnation_number, revision_number>> entries;
    std::map<std::string, revision_number> drainedAt;
    incarnation_number nextIncarnation = 1;

    explicit random_fleet(const std::string &headroom)
        : fleet(8, 3, headroom)
    {
    }

    std::string randomVm()
    {
        return "vm-0" + std::to_string(*rc::gen::inRange(0, 9));
    }

    std::uint64_t randomEpochNear(const std::string &vm)
    {
        const auto found = fleet.state.vms().find(vm);
        const std::uint64_t epoch = found == fleet.state.vms().end() ? 1 : found->second.epoch;
        return epoch + *rc::gen::weightedElement<std::uint64_t>({{1, 2}, {8, 0}, {8, 1}});
    }

    std::vector<drain_confirmation> randomConfirmations()
    {
        std::vector<drain_confirmation> confirmations;
        for (const std::pair<const std::string, std::pair<incarnation_number, revision_number>> &entry : entries) {
            if (*rc::gen::weightedElement<bool>({{5, true}, {1, false}})) {
                confirmations.push_back({entry.first, entry.second.first});
            }
        }
        return confirmations;
    }

    fleet_change randomChange()
    {
        const std::string vm = randomVm();
        const std::string entry = "entry-" + std::to_string(*rc::gen::inRange(0, 3));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            return joined(entry, nextIncarnation++);
        case 1:
            return entry_left{entry, entries.contains(entry) ? entries[entry].first : 0};
        case 2:
        case 3:
        case 4:
            return drain_begun{vm, randomEpochNear(vm), drain_cause::Maintenance, "monthly"};
        case 5:
            return drain_begun{vm, randomEpochNear(vm), drain_cause::Move, *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"})};
        case 6:
            return drain_cancelled{vm, randomEpochNear(vm)};
        case 7:
            return vm_stopped{vm, randomEpochNear(vm), randomConfirmations()};
        case 8:
            return vm_returned{vm, randomEpochNear(vm)};
        case 9:
            return vm_failed{vm};
        case 10:
            return vm_recovered{vm};
        default:
            return vm_moved{vm, randomEpochNear(vm), *rc::gen::elementOf(std::vector<std::string>{"a", "b"})};
        }
    }

    void recordChange(const fleet_change &change, revision_number revision)
    {
        if (const entry_joined *join = std::get_if<entry_joined>(&change)) {
            entries[join->entry] = {join->incarnation, revision};
        } else if (const entry_left *left = std::get_if<entry_left>(&change)) {
            entries.erase(left->entry);
        } else if (const drain_begun *drain = std::get_if<drain_begun>(&change)) {
            drainedAt[drain->vm] = revision;
            RC_ASSERT(budgetHolds(fleet.state, "a"));
        } else if (const vm_stopped *stopped = std::get_if<vm_stopped>(&change)) {
            for (const std::pair<const std::string, std::pair<incarnation_number, revision_number>> &entry : entries) {
                const drain_confirmation needed{entry.first, entry.second.first};
                const bool confirmed = std::find(stopped->confirmations.begin(), stopped->confirmations.end(), needed) != stopped->confirmations.end();
                RC_ASSERT((confirmed || entry.second.second > drainedAt[stopped->vm]));
            }
        }
    }

    void checkCounts()
    {
        int members = 0;
        for (const std::string &pool : {std::string("a"), std::string("b")}) {
            members += fleet.state.serving(pool) + fleet.state.unavailable(pool);
        }
        RC_ASSERT(members == static_cast<int>(fleet.state.vms().size()));
    }
};

void checkRandomRecords(const std::string &headroom)
{
    random_fleet random(headroom);
    std::vector<fleet_state> pausedStates{random.fleet.state, random.fleet.state};
    std::string snapshot;
    std::size_t snapshotRecords = 0;
    for (int step = 0; step < 60; ++step) {
        const std::string before = random.fleet.state.encode();
        const revision_number revision = random.fleet.state.revision();
        const revision_number configured = random.fleet.state.configurationRevision();
        const fleet_change change = random.randomChange();
        const bool pausedController = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
        // A paused controller numbers its record after the last state that it replayed.
        const revision_number base = pausedController ? pausedStates[static_cast<std::size_t>(step % 2)].revision() : revision;
        const log_record record{base + 1, "w" + std::to_string(step), timestamp(step * 1'000'000), {change}};
        failure reason;
        const bool accepted = random.fleet.state.apply(record, random.fleet.bodies.source(), reason);
        RC_ASSERT(random.fleet.state.revision() >= revision);
        RC_ASSERT(random.fleet.state.configurationRevision() >= configured);
        if (accepted) {
            RC_ASSERT(base == revision);
            random.fleet.log.push_back(record);
            random.recordChange(change, record.revision);
        } else {
            RC_ASSERT(random.fleet.state.encode() == before);
        }
        random.checkCounts();
        if (step == 30) {
            snapshot = random.fleet.state.encode();
            snapshotRecords = random.fleet.log.size();
        }
        if (*rc::gen::inRange(0, 5) == 0) {
            pausedStates[static_cast<std::size_t>(step % 2)] = random.fleet.state;
        }
    }
    failure reason;
    fleet_state replayed;
    std::optional<fleet_state> restored = fleet_state::decode(snapshot, random.fleet.bodies.source(), reason);
    RC_ASSERT(restored.has_value());
    for (std::size_t index = 0; index < random.fleet.log.size(); ++index) {
        RC_ASSERT(replayed.apply(random.fleet.log[index], random.fleet.bodies.source(), reason));
        RC_ASSERT((index < snapshotRecords || restored->apply(random.fleet.log[index], random.fleet.bodies.source(), reason)));
    }
    RC_ASSERT(replayed.encode() == random.fleet.state.encode());
    RC_ASSERT(restored->encode() == random.fleet.state.encode());
}

} // namespace

TEST_CASE("Random records of racing and paused controllers keep the guarantees of the fleet state")
{
    // Guards against a planned drain that breaches budget or headroom, a stop without a confirmation, a VM in no or two pools,
    // a revision that decreases, a refused record that changes the state, and replicas that differ after a snapshot.
    for (const std::string &headroom : {std::string("none"), std::string("vm"), std::string("rack"), std::string("zone")}) {
        CAPTURE(headroom);
        CHECK(propertyHolds(
            [&headroom] {
                checkRandomRecords(headroom);
            },
            200));
    }
}

TEST_CASE("A record is applied as a whole or not at all")
{
    // Guards against a refused record of which some changes stay applied.
    small_fleet fleet(8, 3, "rack");
    const std::string before = fleet.state.encode();
    CHECK(fleet.tryApply({fleet.drain("vm-00"), vm_failed{"vm-01"}, joined("entry-1", 7), vm_returned{"vm-02", 99}}) == failure_code::WrongState);
    CHECK(fleet.state.encode() == before);
    file_reference pools = fleet.bodies.add("pools.json", poolsText(0, "none"));
    CHECK(fleet.tryApply({configuration_applied{1, {pools}, {"vms.json"}, "test"}, vm_failed{"vm-99"}}) == failure_code::UnknownVm);
    CHECK(fleet.state.encode() == before);
    CHECK(fleet.state.config().pools.find("a")->second.minAvailable == 3);
}

TEST_CASE("Drains and stops are checked by the fleet state")
{
    small_fleet fleet(8, 4, "rack");

    SUBCASE("a drain that leaves no room for the loss of a rack is refused")
    {
        fleet.mustApply({fleet.drain("vm-00")});
        fleet.mustApply({fleet.drain("vm-01")});
        CHECK(fleet.tryApply({fleet.drain("vm-02")}) == failure_code::BudgetBreach);

        SUBCASE("failed VMs count as unavailable")
        {
            fleet.mustApply({drain_cancelled{"vm-00", fleet.state.vms().find("vm-00")->second.epoch}});
            fleet.mustApply({vm_failed{"vm-07"}});
            CHECK(fleet.tryApply({fleet.drain("vm-00")}) == failure_code::BudgetBreach);
        }
    }

    SUBCASE("a stop needs every entry that joined before the drain")
    {
        fleet.mustApply({joined("entry-1", 11)});
        fleet.mustApply({joined("entry-2", 12)});
        fleet.mustApply({fleet.drain("vm-00")});
        const std::uint64_t epoch = fleet.state.vms().find("vm-00")->second.epoch;
        fleet.mustApply({joined("entry-3", 13)});
        CHECK(fleet.tryApply({vm_stopped{"vm-00", epoch, {{"entry-1", 11}}}}) == failure_code::Unconfirmed);
        CHECK(fleet.tryApply({vm_stopped{"vm-00", epoch, {{"entry-1", 11}, {"entry-2", 99}}}}) == failure_code::Unconfirmed);
        CHECK(fleet.tryApply({vm_stopped{"vm-00", epoch - 1, {{"entry-1", 11}, {"entry-2", 12}}}}) == failure_code::WrongEpoch);

        SUBCASE("with all confirmations it is accepted")
        {
            CHECK(fleet.tryApply({vm_stopped{"vm-00", epoch, {{"entry-1", 11}, {"entry-2", 12}}}}) == failure_code::None);
        }
        SUBCASE("an entry that left need not confirm")
        {
            fleet.mustApply({entry_left{"entry-2", 12}});
            CHECK(fleet.tryApply({vm_stopped{"vm-00", epoch, {{"entry-1", 11}}}}) == failure_code::None);
        }
        SUBCASE("an entry cannot be replaced from another address")
        {
            entry_joined other = joined("entry-2", 99);
            other.peers.port = 1;
            CHECK(fleet.tryApply({other}) == failure_code::WrongState);
        }
    }
}

TEST_CASE("A configuration changes the fleet only by drains")
{
    small_fleet fleet(8, 2, "none");

    SUBCASE("the second of two operators gets a conflict")
    {
        fleet.mustApply({configuration_applied{1, {fleet.bodies.add("pools.json", poolsText(3, "none"))}, {}, "first"}});
        CHECK(fleet.tryApply({configuration_applied{1, {fleet.bodies.add("pools.json", poolsText(1, "none"))}, {}, "second"}})
              == failure_code::RevisionConflict);
        CHECK(fleet.state.minAvailable("a") == 3);
    }

    SUBCASE("a VM that is dropped stays until it has been drained")
    {
        fleet.mustApply({configuration_applied{1, {fleet.bodies.add("vms.json", vmsText(7))}, {}, "test"}});
        REQUIRE(fleet.state.vms().contains("vm-07"));
        fleet.mustApply({fleet.drain("vm-07", drain_cause::Removal, "configuration")});
        fleet.mustApply({vm_stopped{"vm-07", fleet.state.vms().find("vm-07")->second.epoch, {}}});
        CHECK_FALSE(fleet.state.vms().contains("vm-07"));

        SUBCASE("and its epoch is never used again")
        {
            fleet.mustApply({configuration_applied{fleet.state.configurationRevision(), {fleet.bodies.add("vms.json", vmsText(8))}, {}, "test"}});
            CHECK(fleet.state.vms().find("vm-07")->second.epoch == fleet.state.revision());
            CHECK(fleet.state.vms().find("vm-07")->second.state == vm_state::Stopped);
        }
    }

    SUBCASE("a VM id cannot get another address")
    {
        std::string text = vmsText(8);
        text.replace(text.find("21001"), 5, "21999");
        CHECK(fleet.tryApply({configuration_applied{1, {fleet.bodies.add("vms.json", text)}, {}, "test"}}) == failure_code::NotPermitted);
    }

    SUBCASE("a move takes one change and a new epoch")
    {
        fleet.mustApply({fleet.drain("vm-00", drain_cause::Move, "b")});
        const std::uint64_t epoch = fleet.state.vms().find("vm-00")->second.epoch;
        CHECK(fleet.tryApply({vm_moved{"vm-00", epoch, "b"}}) == failure_code::WrongState);
        fleet.mustApply({vm_stopped{"vm-00", epoch, {}}});
        CHECK(fleet.tryApply({vm_moved{"vm-00", epoch, "a"}}) == failure_code::WrongState);
        fleet.mustApply({vm_moved{"vm-00", epoch, "b"}});
        CHECK(fleet.state.vms().find("vm-00")->second.epoch == epoch + 1);
        CHECK(fleet.tryApply({vm_returned{"vm-00", epoch}}) == failure_code::WrongEpoch);
    }

    SUBCASE("a record is refused while the content of its file is missing, and can be applied later")
    {
        CHECK(fleet.tryApply({configuration_applied{1, {{"pools.json", "0"}}, {}, "test"}}) == failure_code::NotFound);
    }
}

TEST_CASE("Records are accepted in order only")
{
    // Guards against a replica that misses a record, applies one twice, or is blocked permanently by a refused record.
    small_fleet fleet(8, 2, "none");
    const std::string before = fleet.state.encode();
    const revision_number next = fleet.state.revision() + 1;
    failure reason;
    for (const revision_number wrong : {next - 2, next - 1, next + 1, next + 1'000}) {
        CHECK_FALSE(fleet.state.apply({wrong, "w", timestamp(0), {vm_failed{"vm-00"}}}, fleet.bodies.source(), reason));
        CHECK(reason.code == failure_code::RevisionGap);
        CHECK_FALSE(fleet.state.skip({wrong, "w", timestamp(0), {}}, reason));
    }
    CHECK(fleet.state.encode() == before);
    const log_record refused{next, "w", timestamp(0), {vm_failed{"vm-99"}}};
    CHECK_FALSE(fleet.state.apply(refused, fleet.bodies.source(), reason));
    CHECK(fleet.state.skip(refused, reason));
    CHECK(fleet.state.revision() == next);
    CHECK(fleet.tryApply({vm_failed{"vm-00"}}) == failure_code::None);
}
