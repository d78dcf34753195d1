#include "fleet_fixture.h"
#include "property.h"
#include "services/fleet_log.h"

using namespace daisypass;

namespace {

log_record makeRecord(revision_number revision, const std::string &writeId, const std::string &vm)
{
    return {revision, writeId, timestamp(1), {vm_failed{vm}}};
}

} // namespace

TEST_CASE("Appends to the fleet log")
{
    memory_table table;
    memory_objects objects;
    fleet_log log{table_service(table), object_store(objects)};
    failure reason;
    const std::optional<log_head> empty = log.readHead(reason);
    REQUIRE(empty);
    CHECK(empty->revision == 0);
    REQUIRE(log.append(makeRecord(1, "w1", "a"), *empty, reason) == commit_outcome::Committed);

    SUBCASE("the stale append of a paused controller conflicts")
    {
        CHECK(log.append(makeRecord(1, "w2", "b"), *empty, reason) == commit_outcome::Conflict);
        const std::optional<std::vector<log_record>> records = log.readAfter(0, 10, reason);
        REQUIRE(records);
        CHECK(records->size() == 1);
        CHECK(records->front().writeId == "w1");
    }

    SUBCASE("an append whose response is lost is found committed, and the record is stored once")
    {
        table.loseAnswers(1);
        CHECK(log.append(makeRecord(2, "w2", "b"), *log.readHead(reason), reason) == commit_outcome::Committed);
        CHECK(log.readHead(reason)->revision == 2);
        CHECK(log.readAfter(0, 10, reason)->size() == 2);
        CHECK(log.resolveAppend(2, "w2", reason) == append_status::Committed);
        CHECK(log.resolveAppend(2, "w3", reason) == append_status::Conflict);
        CHECK(log.resolveAppend(3, "w3", reason) == append_status::Absent);
    }

    SUBCASE("during an outage nothing is written, and the append is refused")
    {
        const std::optional<log_head> head = log.readHead(reason);
        table.setOutage(true);
        CHECK(log.append(makeRecord(2, "w2", "b"), *head, reason) == commit_outcome::Refused);
        CHECK_FALSE(log.readHead(reason));
        CHECK(reason.code == failure_code::StoreUnavailable);
        CHECK_FALSE(log.resolveAppend(2, "w2", reason));
        table.setOutage(false);
        CHECK(log.resolveAppend(2, "w2", reason) == append_status::Absent);
    }

    SUBCASE("a snapshot replaces old rows, and a reader that lags fails with RevisionGap")
    {
        small_fleet fleet(8, 2, "none");
        for (const std::pair<const std::string, std::string> &body : fleet.bodies.byHash) {
            REQUIRE(log.putFile(body.second, reason));
        }
        while (fleet.state.revision() < 2'010) {
            const bool failed = fleet.state.vms().find("vm-00")->second.state == vm_state::Failed;
            fleet.mustApply({failed ? fleet_change{vm_recovered{"vm-00"}} : fleet_change{vm_failed{"vm-00"}}});
            if (fleet.state.revision() > 2) {
                const log_head head = *log.readHead(reason);
                REQUIRE(log.append(makeRecord(head.revision + 1, "w" + std::to_string(head.revision + 1), "a"), head, reason) == commit_outcome::Committed);
            }
        }
        REQUIRE(log.writeSnapshot(fleet.state, 2'000, reason));
        CHECK(log.snapshotRevision(reason) == fleet.state.revision());
        CHECK_FALSE(log.readAfter(0, 10, reason));
        CHECK(reason.code == failure_code::RevisionGap);
        CHECK(log.readAfter(fleet.state.revision() - fleet_log::keptRecords, 10, reason)->size() == 10);
        CHECK(log.loadSnapshot(reason)->encode() == fleet.state.encode());

        SUBCASE("an older snapshot never replaces a newer one")
        {
            small_fleet older(8, 2, "none");
            CHECK(log.writeSnapshot(older.state, 0, reason));
            CHECK(log.snapshotRevision(reason) == fleet.state.revision());
        }
    }
}

TEST_CASE("Two racing appenders never write the same revision twice")
{
    // Guards against a lost record, a record written twice and a wrongly reported outcome when responses are lost or the store is down.
    CHECK(propertyHolds(
        [] {
            memory_table table;
            const object_store objects{memory_objects()};
            fleet_log first{table_service(table), objects};
            fleet_log second{table_service(table), objects};
            std::map<std::string, commit_outcome> outcomes;
            log_head knownHead[2] = {};
            failure reason;
            for (int step = 0; step < 30; ++step) {
                const std::size_t appender = *rc::gen::inRange<std::size_t>(0, 2);
                fleet_log &log = appender == 0 ? first : second;
                // A racing appender often uses a head that it read some steps ago.
                if (*rc::gen::arbitrary<bool>()) {
                    knownHead[appender] = log.readHead(reason).value_or(knownHead[appender]);
                }
                table.loseAnswers(*rc::gen::weightedElement<int>({{3, 0}, {1, 1}, {1, 5}}));
                table.setOutage(*rc::gen::weightedElement<bool>({{4, false}, {1, true}}));
                const std::string writeId = "w" + std::to_string(step);
                outcomes[writeId] = log.append(makeRecord(knownHead[appender].revision + 1, writeId, "a"), knownHead[appender], reason);
                table.setOutage(false);
            }
            const std::optional<std::vector<log_record>> records = first.readAfter(0, 100, reason);
            RC_ASSERT(records.has_value());
            std::map<std::string, int> written;
            for (const log_record &record : *records) {
                ++written[record.writeId];
            }
            for (const std::pair<const std::string, commit_outcome> &outcome : outcomes) {
                const int times = written.contains(outcome.first) ? written[outcome.first] : 0;
                RC_ASSERT(times <= 1);
                RC_ASSERT((outcome.second != commit_outcome::Committed || times == 1));
                RC_ASSERT(((outcome.second != commit_outcome::Conflict && outcome.second != commit_outcome::Refused) || times == 0));
            }
        },
        300));
}
