// Checks the platform, target and proxy stand-ins and the demand model, on which the integration tests and the load runs depend.

#include "services/vm_list.h"
#include "standins/demand.h"
#include "standins/fault_proxy.h"
#include "standins/platform_standin.h"
#include "standins/target_standin.h"

#include <doctest/doctest.h>

#include <future>

using namespace daisypass;

namespace {

http_result post(http_client &client, std::uint16_t port, const std::string &path, const std::string &body, std::vector<http_header> headers = {})
{
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + path;
    call.headers = std::move(headers);
    call.body = body;
    return client.fetch(call);
}

std::string get(http_client &client, std::uint16_t port, const std::string &path)
{
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(port) + path;
    return client.fetch(call).response.body;
}

} // namespace

TEST_CASE("the platform stand-in serves the project's own store clients")
{
    std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});
    platform_standin platform({.writesPerSecond = 5, .readsPerSecond = 1'000});
    failure reason;
    REQUIRE(platform.start(reason));
    const endpoint service{"127.0.0.1", platform.port()};
    table_service table{http_table(client, service)};

    SUBCASE("a committed row is read back, and a stale condition conflicts")
    {
        CHECK(table.commit({"w1", {{"k", 0}}, {{"k", "one"}}, {}}, reason) == commit_outcome::Committed);
        CHECK(table.commit({"w2", {{"k", 0}}, {{"k", "two"}}, {}}, reason) == commit_outcome::Conflict);
        const std::optional<table_row> row = table.read("k", reason);
        REQUIRE(row);
        CHECK(row->value == "one");
        CHECK(row->writeId == "w1");
        const std::optional<std::vector<table_row>> rows = table.scan("", "", 10, reason);
        REQUIRE(rows);
        CHECK(rows->size() == 1);
    }

    // Guards against a lost answer whose write was not applied: the client's lookup by write id would stay untested.
    SUBCASE("a lost answer ends as unknown, and the write took effect")
    {
        post(*client, platform.port(), "/admin/faults", R"({"lose_answers": 1})");
        CHECK(table.commit({"w1", {}, {{"k", "one"}}, {}}, reason) == commit_outcome::Unknown);
        const std::optional<table_row> row = table.read("k", reason);
        REQUIRE(row);
        CHECK(row->writeId == "w1");
    }

    SUBCASE("an outage and a failed call refuse before anything is written")
    {
        post(*client, platform.port(), "/admin/faults", R"({"outage": true})");
        CHECK(table.commit({"w1", {}, {{"k", "one"}}, {}}, reason) == commit_outcome::Refused);
        post(*client, platform.port(), "/admin/faults", R"({"outage": false, "fail_next": 1})");
        CHECK(table.commit({"w1", {}, {{"k", "one"}}, {}}, reason) == commit_outcome::Refused);
        CHECK_FALSE(table.read("k", reason));
        CHECK(reason.code == failure_code::NotFound);
    }

    SUBCASE("a transaction of more rows than the limit is refused as overload")
    {
        table_transaction large{"w1", {}, {}, {}};
        for (int i = 0; i < 6; ++i) {
            large.puts.push_back({"k" + std::to_string(i), ""});
        }
        CHECK(table.commit(large, reason) == commit_outcome::Refused);
        CHECK(reason.code == failure_code::StoreOverloaded);
    }

    SUBCASE("objects are stored, and a repeated reboot operation counts once")
    {
        object_store objects{http_objects(client, service)};
        CHECK(objects.put("file/ab", "text", reason));
        CHECK(objects.get("file/ab", reason) == "text");
        platform.setVms(nlohmann::json::parse(R"([{"id":"vm-1","address":"127.0.0.1:9","availability_zone":"a","rack":"r","state":"live"}])"));
        vm_list vms{http_vms(client, service)};
        CHECK(vms.list(reason)->size() == 1);
        CHECK(vms.reboot("vm-1", "vm-1/1", reason));
        CHECK(vms.reboot("vm-1", "vm-1/1", reason));
        CHECK(nlohmann::json::parse(get(*client, platform.port(), "/admin/stats"))["reboots"].size() == 1);
    }
}

TEST_CASE("the target stand-in records what it runs and refuses before it records")
{
    http_client client({});
    std::shared_ptr<timer_thread> timers = std::make_shared<timer_thread>();
    target_standin target({.slots = 1}, timers, nullptr);
    failure reason;
    REQUIRE(target.start(reason));
    const std::vector<http_header> headers{{"Daisypass-Request-Id", "r1"}, {"Idempotency-Key", "k1"}};

    const auto records = [&] {
        return *decodeExecutions(get(client, target.port(), "/admin/executions"), reason);
    };

    SUBCASE("an answer carries the request's id and body")
    {
        const http_result result = post(client, target.port(), "/run", "token", headers);
        CHECK(result.response.status == 200);
        CHECK(result.response.body == "token");
        CHECK(findHeader(result.response.headers, "Daisypass-Request-Id") == "r1");
        REQUIRE(records().size() == 1);
        CHECK(records()[0].result == execution_result::Completed);
        CHECK(records()[0].idempotencyKey == "k1");
        CHECK(records()[0].body == "token");
    }

    SUBCASE("a target without a free slot refuses, and a reboot cuts off its runs")
    {
        std::promise<http_result> first;
        http_call call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(target.port()) + "/run";
        call.headers = {{"X-Run-Ms", "60000"}};
        client.send(call, [&first](http_result result) {
            first.set_value(std::move(result));
        });
        while (get(client, target.port(), "/status") != R"({"in_flight":1})") {
        }
        const http_result second = post(client, target.port(), "/run", "", headers);
        CHECK(second.response.status == 503);
        CHECK(findHeader(second.response.headers, "Daisypass-Not-Run") == "busy");
        CHECK(records().size() == 1);
        post(client, target.port(), "/admin/reboot", "");
        CHECK(first.get_future().get().state == send_state::Sent);
        CHECK(records()[0].result == execution_result::CutOff);
    }

    SUBCASE("each behaviour mode changes the answer after the run")
    {
        for (const char *mode : {"truncate", "close"}) {
            post(client, target.port(), "/admin/behaviour", nlohmann::json{{"mode", mode}}.dump());
            CHECK(post(client, target.port(), "/run", "token", headers).state == send_state::Sent);
        }
        post(client, target.port(), "/admin/behaviour", R"({"mode":"wrong_id"})");
        CHECK(findHeader(post(client, target.port(), "/run", "token", headers).response.headers, "Daisypass-Request-Id") != "r1");
        post(client, target.port(), "/admin/behaviour", R"({"mode":"fail"})");
        CHECK(post(client, target.port(), "/run", "token", headers).response.status == 500);
        CHECK(records().size() == 4);
    }

    SUBCASE("work that arrives at a leaving target is recorded as such")
    {
        post(client, target.port(), "/admin/behaviour", R"({"leaving":true})");
        post(client, target.port(), "/run", "", headers);
        REQUIRE(records().size() == 1);
        CHECK(records()[0].afterLeavingMs);
    }
}

TEST_CASE("the fault proxy injects the faults that are set")
{
    http_client client({});
    http_server server({.listen = {"127.0.0.1", 0}}, [](http_request request, http_responder respond) {
        respond({200, {}, std::string(1'000, 'x')});
    });
    failure reason;
    REQUIRE(server.start(reason));
    fault_proxy proxy({"127.0.0.1", 0}, {"127.0.0.1", server.port()});
    REQUIRE(proxy.start(reason));
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(proxy.port()) + "/";
    CHECK(client.fetch(call).state == send_state::Answered);

    SUBCASE("a cut ends connections until it is cleared")
    {
        proxy.set({.cut = true});
        CHECK(client.fetch(call).state != send_state::Answered);
        proxy.set({});
        CHECK(client.fetch(call).state == send_state::Answered);
    }

    SUBCASE("a truncated answer is reported as incomplete")
    {
        proxy.set({.truncateAfter = 500, .toServer = false});
        CHECK(client.fetch(call).state == send_state::Sent);
    }

    SUBCASE("a freeze holds an answer back until it is cleared")
    {
        proxy.set({.freeze = true, .toServer = false});
        std::promise<http_result> held;
        client.send(call, [&held](http_result result) {
            held.set_value(std::move(result));
        });
        std::future<http_result> answer = held.get_future();
        CHECK(answer.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout);
        proxy.set({});
        CHECK(answer.get().state == send_state::Answered);
    }
}

// Guards against a load without peaks, in which no queue would form.
TEST_CASE("demand peaks in turn and keeps its mean")
{
    const demand_options options{.pools = 5, .meanRate = 100, .peakLength = std::chrono::seconds(2)};
    for (std::size_t pool = 0; pool < options.pools; ++pool) {
        std::mt19937_64 random(pool + 1);
        int arrivals = 0;
        int inPeak = 0;
        for (duration at = nextArrival(options, pool, {}, random); at < std::chrono::seconds(20); at = nextArrival(options, pool, at, random)) {
            ++arrivals;
            inPeak += demandRate(options, pool, at) > 400 ? 1 : 0;
        }
        CHECK(arrivals > 1'800);
        CHECK(arrivals < 2'400);
        CHECK(inPeak > arrivals * 9 / 10);
    }
}
