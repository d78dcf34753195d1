// The follower of the fleet log over tables in memory.

#include "configuration_fixture.h"
#include "entry/fleet_follower.h"
#include "entry/log_replica.h"
#include "eventually.h"
#include "services/fleet_log.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

const fleet_follower_options manualPolling{.pollInterval = 1h, .minBackoff = 1h, .maxBackoff = 1h};

// A log to which a test appends; it is the only writer.
class test_log
{
public:
    test_log()
        : log(table_service(table), object_store(objects))
    {
    }

    void append(std::vector<fleet_change> changes)
    {
        failure reason;
        const log_record record{state.revision() + 1, "w" + std::to_string(state.revision() + 1), timestamp(1), std::move(changes)};
        REQUIRE_MESSAGE(state.apply(record, log.files(), reason), describe(reason));
        const std::optional<log_head> head = log.readHead(reason);
        REQUIRE(head);
        REQUIRE(log.append(record, *head, reason) == commit_outcome::Committed);
    }

    // An entry that joins, or leaves if it is there: the smallest change.
    void appendToggle()
    {
        if (state.entries().contains("toggle")) {
            append({entry_left{"toggle", 1}});
        } else {
            append({entry_joined{"toggle", 1, {"127.0.0.1", 1}, {"127.0.0.1", 2}, "zone"}});
        }
    }

    void appendConfiguration()
    {
        configuration_applied change;
        failure reason;
        for (const configuration_file &file : exampleFiles("brusilica")) {
            change.changed.push_back({file.name, *log.putFile(file.text, reason)});
        }
        append({change});
    }

    memory_table table;
    memory_objects objects;
    fleet_log log;
    fleet_state state;
};

fleet_follower followerOf(test_log &written, fleet_follower_options options = manualPolling)
{
    return {table_service(written.table), object_store(written.objects), options};
}

// A follower's answers, as a peer gets them.
follower_peers servedBy(const fleet_follower &peer)
{
    follower_peers peers;
    peers.fetchLog = [&peer](revision_number after, int limit) {
        return std::optional<log_page>(peer.page(after, std::min(limit, 3)));
    };
    peers.fetchFile = [&peer](std::string_view hash) {
        return peer.file(hash);
    };
    return peers;
}

} // namespace

TEST_CASE("fleet follower: the store")
{
    test_log written;
    fleet_follower follower(table_service(written.table), object_store(written.objects), manualPolling);
    std::vector<revision_number> told;
    std::vector<std::pair<timestamp, revision_number>> contacts;
    follower.addListener([&](const std::shared_ptr<const fleet_state> &state) {
        told.push_back(state->revision());
    });
    follower.addContactListener([&](timestamp startedAt, revision_number revision) {
        contacts.emplace_back(startedAt, revision);
    });
    follower.start();
    failure reason;
    // The poll at the start may come at any time; after it only the test polls.
    REQUIRE(follower.refresh(10s, reason));

    SUBCASE("an empty log is contact with the store; without it the first entry could never join")
    {
        const timestamp before = steadyNow();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 0);
        REQUIRE(follower.lastStoreContact());
        CHECK(*follower.lastStoreContact() >= before);
    }
    SUBCASE("records are replayed in order, with the configuration, and told before the contact counts")
    {
        written.appendToggle();
        written.appendConfiguration();
        REQUIRE(follower.refresh(10s, reason));
        written.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        follower.stop();
        CHECK(follower.state()->encode() == written.state.encode());
        CHECK(told == std::vector<revision_number>{2, 3});
        CHECK(contacts.back().second == 3);
        CHECK(follower.state()->config().pools.contains("booking"));
    }
    SUBCASE("a record whose file body is missing is not skipped; it applies once the body is there")
    {
        written.appendToggle();
        written.appendConfiguration();
        written.objects.setOutage(true);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::NotFound);
        CHECK(follower.state()->revision() == 1);
        written.objects.setOutage(false);
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 2);
    }
    SUBCASE("the state and the time of the last contact stay during an outage, and the log is followed again after it")
    {
        written.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        const std::optional<timestamp> contact = follower.lastStoreContact();
        written.table.setOutage(true);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::StoreUnavailable);
        CHECK_FALSE(follower.storeReachable());
        CHECK(follower.state()->revision() == 1);
        CHECK(follower.lastStoreContact() == contact);
        written.table.setOutage(false);
        written.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 2);
        CHECK(follower.storeReachable());
    }
    SUBCASE("an append whose answer was lost shows once")
    {
        written.table.loseAnswers(1);
        written.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 1);
        CHECK(follower.state()->entries().size() == 1);
    }
    SUBCASE("a store that lost records does not take the state back")
    {
        written.appendToggle();
        written.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        REQUIRE(written.table.commit({"loss", {}, {{"fleet/head", R"({"revision":1})"}}, {logKey(2)}}, reason) == commit_outcome::Committed);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::BadAnswer);
        CHECK(follower.state()->revision() == 2);
    }
    SUBCASE("records that a snapshot replaced are taken from the snapshot")
    {
        written.appendConfiguration();
        for (int i = 0; i < 1'100; ++i) {
            written.appendToggle();
        }
        REQUIRE(written.log.writeSnapshot(written.state, 500, reason));
        REQUIRE(written.log.readAfter(0, 1, reason) == std::nullopt);
        written.appendToggle();
        REQUIRE_MESSAGE(follower.refresh(10s, reason), describe(reason));
        CHECK(follower.state()->encode() == written.state.encode());
        // The bodies are held for peers although no record named them here.
        CHECK(follower.file(written.state.files().front().hash).has_value());
    }
    follower.stop();
}

