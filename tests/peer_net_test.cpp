// Tests of the peer service and peer client over loopback.

#include "eventually.h"
#include "net/peer_client.h"
#include "net/peer_service.h"
#include "standins/fault_proxy.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <mutex>

using namespace daisypass;

namespace {

constexpr incarnation_number serviceIncarnation = 0xfeedfacecafebeef;

template<typename T>
struct call_result
{
    std::optional<T> answer;
    failure reason;
};

// Starts one call and waits for its result.
template<typename T, typename Start>
call_result<T> wait(Start start)
{
    std::promise<call_result<T>> promise;
    start([&promise](std::optional<T> answer, const failure &reason) {
        promise.set_value({std::move(answer), reason});
    });
    return promise.get_future().get();
}

peer_handlers answeringHandlers()
{
    peer_handlers handlers;
    handlers.gossip = [](const gossip_message &message) {
        gossip_message answer = message;
        answer.incarnation = serviceIncarnation;
        return answer;
    };
    handlers.borrowSlots = [](const borrow_call &call) {
        return std::vector<peer_grant>{{call.pool + "-vm", call.count, 1'000}};
    };
    handlers.getFate = [](incarnation_number asked, std::string_view id) -> std::optional<fate_answer> {
        if (asked != serviceIncarnation) {
            return std::nullopt;
        }
        return fate_answer{peer_fate::Completed, "", 200, {{"Content-Type", std::string(id)}}, std::string("body\0with nul", 13)};
    };
    handlers.fetchLog = [](revision_number after, int limit) {
        return log_page{std::vector<std::string>(static_cast<std::size_t>(limit), std::to_string(after)), ""};
    };
    handlers.fetchFile = [](std::string_view hash) {
        return hash == "known" ? std::optional<std::string>(std::string(2 << 20, 'x')) : std::nullopt;
    };
    handlers.confirmDrain = [](const drain_question &question) {
        return drain_answer{"entry-1", serviceIncarnation, true, 0, question.revision};
    };
    return handlers;
}

// Lets connections be established but never answers, like a frozen process.
class silent_listener
{
public:
    silent_listener()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    {
    }

    endpoint place() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

} // namespace

TEST_CASE("peer calls")
{
    peer_service service({.listen = {"127.0.0.1", 0}}, answeringHandlers());
    failure reason;
    REQUIRE(service.start(reason));
    peer_client client({});
    const peer_address peer{service.place(), serviceIncarnation};

    SUBCASE("every field of a gossip message arrives; a missing field would hide a peer's load or revision")
    {
        gossip_message sent{"entry-2", 7, 1ULL << 40U, true, true, 9, 8, {}};
        sent.pools = {{"booking", 1, 2, 3, {"vm-1", "vm-2"}, 0}, {"", 0, 0, 0, {}, 4}};
        sent.stamp = 6;
        sent.echo = 1ULL << 50U;
        const call_result<gossip_message> result = wait<gossip_message>([&](peer_callback<gossip_message> done) {
            client.gossip(peer, sent, std::move(done));
        });
        REQUIRE(result.answer);
        CHECK(result.answer->entry == sent.entry);
        CHECK(result.answer->revision == sent.revision);
        CHECK(result.answer->ready);
        CHECK(result.answer->storeReachable);
        CHECK(result.answer->loadsVersion == 9);
        CHECK(result.answer->knownVersion == 8);
        CHECK(result.answer->pools == sent.pools);
        CHECK(result.answer->to == serviceIncarnation);
        CHECK(result.answer->stamp == 6);
        CHECK(result.answer->echo == sent.echo);
    }
    SUBCASE("loads that are absent stay absent, and empty loads stay present; confusing them would erase known loads")
    {
        for (const bool present : {false, true}) {
            gossip_message sent{"entry-2", 7};
            if (present) {
                sent.pools.emplace();
            }
            const call_result<gossip_message> result = wait<gossip_message>([&](peer_callback<gossip_message> done) {
                client.gossip(peer, sent, std::move(done));
            });
            REQUIRE(result.answer);
            CHECK(result.answer->pools.has_value() == present);
        }
    }
    SUBCASE("an answer of another incarnation is a typed failure; accepting it would count as contact with a process that has ended")
    {
        const peer_address earlier{service.place(), 3};
        CHECK(wait<gossip_message>([&](peer_callback<gossip_message> done) {
                  client.gossip(earlier, {}, std::move(done));
              }).reason.code
              == failure_code::WrongIncarnation);
        CHECK(wait<fate_answer>([&](peer_callback<fate_answer> done) {
                  client.getFate(earlier, "r", std::move(done));
              }).reason.code
              == failure_code::WrongIncarnation);
        CHECK(wait<drain_answer>([&](peer_callback<drain_answer> done) {
                  client.confirmDrain(earlier, {"vm-1", 1, 1}, std::move(done));
              }).reason.code
              == failure_code::WrongIncarnation);
    }
    SUBCASE("grants, fates with arbitrary bytes, log pages, files and drains arrive unchanged")
    {
        const call_result<std::vector<peer_grant>> grants = wait<std::vector<peer_grant>>([&](peer_callback<std::vector<peer_grant>> done) {
            client.borrowSlots(peer, {"entry-2", 7, "booking", 5}, std::move(done));
        });
        REQUIRE(grants.answer);
        CHECK(*grants.answer == std::vector<peer_grant>{{"booking-vm", 5, 1'000}});
        const call_result<fate_answer> fate = wait<fate_answer>([&](peer_callback<fate_answer> done) {
            client.getFate(peer, "text/plain", std::move(done));
        });
        REQUIRE(fate.answer);
        CHECK(fate.answer->fate == peer_fate::Completed);
        CHECK(fate.answer->body == std::string("body\0with nul", 13));
        CHECK(fate.answer->headers == std::vector<peer_header>{{"Content-Type", "text/plain"}});
        const call_result<log_page> page = wait<log_page>([&](peer_callback<log_page> done) {
            client.fetchLog(peer, 41, 3, std::move(done));
        });
        REQUIRE(page.answer);
        CHECK(page.answer->records == std::vector<std::string>(3, "41"));
        const call_result<std::string> file = wait<std::string>([&](peer_callback<std::string> done) {
            client.fetchFile(peer, "known", std::move(done));
        });
        REQUIRE(file.answer);
        CHECK(file.answer->size() == 2 << 20);
        CHECK(wait<std::string>([&](peer_callback<std::string> done) {
                  client.fetchFile(peer, "other", std::move(done));
              }).reason.code
              == failure_code::NotFound);
        const call_result<drain_answer> drain = wait<drain_answer>([&](peer_callback<drain_answer> done) {
            client.confirmDrain(peer, {"vm-1", 2, 77}, std::move(done));
        });
        REQUIRE(drain.answer);
        CHECK(drain.answer->confirmed);
        CHECK(drain.answer->revision == 77);
    }
    SUBCASE("a call without a handler is rejected at once; otherwise the caller would wait until its deadline")
    {
        CHECK(wait<cancel_answer>([&](peer_callback<cancel_answer> done) {
                  client.cancelRequest(peer, "r", std::move(done));
              }).reason.code
              == failure_code::BadAnswer);
    }
    SUBCASE("more concurrent calls than the service has call slots all complete; a leaked slot would block the method permanently")
    {
        std::atomic<int> answered = 0;
        std::atomic<int> ended = 0;
        for (int i = 0; i < 200; ++i) {
            client.returnSlots(peer, {}, [&](std::optional<peer_acknowledgement>, const failure &) {
                ++ended;
            });
            client.borrowSlots(peer, {}, [&](std::optional<std::vector<peer_grant>> grants, const failure &) {
                answered += grants ? 1 : 0;
                ++ended;
            });
        }
        CHECK(eventually([&] {
            return ended == 400;
        }));
        CHECK(answered > 0);
        CHECK(wait<std::vector<peer_grant>>([&](peer_callback<std::vector<peer_grant>> done) {
                  client.borrowSlots(peer, {}, std::move(done));
              }).answer);
    }
    SUBCASE("a second service cannot listen on the same port; sharing it would split the calls between two incarnations")
    {
        peer_service second({.listen = service.place()}, answeringHandlers());
        CHECK_FALSE(second.start(reason));
        CHECK(reason.code == failure_code::ListenFailed);
    }
}

TEST_CASE("peer calls that get no answer")
{
    SUBCASE("a closed port ends as PeerUnreachable or Timeout, and the peer is reached again once it listens")
    {
        endpoint place;
        {
            const silent_listener closed;
            place = closed.place();
        }
        peer_client client({});
        const auto call = [&] {
            return wait<gossip_message>([&](peer_callback<gossip_message> done) {
                client.gossip({place, serviceIncarnation}, {}, std::move(done));
            });
        };
        const failure_code code = call().reason.code;
        CHECK((code == failure_code::PeerUnreachable || code == failure_code::Timeout));
        peer_service service({.listen = place}, answeringHandlers());
        failure reason;
        REQUIRE(service.start(reason));
        CHECK(eventually([&] {
            return call().answer.has_value();
        }));
        // The service stops and another process takes the port, as after a restart.
        service.stop();
        CHECK_FALSE(call().answer);
        peer_service restarted({.listen = place}, answeringHandlers());
        REQUIRE(restarted.start(reason));
        CHECK(eventually([&] {
            return call().answer.has_value();
        }));
    }
    SUBCASE("a call to a peer that accepts connections but does not answer ends at its deadline; waiting longer would stall the caller")
    {
        const silent_listener frozen;
        peer_client client({});
        const failure_code code = wait<gossip_message>([&](peer_callback<gossip_message> done) {
                                      client.gossip({frozen.place(), 1}, {}, std::move(done));
                                  }).reason.code;
        CHECK((code == failure_code::Timeout || code == failure_code::PeerUnreachable));
    }
    SUBCASE("a connection that stops answering is replaced, and the peer is reached again; TCP alone would wait for its retransmission back-off")
    {
        peer_service service({.listen = {"127.0.0.1", 0}}, answeringHandlers());
        failure reason;
        REQUIRE(service.start(reason));
        fault_proxy path({"127.0.0.1", 0}, service.place());
        REQUIRE(path.start(reason));
        peer_client client({.deadline = std::chrono::milliseconds(50)});
        const auto call = [&] {
            return wait<gossip_message>([&](peer_callback<gossip_message> done) {
                client.gossip({{"127.0.0.1", path.port()}, serviceIncarnation}, {}, std::move(done));
            });
        };
        REQUIRE(eventually([&] {
            return call().answer.has_value();
        }));
        const std::uint64_t before = path.stats().connections;
        path.set({.freeze = true});
        CHECK(eventually([&] {
            CHECK_FALSE(call().answer);
            return path.stats().connections > before;
        }));
        path.set({});
        CHECK(eventually([&] {
            return call().answer.has_value();
        }));
    }
    SUBCASE("an answer after the deadline is dropped; its callback must not run twice")
    {
        std::promise<void> release;
        const std::shared_future<void> released = release.get_future().share();
        peer_handlers handlers = answeringHandlers();
        handlers.borrowSlots = [released](const borrow_call &) {
            released.wait();
            return std::vector<peer_grant>{};
        };
        peer_service service({.listen = {"127.0.0.1", 0}}, handlers);
        failure reason;
        REQUIRE(service.start(reason));
        peer_client client({});
        std::atomic<int> calls = 0;
        CHECK(wait<std::vector<peer_grant>>([&](peer_callback<std::vector<peer_grant>> done) {
                  client.borrowSlots({service.place(), 0}, {}, [&calls, done](std::optional<std::vector<peer_grant>> grants, const failure &why) {
                      ++calls;
                      done(std::move(grants), why);
                  });
              }).reason.code
              == failure_code::Timeout);
        release.set_value();
        CHECK(eventually([&] {
            return wait<std::vector<peer_grant>>([&](peer_callback<std::vector<peer_grant>> done) {
                       client.borrowSlots({service.place(), 0}, {}, std::move(done));
                   })
                .answer.has_value();
        }));
        CHECK(calls == 1);
    }
    SUBCASE("stopping the client ends calls in flight, and later calls fail at once; a lost callback would leak its request")
    {
        const silent_listener frozen;
        peer_client client({.deadline = std::chrono::minutes(1)});
        std::atomic<int> ended = 0;
        const auto count = [&ended](std::optional<gossip_message> answer, const failure &why) {
            ended += !answer && why.code == failure_code::PeerUnreachable ? 1 : 0;
        };
        client.gossip({frozen.place(), 1}, {}, count);
        client.stop();
        CHECK(ended == 1);
        client.gossip({frozen.place(), 1}, {}, count);
        CHECK(ended == 2);
    }
}
