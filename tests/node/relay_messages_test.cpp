#include "node/relay_messages.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

const sched::task_id task{"0123456789abcdef", 2, 1, 17};

} // namespace

TEST_CASE("orders reach a relay as they were given")
{
    relay_exchange exchange;
    exchange.session = "edge-1.7";
    exchange.waitMs = 1'000;
    exchange.orders.push_back({1, {{"i-1", "10.0.0.1:80"}, start_order{task, 3, "payload", 486'000, 7, "saved", "ticket"}}});
    exchange.orders.push_back({2, {{"i-2", "10.0.0.2:80"}, stop_order{task, 3, 7}}});
    exchange.orders.push_back({3, {{"i-3", "10.0.0.3:80"}, throttle_order{task, 3, 50, 7}}});
    exchange.orders.push_back({4, {{"i-4", "10.0.0.4:80"}, poll_order{7, 57, 486'000, std::chrono::milliseconds(700)}}});
    exchange.orders.push_back({5, {{"i-5", "10.0.0.5:80"}, poll_order{7, 0, std::nullopt, std::chrono::milliseconds(0)}}});

    const std::optional<relay_exchange> read = decodeExchange(encode(exchange));
    REQUIRE(read);
    CHECK(read->session == "edge-1.7");
    CHECK(read->waitMs == 1'000);
    REQUIRE(read->orders.size() == 5);
    CHECK(read->orders[0].order.target.address == "10.0.0.1:80");
    const start_order &start = std::get<start_order>(read->orders[0].order.what);
    CHECK(start.task == task);
    CHECK(start.run == 3);
    CHECK(start.payload == "payload");
    CHECK(start.leaseEndMs == 486'000);
    CHECK(start.fencingToken == 7);
    CHECK(start.checkpoint == "saved");
    CHECK(start.ticket == "ticket");
    CHECK(std::get<stop_order>(read->orders[1].order.what).task == task);
    CHECK(std::get<throttle_order>(read->orders[2].order.what).percent == 50);
    const poll_order &poll = std::get<poll_order>(read->orders[3].order.what);
    CHECK(poll.acknowledged == 57);
    CHECK(poll.leaseEndMs == 486'000);
    CHECK(poll.wait == std::chrono::milliseconds(700));
    CHECK_FALSE(std::get<poll_order>(read->orders[4].order.what).leaseEndMs);
}

TEST_CASE("executors' answers reach the lease holder as the relay read them")
{
    poll_result list;
    list.status = order_status::Ok;
    list.clockMs = 482'113;
    list.startedUnixMs = 1'700'000'000'000;
    list.runs.push_back({task, 2, "saved", 41, 900});
    list.ends.push_back({58, task, 1, sched::run_end::LeaseExpired, "earlier"});
    list.moreEnds = true;
    const std::vector<relayed_answer> answers{{1, order_result{order_status::Fenced, std::nullopt, 5}}, {2, list}, {3, poll_result{}}};

    const std::optional<std::vector<relayed_answer>> read = decodeAnswers(encode(answers));
    REQUIRE(read);
    REQUIRE(read->size() == 3);
    const order_result &order = std::get<order_result>((*read)[0].answer);
    CHECK(order.status == order_status::Fenced);
    CHECK_FALSE(order.clockMs);
    CHECK(order.startedUnixMs == 5);
    const poll_result &poll = std::get<poll_result>((*read)[1].answer);
    CHECK(poll.clockMs == 482'113);
    REQUIRE(poll.runs.size() == 1);
    CHECK(poll.runs[0].task == task);
    CHECK(poll.runs[0].checkpoint == "saved");
    CHECK(poll.runs[0].percent == 41);
    CHECK(poll.runs[0].load == 900);
    REQUIRE(poll.ends.size() == 1);
    CHECK(poll.ends[0].number == 58);
    CHECK(poll.ends[0].how == sched::run_end::LeaseExpired);
    CHECK(poll.moreEnds);
    CHECK(std::holds_alternative<poll_result>((*read)[2].answer));
}

// Guards against a damaged message that is read in part: the rest of its orders would count as received by the relay.
TEST_CASE("a damaged message between nodes is rejected as a whole")
{
    const std::string exchange = encode(relay_exchange{"edge-1.7", 0, {{2, {{"i-2", "10.0.0.2:80"}, stop_order{task, 3, 7}}}}});
    const std::string answers = encode(std::vector<relayed_answer>{{1, order_result{order_status::Ok, 5, 6}}});
    for (std::size_t size = 0; size < exchange.size(); ++size) {
        CHECK_FALSE(decodeExchange(std::string_view(exchange).substr(0, size)));
    }
    for (std::size_t size = 0; size < answers.size(); ++size) {
        CHECK_FALSE(decodeAnswers(std::string_view(answers).substr(0, size)));
    }
    CHECK_FALSE(decodeAnswers(exchange));
    CHECK_FALSE(decodeExchange(answers));
    constexpr char unknownStatus = 120;
    CHECK_FALSE(decodeAnswers(std::string("\x91\x94\x01") + unknownStatus + "\xc0\xc0"));
}
