// Runs the memberships of several entries in one process, over loopback and a stand-in of the platform.

#include "entry/membership.h"
#include "entry/peer_loads.h"
#include "eventually.h"
#include "standins/fault_proxy.h"
#include "standins/platform_standin.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <mutex>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

// One entry that reaches the store through its own fault proxy, which can cut the connection.
class test_entry
{
public:
    test_entry(const platform_standin &platform, int number, std::uint16_t peersPort = 0, incarnation_number incarnation = 0)
        : name("entry-" + std::to_string(number))
        , incarnation(incarnation == 0 ? static_cast<incarnation_number>(number) : incarnation)
        , store({"127.0.0.1", 0}, {"127.0.0.1", platform.port()})
        , m_client(std::make_shared<http_client>(http_client_options{}))
    {
        failure reason;
        REQUIRE(store.start(reason));
        const endpoint service{"127.0.0.1", store.port()};
        const table_service table(http_table(m_client, service));
        const object_store objects(http_objects(m_client, service));
        follower = std::make_unique<fleet_follower>(table, objects, fleet_follower_options{.seed = incarnation});
        membership_options options{name, this->incarnation, {"127.0.0.1", 1}, {"127.0.0.1", peersPort}, "zone", this->incarnation};
        group = std::make_unique<membership>(options, *follower, fleet_log(table, objects), handlers());
        group->addLoadListener([this](const std::string &, const std::vector<peer_pool_load> &) {
            ++loadUpdates;
        });
        REQUIRE(group->start(reason));
        follower->start();
    }

    bool hasLive(std::size_t count) const
    {
        return group->status().live.size() == count;
    }

    void setLoad(int queued)
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_queued = queued;
    }

    std::string name;
    incarnation_number incarnation;
    fault_proxy store;
    std::atomic<int> inFlight = 0;
    std::atomic<int> loadUpdates = 0;
    std::unique_ptr<fleet_follower> follower;
    std::unique_ptr<membership> group;

private:
    membership_handlers handlers()
    {
        membership_handlers handlers;
        handlers.loads = [this] {
            const std::lock_guard<std::mutex> guard(m_lock);
            return std::vector<peer_pool_load>{{"booking", m_queued, 3, 0, {"vm-7"}}};
        };
        handlers.getFate = [this](std::string_view id) {
            return fate_answer{peer_fate::Completed, "", 200, {}, name + " " + std::string(id)};
        };
        handlers.cancelRequest = [](std::string_view) {
            return cancel_answer{true, {peer_fate::NotRun, "cancelled"}};
        };
        handlers.borrowSlots = [](const borrow_call &call) {
            return std::vector<peer_grant>{{"vm-" + call.entry, call.count, 1'000}};
        };
        handlers.inFlight = [this](std::string_view) {
            return inFlight.load();
        };
        return handlers;
    }

    std::shared_ptr<http_client> m_client;
    std::mutex m_lock;
    int m_queued = 0;
};

template<typename T, typename Start>
std::pair<std::optional<T>, failure> waitFor(Start start)
{
    std::promise<std::pair<std::optional<T>, failure>> promise;
    start([&promise](std::optional<T> answer, const failure &reason) {
        promise.set_value({std::move(answer), reason});
    });
    return promise.get_future().get();
}

// Appends the change to the fleet log, retrying after conflicts until it is committed.
void append(const platform_standin &platform, const fleet_change &change)
{
    const std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});
    const endpoint service{"127.0.0.1", platform.port()};
    fleet_log log{table_service(http_table(client, service)), object_store(http_objects(client, service))};
    CHECK(eventually([&] {
        failure reason;
        const std::optional<log_head> head = log.readHead(reason);
        return head
            && log.append({head->revision + 1, "test-" + std::to_string(head->revision), wallNow(), {change}}, *head, reason) == commit_outcome::Committed;
    }));
}

} // namespace

