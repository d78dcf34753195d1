// Tests the follower of the fleet log and its replica with in-memory tables and object stores.

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

// A fleet log to which only the test appends, and the state that it expects followers to replay.
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

    // Appends the smallest change: an entry joins, or leaves if it is present.
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

fleet_follower followerOf(test_log &log, fleet_follower_options options = manualPolling)
{
    return {table_service(log.table), object_store(log.objects), options};
}

// Serves a follower's records and files to another follower, in pages of at most three records.
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
    test_log testLog;
    fleet_follower follower(table_service(testLog.table), object_store(testLog.objects), manualPolling);
    std::vector<revision_number> revisions;
    std::vector<std::pair<timestamp, revision_number>> contacts;
    follower.addListener([&](const std::shared_ptr<const fleet_state> &state) {
        revisions.push_back(state->revision());
    });
    follower.addContactListener([&](timestamp startedAt, revision_number revision) {
        contacts.emplace_back(startedAt, revision);
    });
    follower.start();
    failure reason;
    // The first poll runs at any time after start(). Later polls run only when the test requests them.
    REQUIRE(follower.refresh(10s, reason));

    SUBCASE("reading an empty log counts as contact with the store; otherwise the first entry could never join")
    {
        const timestamp before = steadyNow();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 0);
        REQUIRE(follower.lastStoreContact());
        CHECK(*follower.lastStoreContact() >= before);
    }
    SUBCASE("records are replayed in order, with the configuration, and listeners run before the contact is reported")
    {
        testLog.appendToggle();
        testLog.appendConfiguration();
        REQUIRE(follower.refresh(10s, reason));
        testLog.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        follower.stop();
        CHECK(follower.state()->encode() == testLog.state.encode());
        CHECK(revisions == std::vector<revision_number>{2, 3});
        CHECK(contacts.back().second == 3);
        CHECK(follower.state()->config().pools.contains("booking"));
    }
    SUBCASE("a record whose file body is missing is not skipped but applied once the body is available")
    {
        testLog.appendToggle();
        testLog.appendConfiguration();
        testLog.objects.setOutage(true);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::NotFound);
        CHECK(follower.state()->revision() == 1);
        testLog.objects.setOutage(false);
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 2);
    }
    SUBCASE("an outage changes neither the state nor the time of the last contact, and the log is followed again after it")
    {
        testLog.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        const std::optional<timestamp> contact = follower.lastStoreContact();
        testLog.table.setOutage(true);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::StoreUnavailable);
        CHECK_FALSE(follower.storeReachable());
        CHECK(follower.state()->revision() == 1);
        CHECK(follower.lastStoreContact() == contact);
        testLog.table.setOutage(false);
        testLog.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 2);
        CHECK(follower.storeReachable());
    }
    SUBCASE("an append whose answer was lost is replayed once")
    {
        testLog.table.loseAnswers(1);
        testLog.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        CHECK(follower.state()->revision() == 1);
        CHECK(follower.state()->entries().size() == 1);
    }
    SUBCASE("a store that lost records does not move the state to an earlier revision")
    {
        testLog.appendToggle();
        testLog.appendToggle();
        REQUIRE(follower.refresh(10s, reason));
        REQUIRE(testLog.table.commit({"loss", {}, {{"fleet/head", R"({"revision":1})"}}, {logKey(2)}}, reason) == commit_outcome::Committed);
        CHECK_FALSE(follower.refresh(10s, reason));
        CHECK(reason.code == failure_code::BadAnswer);
        CHECK(follower.state()->revision() == 2);
    }
    SUBCASE("the state is read from the snapshot if the records before it were deleted")
    {
        testLog.appendConfiguration();
        for (int i = 0; i < 1'100; ++i) {
            testLog.appendToggle();
        }
        REQUIRE(testLog.log.writeSnapshot(testLog.state, 500, reason));
        REQUIRE(testLog.log.readAfter(0, 1, reason) == std::nullopt);
        testLog.appendToggle();
        REQUIRE_MESSAGE(follower.refresh(10s, reason), describe(reason));
        CHECK(follower.state()->encode() == testLog.state.encode());
        // The file bodies are cached for peers although this follower replayed no record that refers to them.
        CHECK(follower.file(testLog.state.files().front().hash).has_value());
    }
    follower.stop();
}