TEST_CASE("fleet follower: peers")
{
    test_log written;
    written.appendToggle();
    written.appendConfiguration();
    for (int i = 0; i < 10; ++i) {
        written.appendToggle();
    }
    failure reason;
    memory_table cutTable;
    memory_objects cutObjects;
    cutTable.setOutage(true);
    cutObjects.setOutage(true);
    fleet_follower cut(table_service(cutTable), object_store(cutObjects), manualPolling);

    SUBCASE("an entry without the store follows a peer page by page, with the file bodies")
    {
        fleet_follower peer = followerOf(written);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        cut.setPeers(servedBy(peer));
        cut.start();
        CHECK_FALSE(cut.refresh(10s, reason));
        cut.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return cut.state()->revision() == written.state.revision();
        }));
        CHECK(cut.state()->encode() == written.state.encode());
        CHECK_FALSE(cut.lastStoreContact());
        // What it learned serves the next peer.
        CHECK(cut.page(3, 100).records == peer.page(3, 100).records);
        cut.stop();
    }
    SUBCASE("an entry that lags more than the peer's records gets the peer's snapshot")
    {
        fleet_follower_options few = manualPolling;
        few.keptRecords = 4;
        fleet_follower peer = followerOf(written, few);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        CHECK_FALSE(peer.page(1, 100).snapshot.empty());
        CHECK(peer.page(8, 100).records.size() == 4);
        cut.setPeers(servedBy(peer));
        cut.start();
        cut.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return cut.state()->revision() == written.state.revision();
        }));
        CHECK(cut.state()->encode() == written.state.encode());
        cut.stop();
    }
    SUBCASE("a file body with another hash is refused; a damaged peer must not change a configuration")
    {
        fleet_follower peer = followerOf(written);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        follower_peers damaged = servedBy(peer);
        std::atomic<int> asked = 0;
        damaged.fetchFile = [&](std::string_view hash) {
            ++asked;
            return std::optional<std::string>(*peer.file(hash) + " ");
        };
        cut.setPeers(damaged);
        cut.start();
        cut.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return asked >= static_cast<int>(written.state.files().size());
        }));
        cut.stop();
        CHECK(cut.state()->revision() == 1);
    }
    SUBCASE("a peer that lags or sends what is known already takes nothing back")
    {
        fleet_follower peer = followerOf(written);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        log_replica replica({});
        std::vector<revision_number> told;
        replica.addListener([&](const std::shared_ptr<const fleet_state> &state) {
            told.push_back(state->revision());
        });
        std::vector<log_record> records;
        for (const std::string &text : peer.page(0, 100).records) {
            records.push_back(*decodeRecord(text, reason));
        }
        REQUIRE(records.size() == 12);
        for (const file_reference &file : written.state.files()) {
            replica.cacheFile(*peer.file(file.hash));
        }
        const std::span<const log_record> all(records);
        CHECK(replica.applyRecords(all.first(5), reason));
        CHECK(replica.applyRecords(all.first(3), reason));
        fleet_state early;
        REQUIRE(early.apply(records.front(), {}, reason));
        replica.installSnapshot(early);
        CHECK_FALSE(replica.applyRecords(all.subspan(7), reason));
        CHECK(reason.code == failure_code::RevisionGap);
        CHECK(replica.applyRecords(all, reason));
        CHECK(told == std::vector<revision_number>{5, 12});
    }
}

TEST_CASE("log replica: pages and files stay within their limits")
{
    log_replica replica({.records = 10, .recordBytes = 1 << 20, .fileBytes = 100, .pageBytes = 400});
    failure reason;
    for (revision_number revision = 1; revision <= 50; ++revision) {
        const fleet_change change = revision % 2 == 1 ? fleet_change(entry_joined{"e", revision, {"127.0.0.1", 1}, {"127.0.0.1", 2}, "zone"})
                                                      : fleet_change(entry_left{"e", revision - 1});
        const log_record record{revision, "w", timestamp(1), {change}};
        REQUIRE(replica.applyRecords({&record, 1}, reason));
        replica.cacheFile("file " + std::to_string(revision));
    }
    SUBCASE("a page holds whole records up to its size and at least one; an empty page would stop a peer for good")
    {
        const log_page page = replica.page(40, 100);
        CHECK(page.records.size() > 1);
        CHECK(page.records.size() < 10);
        CHECK(page.snapshot.empty());
        CHECK(replica.page(50, 100).records.empty());
    }
    SUBCASE("a snapshot once encoded is served again while the records after it are held")
    {
        const std::string snapshot = replica.page(1, 100).snapshot;
        CHECK_FALSE(snapshot.empty());
        const log_record next{51, "w", timestamp(1), {entry_joined{"e", 51, {"127.0.0.1", 1}, {"127.0.0.1", 2}, "zone"}}};
        REQUIRE(replica.applyRecords({&next, 1}, reason));
        CHECK(replica.page(1, 100).snapshot == snapshot);
    }
    SUBCASE("old file bodies are dropped; a node has 128 MB for all of its control")
    {
        CHECK_FALSE(replica.file(contentHash("file 1")));
        CHECK(replica.file(contentHash("file 50")));
    }
}