TEST_CASE("membership: three entries")
{
    platform_standin platform({});
    failure reason;
    REQUIRE(platform.start(reason));
    std::vector<std::unique_ptr<test_entry>> entries;
    for (int number = 1; number <= 3; ++number) {
        entries.push_back(std::make_unique<test_entry>(platform, number));
    }
    const auto all = [&](const std::function<bool(const test_entry &)> &condition) {
        return eventually([&] {
            return std::all_of(entries.begin(), entries.end(), [&](const std::unique_ptr<test_entry> &entry) {
                return condition(*entry);
            });
        });
    };
    REQUIRE(all([](const test_entry &entry) {
        return entry.hasLive(3) && entry.group->status().ready && entry.group->mayDispatch();
    }));
    test_entry &first = *entries[0];
    test_entry &second = *entries[1];
    test_entry &third = *entries[2];

    SUBCASE("each entry joins once although all start together and conflict; a second record would replace the first")
    {
        CHECK(first.follower->state()->revision() == 3);
        CHECK(first.follower->state()->entries().size() == 3);
    }
    SUBCASE("changed loads reach the peers; with stale loads, entries would try to borrow slots from the wrong peer")
    {
        first.setLoad(41);
        CHECK(eventually([&] {
            const std::vector<peer_status> peers = second.group->peers();
            return peers.size() == 2 && peers[0].entry == "entry-1" && !peers[0].pools.empty() && peers[0].pools[0].queued == 41;
        }));
        CHECK(second.group->peers()[0].pools[0].unreachable == std::vector<std::string>{"vm-7"});
    }
    SUBCASE("a controller gets all loads unless it has the current version from this incarnation; versions from an earlier one are ignored")
    {
        peer_client control({});
        const auto requestLoads = [&](incarnation_number incarnation, std::uint64_t known) {
            gossip_message question;
            question.knownVersion = known;
            return waitFor<gossip_message>([&](peer_callback<gossip_message> done) {
                       control.gossip({first.group->peersEndpoint(), incarnation}, question, std::move(done));
                   })
                .first;
        };
        const std::optional<gossip_message> whole = requestLoads(first.incarnation, 0);
        REQUIRE(whole);
        CHECK(whole->entry == "entry-1");
        CHECK(whole->pools == std::vector<peer_pool_load>{{"booking", 0, 3, 0, {"vm-7"}}});
        CHECK_FALSE(requestLoads(first.incarnation, whole->loadsVersion)->pools);
        CHECK(requestLoads(0, whole->loadsVersion)->pools);
    }
    SUBCASE("an entry cut off from the store follows the log through its peers and keeps dispatching")
    {
        third.store.set({.cut = true});
        append(platform, entry_joined{"ghost", 9, {"127.0.0.1", 1}, {"127.0.0.1", 9}, "zone"});
        CHECK(eventually([&] {
            return third.follower->state()->revision() == 4;
        }));
        CHECK(eventually([&] {
            return !third.follower->storeReachable();
        }));
        CHECK(third.group->mayDispatch());
    }
    SUBCASE("an entry cut off from the store and a majority stops dispatching, and dispatches again with the store")
    {
        third.store.set({.cut = true});
        first.group->stop();
        second.group->stop();
        CHECK(eventually([&] {
            return !third.group->mayDispatch() && third.group->status().isolated && !third.group->status().ready && third.hasLive(1);
        }));
        third.store.set({});
        third.follower->pollNow();
        CHECK(eventually([&] {
            return third.group->mayDispatch();
        }));
    }
    SUBCASE("a drain is confirmed only for its epoch, after its replay and with no request in flight")
    {
        peer_client control({});
        const auto confirmDrain = [&](std::uint64_t epoch, revision_number revision) {
            return waitFor<drain_answer>([&](peer_callback<drain_answer> done) {
                       control.confirmDrain({first.group->peersEndpoint(), first.incarnation}, {"vm-1", epoch, revision}, std::move(done));
                   })
                .first;
        };
        const std::optional<drain_answer> unknown = confirmDrain(1, 3);
        REQUIRE(unknown);
        CHECK_FALSE(unknown->confirmed);
        CHECK(unknown->revision == 3);
        failure putFailure;
        configuration_applied configured;
        const std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});
        object_store objects(http_objects(client, {"127.0.0.1", platform.port()}));
        const std::string pools = R"({"pools":[{"name":"p","min_available":0,"headroom":"none","vm":{"processors":1,"memory_mib":1}}]})";
        const std::string vms = R"({"vms":[{"id":"vm-1","pool":"p","address":"127.0.0.1:5","availability_zone":"a","rack":"r"}]})";
        for (const std::pair<std::string, std::string> &file : {std::pair<std::string, std::string>{"pools.json", pools}, {"vms.json", vms}}) {
            REQUIRE(objects.put("file/" + contentHash(file.second), file.second, putFailure));
            configured.changed.push_back({file.first, contentHash(file.second)});
        }
        append(platform, configured);
        REQUIRE(eventually([&] {
            return first.follower->state()->vms().contains("vm-1");
        }));
        const std::uint64_t epoch = first.follower->state()->vms().find("vm-1")->second.epoch;
        append(platform, vm_returned{"vm-1", epoch});
        append(platform, drain_begun{"vm-1", epoch + 1, drain_cause::Maintenance, ""});
        first.inFlight = 2;
        REQUIRE(eventually([&] {
            return confirmDrain(epoch + 1, 6)->inFlight == 2;
        }));
        CHECK_FALSE(confirmDrain(epoch + 1, 6)->confirmed);
        first.inFlight = 0;
        CHECK(confirmDrain(epoch + 1, 6)->confirmed);
        CHECK_FALSE(confirmDrain(epoch, 6)->confirmed);
        CHECK_FALSE(confirmDrain(epoch + 1, 7)->confirmed);
    }
    SUBCASE("fates are queried by incarnation; only an incarnation that is known to have ended gives WrongIncarnation")
    {
        const auto fate = [&](incarnation_number incarnation) {
            return waitFor<fate_answer>([&](peer_callback<fate_answer> done) {
                first.group->getFate(incarnation, "r1", std::move(done));
            });
        };
        CHECK(fate(2).first->body == "entry-2 r1");
        CHECK(fate(1).first->body == "entry-1 r1");
        CHECK(waitFor<cancel_answer>([&](peer_callback<cancel_answer> done) {
                  first.group->cancelRequest(3, "r1", std::move(done));
              }).first->inTime);
        // Incarnation 77 never joined: a read of the store after the query doesn't list it.
        CHECK(fate(77).second.code == failure_code::WrongIncarnation);
        // Incarnation 78 joined so recently that the first entry may not have replayed it yet.
        append(platform, entry_joined{"ghost", 78, {"127.0.0.1", 1}, third.group->peersEndpoint(), "zone"});
        CHECK(fate(78).second.code == failure_code::WrongIncarnation);
        CHECK(first.follower->state()->entries().contains("ghost"));
        REQUIRE(third.group->leave(10s));
        REQUIRE(eventually([&] {
            return !first.follower->state()->entries().contains("entry-3");
        }));
        CHECK(fate(3).second.code == failure_code::WrongIncarnation);
        // While the store is unreachable it is unknown whether incarnation 79 has joined.
        first.store.set({.cut = true});
        REQUIRE(eventually([&] {
            return !first.follower->storeReachable();
        }));
        CHECK(fate(79).second.code == failure_code::PeerUnreachable);
    }
    SUBCASE("slots are borrowed by entry id")
    {
        const auto grants = [&](std::string_view entry) {
            return waitFor<std::vector<peer_grant>>([&](peer_callback<std::vector<peer_grant>> done) {
                first.group->borrowSlots(entry, "booking", 4, std::move(done));
            });
        };
        CHECK(grants("entry-2").first == std::vector<peer_grant>{{"vm-entry-1", 4, 1'000}});
        CHECK(grants("entry-9").second.code == failure_code::PeerUnreachable);
    }
    SUBCASE("a graceful stop takes the entry out of the log, so that drains do not wait for it")
    {
        REQUIRE(third.group->leave(10s));
        CHECK(eventually([&] {
            return first.follower->state()->entries().size() == 2 && first.hasLive(2) && second.hasLive(2);
        }));
        CHECK(eventually([&] {
            return third.group->status().removed && !third.group->mayDispatch();
        }));
    }
    SUBCASE("a killed entry is suspected and stays in the log; a restart at the same address replaces its record")
    {
        const std::uint16_t port = third.group->peersEndpoint().port;
        third.group->stop();
        CHECK(eventually([&] {
            return first.hasLive(2) && second.hasLive(2);
        }));
        CHECK(first.follower->state()->entries().size() == 3);
        const test_entry restarted(platform, 3, port, 33);
        CHECK(eventually([&] {
            return restarted.group->status().ready && first.hasLive(3) && second.hasLive(3);
        }));
        CHECK(first.follower->state()->entries().find("entry-3")->second.incarnation == 33);
    }
}

TEST_CASE("membership: joining while the store misbehaves")
{
    platform_standin platform({});
    failure reason;
    REQUIRE(platform.start(reason));
    http_client admin({});
    const auto faults = [&](const std::string &body) {
        http_call call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(platform.port()) + "/admin/faults";
        call.body = body;
        const http_result result = admin.fetch(call);
        REQUIRE(result.response.status == 200);
    };

    SUBCASE("an entry whose append succeeds but whose answer is lost joins only once")
    {
        faults(R"({"lose_answers":1})");
        const test_entry entry(platform, 1);
        CHECK(eventually([&] {
            return entry.group->status().ready;
        }));
        CHECK(entry.follower->state()->revision() == 1);
    }
    SUBCASE("an entry that starts in an outage joins after it")
    {
        faults(R"({"outage":true})");
        const test_entry entry(platform, 1);
        CHECK(eventually([&] {
            return !entry.follower->storeReachable();
        }));
        CHECK_FALSE(entry.group->mayDispatch());
        faults(R"({"outage":false})");
        CHECK(eventually([&] {
            return entry.group->status().ready;
        }));
    }
}

TEST_CASE("peer loads")
{
    peer_loads sender(1);
    peer_loads receiver(2);
    sender.setLocalLoads({{"booking", 1, 2, 3, {}}, {"profiles", 4, 5, 6, {"vm-1"}}});

    SUBCASE("loads are sent until the peer acknowledges their version, and again when they change")
    {
        CHECK(sender.composeDelta("b", 2).pools);
        CHECK(receiver.update("a", sender.composeDelta("b", 2)));
        CHECK(receiver.loadsOf("a", 1) == std::vector<peer_pool_load>{{"booking", 1, 2, 3, {}}, {"profiles", 4, 5, 6, {"vm-1"}}});
        // The peer's answer was lost, so the sender has no acknowledgement and sends all loads again.
        CHECK(sender.composeDelta("b", 2).pools->front().pool == "booking");
        sender.update("b", receiver.composeDelta("a", 1));
        CHECK_FALSE(sender.composeDelta("b", 2).pools);
        sender.setLocalLoads(receiver.loadsOf("a", 1));
        CHECK_FALSE(sender.composeDelta("b", 2).pools);
    }
    SUBCASE("only the pools that changed are sent, without names; the receiver keeps the loads of the others")
    {
        receiver.update("a", sender.composeDelta("b", 2));
        sender.update("b", receiver.composeDelta("a", 1));
        sender.setLocalLoads({{"booking", 1, 2, 3, {}}, {"profiles", 4, 0, 6, {}}});
        const gossip_message change = sender.composeDelta("b", 2);
        REQUIRE(change.pools->size() == 1);
        CHECK(change.pools->front().pool.empty());
        CHECK(receiver.update("a", change));
        CHECK(receiver.loadsOf("a", 1) == std::vector<peer_pool_load>{{"booking", 1, 2, 3, {}}, {"profiles", 4, 0, 6, {}}});
    }
    SUBCASE("a changed list of pools is sent with names, because positions in the old list would mean other pools")
    {
        receiver.update("a", sender.composeDelta("b", 2));
        sender.update("b", receiver.composeDelta("a", 1));
        sender.setLocalLoads({{"profiles", 4, 5, 6, {}}, {"spare", 7, 8, 9, {}}});
        CHECK(sender.composeDelta("b", 2).pools->size() == 2);
        CHECK(receiver.update("a", sender.composeDelta("b", 2)));
        CHECK(receiver.loadsOf("a", 1) == std::vector<peer_pool_load>{{"profiles", 4, 5, 6, {}}, {"spare", 7, 8, 9, {}}});
        sender.setLocalLoads({});
        CHECK(receiver.update("a", sender.composeDelta("b", 2)));
        CHECK(receiver.loadsOf("a", 1).empty());
    }
    SUBCASE("an older message that arrives late does not overwrite newer loads")
    {
        const gossip_message early = sender.composeDelta("b", 2);
        sender.setLocalLoads({{"booking", 9, 2, 3, {}}});
        receiver.update("a", sender.composeDelta("b", 2));
        CHECK_FALSE(receiver.update("a", early));
        CHECK(receiver.loadsOf("a", 1)[0].queued == 9);
    }
    SUBCASE("a change to a list of pools that the receiver does not have is rejected, and the whole list is sent again")
    {
        receiver.update("a", sender.composeDelta("b", 2));
        gossip_message change = sender.composeDelta("b", 2);
        change.loadsVersion += 1;
        change.pools = {{"", 1, 1, 1, {}, 7}};
        CHECK_FALSE(receiver.update("a", change));
        sender.update("b", receiver.composeDelta("a", 1));
        CHECK(sender.composeDelta("b", 2).pools->front().pool == "booking");
    }
    SUBCASE("a peer that restarted is sent all loads, and its old loads are removed")
    {
        receiver.update("a", sender.composeDelta("b", 2));
        sender.update("b", receiver.composeDelta("a", 1));
        CHECK(sender.composeDelta("b", 3).pools->front().pool == "booking");
        const peer_loads restarted(11);
        receiver.update("a", restarted.composeDelta("b", 2));
        CHECK(receiver.loadsOf("a", 1).empty());
        CHECK(receiver.composeDelta("a", 11).knownVersion == 1);
    }
    SUBCASE("a peer that acknowledges a version that was never sent still gets the loads")
    {
        gossip_message wrong = receiver.composeDelta("a", 1);
        wrong.knownVersion = 1'000;
        sender.update("b", wrong);
        CHECK(sender.composeDelta("b", 2).pools);
    }
}
