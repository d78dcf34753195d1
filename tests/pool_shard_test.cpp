// Tests of a pool_shard with a target in the test process.

#include "entry/pool_shard.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace daisypass;

TEST_CASE("a pool sends nothing while its entry is isolated")
{
    std::atomic<int> runs{0};
    http_server target({.listen = {"127.0.0.1", 0}}, [&](const http_request &request, http_responder respond) {
        ++runs;
        respond({200, {{"Daisypass-Request-Id", std::string(findHeader(request.headers, "Daisypass-Request-Id"))}}, "done"});
    });
    failure reason;
    REQUIRE(target.start(reason));
    http_client client({});
    metrics_registry metrics;
    std::atomic<bool> allowed{true};
    pool_config config;
    config.name = "booking";
    pool_hooks hooks;
    hooks.mayDispatch = [&] {
        return allowed.load();
    };
    pool_shard shard(config, 1, client, metrics, hooks);
    view_changed view;
    view.self = "entry-1";
    view.targets = {{.vm = "vm-1", .owner = "entry-1", .size = {}, .servingSince = {}}};
    view.config = config;
    shard.updateView(view, {{"vm-1", "http://127.0.0.1:" + std::to_string(target.port()) + "/run"}}, 1);
    const auto submit = [&](request_number number, duration deadline) {
        std::shared_ptr<active_request> request = std::make_shared<active_request>();
        std::shared_ptr<std::promise<request_outcome>> ended = std::make_shared<std::promise<request_outcome>>();
        request->info.number = number;
        request->info.pool = "booking";
        request->info.team = "zagreb";
        request->info.arrived = steadyNow();
        request->info.deadline = steadyNow() + deadline;
        request->id = "id-" + std::to_string(number);
        request->done = [ended](request_outcome outcome) {
            ended->set_value(std::move(outcome));
        };
        shard.submit(std::move(request));
        return ended;
    };
    const auto outcomeOf = [&](const std::shared_ptr<std::promise<request_outcome>> &ended) {
        std::future<request_outcome> future = ended->get_future();
        while (future.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
            shard.tick();
        }
        return future.get();
    };
    REQUIRE(outcomeOf(submit(1, std::chrono::seconds(10))).fate == request_fate::Completed);
    REQUIRE(runs == 1);

    // Guards against dispatching to a target that left the pool while this entry was isolated or frozen.
    SUBCASE("a request waits until its deadline and is not run")
    {
        allowed = false;
        const request_outcome outcome = outcomeOf(submit(2, std::chrono::milliseconds(100)));
        CHECK(outcome.fate == request_fate::NotRun);
        CHECK(outcome.reason == "isolated");
        CHECK(runs == 1);
    }

    SUBCASE("a queued request is sent when the entry is no longer isolated")
    {
        allowed = false;
        const std::shared_ptr<std::promise<request_outcome>> waiting = submit(2, std::chrono::seconds(10));
        shard.tick();
        CHECK(runs == 1);
        allowed = true;
        CHECK(outcomeOf(waiting).fate == request_fate::Completed);
        CHECK(runs == 2);
    }
}