TEST_CASE("fleet follower: peers")
{
    test_log testLog;
    testLog.appendToggle();
    testLog.appendConfiguration();
    for (int i = 0; i < 10; ++i) {
        testLog.appendToggle();
    }
    failure reason;
    memory_table unreachableTable;
    memory_objects unreachableObjects;
    unreachableTable.setOutage(true);
    unreachableObjects.setOutage(true);
    fleet_follower cutOff(table_service(unreachableTable), object_store(unreachableObjects), manualPolling);

    SUBCASE("an entry without the store follows a peer page by page, with the file bodies")
    {
        fleet_follower peer = followerOf(testLog);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        cutOff.setPeers(servedBy(peer));
        cutOff.start();
        CHECK_FALSE(cutOff.refresh(10s, reason));
        cutOff.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return cutOff.state()->revision() == testLog.state.revision();
        }));
        CHECK(cutOff.state()->encode() == testLog.state.encode());
        CHECK_FALSE(cutOff.lastStoreContact());
        // The follower serves the records that it fetched to other peers.
        CHECK(cutOff.page(3, 100).records == peer.page(3, 100).records);
        cutOff.stop();
    }
    SUBCASE("an entry that needs records the peer has discarded gets the peer's snapshot")
    {
        fleet_follower_options smallBuffer = manualPolling;
        smallBuffer.keptRecords = 4;
        fleet_follower peer = followerOf(testLog, smallBuffer);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        CHECK_FALSE(peer.page(1, 100).snapshot.empty());
        CHECK(peer.page(8, 100).records.size() == 4);
        cutOff.setPeers(servedBy(peer));
        cutOff.start();
        cutOff.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return cutOff.state()->revision() == testLog.state.revision();
        }));
        CHECK(cutOff.state()->encode() == testLog.state.encode());
        cutOff.stop();
    }
    SUBCASE("a file body whose hash differs is rejected, so that a faulty peer can't change the configuration")
    {
        fleet_follower peer = followerOf(testLog);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        follower_peers faulty = servedBy(peer);
        std::atomic<int> fetches = 0;
        faulty.fetchFile = [&](std::string_view hash) {
            ++fetches;
            return std::optional<std::string>(*peer.file(hash) + " ");
        };
        cutOff.setPeers(faulty);
        cutOff.start();
        cutOff.onPeerRevision(peer.state()->revision());
        CHECK(eventually([&] {
            return fetches >= static_cast<int>(testLog.state.files().size());
        }));
        cutOff.stop();
        CHECK(cutOff.state()->revision() == 1);
    }
    SUBCASE("old or repeated records and snapshots from a peer do not move the state to an earlier revision")
    {
        fleet_follower peer = followerOf(testLog);
        peer.start();
        REQUIRE(peer.refresh(10s, reason));
        log_replica replica({});
        std::vector<revision_number> revisions;
        replica.addListener([&](const std::shared_ptr<const fleet_state> &state) {
            revisions.push_back(state->revision());
        });
        std::vector<log_record> records;
        for (const std::string &text : peer.page(0, 100).records) {
            records.push_back(*decodeRecord(text, reason));
        }
        REQUIRE(records.size() == 12);
        for (const file_reference &file : testLog.state.files()) {
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
        CHECK(revisions == std::vector<revision_number>{5, 12});
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
    SUBCASE("a page has whole records up to its size limit and at least one; after an empty page a peer would never catch up")
    {
        const log_page page = replica.page(40, 100);
        CHECK(page.records.size() > 1);
        CHECK(page.records.size() < 10);
        CHECK(page.snapshot.empty());
        CHECK(replica.page(50, 100).records.empty());
    }
    SUBCASE("an encoded snapshot is served again while all records after it are in memory")
    {
        const std::string snapshot = replica.page(1, 100).snapshot;
        CHECK_FALSE(snapshot.empty());
        const log_record next{51, "w", timestamp(1), {entry_joined{"e", 51, {"127.0.0.1", 1}, {"127.0.0.1", 2}, "zone"}}};
        REQUIRE(replica.applyRecords({&next, 1}, reason));
        CHECK(replica.page(1, 100).snapshot == snapshot);
    }
    SUBCASE("old file bodies are evicted, because all control work on a node must fit in 128 MB")
    {
        CHECK_FALSE(replica.file(contentHash("file 1")));
        CHECK(replica.file(contentHash("file 50")));
    }
}
